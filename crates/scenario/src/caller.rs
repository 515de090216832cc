//! Callers, their requests and their answers.

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
    /// The daemon sent a final response.
    Answered(FinalResponse),
    /// The connection broke because the daemon's VM died.
    ConnectionLost,
    /// The caller disconnected.
    CallerDisconnected,
}

/// One caller and its request.
#[derive(Debug)]
pub struct Caller {
    /// The request.
    pub spec: RequestSpec,
    /// VM of the daemon that got the request.
    pub vm: VmId,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the daemon's process received the request: later than `sent_at` if the process was
    /// paused.
    pub received_at: Option<Time>,
    /// Time and kind of the request's end.
    pub end: Option<(Time, RequestEnd)>,
    /// Number of ends after the first one; must stay 0.
    pub extra_final_responses_count: u32,
    /// Number of attempts that ran at an upstream.
    pub ran_attempts: u32,
    /// Number of attempts that were sent.
    pub sent_attempts: u32,
    /// Body of a service's answer.
    pub body: Option<Bytes>,
    pub(crate) assembler: Option<Assembler>,
    pub(crate) model: Option<ModelVersion>,
    tokens: Vec<Bytes>,
}

/// Returns the token that every engine generates at an offset of a request's answer.
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

    /// The deadline of the request.
    pub fn deadline(&self) -> Time {
        self.received_at.unwrap_or(self.sent_at) + self.spec.timeout_ms
    }

    /// Whether the request has not ended.
    pub const fn is_open(&self) -> bool {
        self.end.is_none()
    }

    pub(crate) fn finish(&mut self, now: Time, end: RequestEnd) {
        match &self.end {
            None => self.end = Some((now, end)),
            Some(_) => self.extra_final_responses_count += 1,
        }
    }

    /// Sets the assembler to an attempt and returns it.
    pub(crate) fn begin_attempt(&mut self, attempt: AttemptId) -> &mut Assembler {
        let assembler = self
            .assembler
            .get_or_insert_with(|| Assembler::new(attempt));
        assembler.begin(attempt);
        assembler
    }

    /// Hands the chunks that are in order to the caller. Returns whether there were any.
    pub(crate) fn take_in_order(&mut self) -> bool {
        let before = self.tokens.len();
        while let Some((_, chunk)) = self.assembler.as_mut().and_then(Assembler::pop) {
            self.tokens.push(chunk);
        }
        self.tokens.len() > before
    }

    /// Hands a chunk to the caller without checking its offset.
    pub(crate) fn push_unordered(&mut self, chunk: Bytes) {
        self.tokens.push(chunk);
    }

    /// Number of tokens that the caller got.
    pub fn delivered(&self) -> Tokens {
        Tokens::new(self.tokens.len() as u64)
    }

    /// Whether each received token is the expected one at its offset.
    pub fn tokens_are_correct(&self) -> bool {
        let is_expected = |(offset, chunk): (usize, &Bytes)| {
            *chunk == expected_token(self.model.as_ref(), self.spec.id, offset as u64)
        };
        self.tokens.iter().enumerate().all(is_expected)
    }

    /// Whether the request ended as complete and the caller got the complete, correct answer.
    pub fn has_complete_answer(&self) -> bool {
        let ended_complete = matches!(
            self.end,
            Some((
                _,
                RequestEnd::Answered(FinalResponse::Complete | FinalResponse::Stored(_))
            ))
        );
        let got_all = match &self.spec.target {
            CallTarget::Model(call) => self.delivered() == call.max_output_tokens,
            CallTarget::Service(_) => self.body.is_some(),
        };
        ended_complete && got_all && self.tokens_are_correct()
    }

    /// The refusal that the caller got, if any.
    pub const fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            Some((_, RequestEnd::Answered(FinalResponse::Refused(refusal)))) => Some(refusal),
            _ => None,
        }
    }

    /// Whether the caller got the outcome `not_run` although an attempt ran.
    pub fn got_false_not_run(&self) -> bool {
        let not_run = |refusal: &Refusal| refusal.outcome == Outcome::NotRun;
        self.refusal().is_some_and(not_run) && self.ran_attempts > 0
    }
}
