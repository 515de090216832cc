//! Callers: what they asked for and what they got.

use bytes::Bytes;
use persimmon_core::{
    ids::{AttemptId, ModelVersion, RequestId, VmId},
    request::{CallTarget, FinalResponse, Outcome, Refusal, RequestSpec},
    stream::Assembler,
    units::{Time, Tokens},
};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    /// With the daemon's last word.
    Answered(FinalResponse),
    /// The daemon's VM died: the connection broke.
    ConnectionLost,
    /// The caller went away itself.
    CallerDisconnected,
}

/// One caller and its request.
#[derive(Debug)]
pub struct Caller {
    /// The request.
    pub spec: RequestSpec,
    /// The daemon that has it.
    pub vm: VmId,
    /// When it was sent.
    pub sent_at: Time,
    /// When the daemon's process took it, which is late where the process was paused.
    pub received_at: Option<Time>,
    /// Its end and the time of it.
    pub end: Option<(Time, RequestEnd)>,
    /// Last words after the first: must stay 0.
    pub extra_final_responses_count: u32,
    /// Attempts that ran at an upstream.
    pub ran_attempts: u32,
    /// Attempts that were sent.
    pub sent_attempts: u32,
    /// The body of a service's answer.
    pub body: Option<Bytes>,
    pub(crate) assembler: Option<Assembler>,
    pub(crate) model: Option<ModelVersion>,
    tokens: Vec<Bytes>,
}

/// The token that every engine generates at an offset of a request's answer.
pub fn expected_token(model: Option<&ModelVersion>, request: RequestId, offset: u64) -> Bytes {
    let model = model.map_or("", ModelVersion::as_str);
    format!("{model}/{request}/{offset} ").into()
}

impl Caller {
    pub(crate) const fn new(spec: RequestSpec, vm: VmId, sent_at: Time) -> Self {
        Self {
            spec,
            vm,
            sent_at,
            received_at: None,
            end: None,
            extra_final_responses_count: 0,
            ran_attempts: 0,
            sent_attempts: 0,
            body: None,
            assembler: None,
            model: None,
            tokens: Vec::new(),
        }
    }

    /// The caller's deadline.
    pub fn deadline(&self) -> Time {
        self.received_at.unwrap_or(self.sent_at) + self.spec.timeout_ms
    }

    /// Whether it waits for its last word.
    pub const fn is_open(&self) -> bool {
        self.end.is_none()
    }

    pub(crate) fn finish(&mut self, now: Time, end: RequestEnd) {
        match &self.end {
            None => self.end = Some((now, end)),
            Some(_) => self.extra_final_responses_count += 1,
        }
    }

    /// The assembler, set to this attempt.
    pub(crate) fn begin_attempt(&mut self, attempt: AttemptId) -> &mut Assembler {
        let assembler = self
            .assembler
            .get_or_insert_with(|| Assembler::new(attempt));
        assembler.begin(attempt);
        assembler
    }

    /// Hands the pieces that are in order to the caller. True where there were any.
    pub(crate) fn take_in_order(&mut self) -> bool {
        let before = self.tokens.len();
        while let Some((_, chunk)) = self.assembler.as_mut().and_then(Assembler::pop) {
            self.tokens.push(chunk);
        }
        self.tokens.len() > before
    }

    /// Hands a piece to the caller wherever it belongs.
    pub(crate) fn push_unordered(&mut self, chunk: Bytes) {
        self.tokens.push(chunk);
    }

    /// Tokens that the caller has.
    pub fn delivered(&self) -> Tokens {
        Tokens::new(self.tokens.len() as u64)
    }

    /// Whether each token that came is the right one at its place.
    pub fn tokens_are_correct(&self) -> bool {
        let right = |(offset, chunk): (usize, &Bytes)| {
            *chunk == expected_token(self.model.as_ref(), self.spec.id, offset as u64)
        };
        self.tokens.iter().enumerate().all(right)
    }

    /// Whether the whole answer came.
    pub fn has_complete_answer(&self) -> bool {
        let said = matches!(
            self.end,
            Some((
                _,
                RequestEnd::Answered(FinalResponse::Complete | FinalResponse::Stored(_))
            ))
        );
        let all = match &self.spec.target {
            CallTarget::Model(call) => self.delivered() == call.max_output_tokens,
            CallTarget::Service(_) => self.body.is_some(),
        };
        said && all && self.tokens_are_correct()
    }

    /// The refusal it got.
    pub const fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            Some((_, RequestEnd::Answered(FinalResponse::Refused(refusal)))) => Some(refusal),
            _ => None,
        }
    }

    /// Whether it was told "not run" although an attempt of it ran.
    pub fn got_false_not_run(&self) -> bool {
        let not_run = |refusal: &Refusal| refusal.outcome == Outcome::NotRun;
        self.refusal().is_some_and(not_run) && self.ran_attempts > 0
    }
}
