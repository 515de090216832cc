//! The task of one call, which carries out the dispatcher's commands.

use super::{
    exchange::{self, Outcome, Outgoing},
    memory::Held,
    reply::Reply,
    request_body::RequestBody,
    signals::Signals,
    CallCommand, Dialect, EventStream, Hub, Memory, Pool, ResponseBody,
};
use bytes::Bytes;
use flume::Receiver;
use http::{header, request, HeaderValue, Response};
use persimmon_core::{
    dispatch::{DispatchEvent, LeavingNotice, RateLimitNotice, Refusal, SendOutcome, SendPlan},
    ids::CallId,
    path::UpstreamPath,
    units::{Millis, RequestsPerSecond},
};
use std::{cell::Cell, rc::Rc, sync::Arc};
use tokio::{sync::oneshot, time::Instant};

/// State that the tasks of all calls share.
pub(super) struct Shared {
    pub(super) hub: Arc<Hub>,
    pub(super) pool: Rc<Pool>,
    pub(super) dialect: Rc<dyn Dialect>,
    /// The memory budget; none if bytes are not counted.
    pub(super) memory: Option<Arc<Memory>>,
}

/// A caller's request and the commands for it.
pub(super) struct CallTask {
    pub(super) shared: Rc<Shared>,
    pub(super) id: CallId,
    pub(super) request_id: Arc<str>,
    pub(super) head: request::Parts,
    pub(super) body: RequestBody,
    /// What a long head takes.
    pub(super) _held_head: Option<Held>,
    pub(super) commands: Receiver<CallCommand>,
}

/// The next step of the task.
enum Step {
    Command(CallCommand),
    Stop,
}

impl CallTask {
    /// Runs until the final response is given to `head` or the caller disconnects.
    pub(super) async fn run(self, head: oneshot::Sender<Response<ResponseBody>>) {
        let mut reply = Reply::Open(head);
        let mut events = EventStream::default();
        let mut failure = None;
        let mut next = self.next_command(&mut reply).await;
        while let Step::Command(command) = next {
            next = match command {
                CallCommand::Send(plan) => {
                    self.send(&plan, &mut reply, &mut events, &mut failure)
                        .await
                }
                // The body is here already.
                CallCommand::Receive => self.next_command(&mut reply).await,
                CallCommand::PassFailure => {
                    if let Some(failure) = failure.take() {
                        let (head, body) = Response::into_parts(failure);
                        // An error means that the caller has disconnected in the meantime.
                        let _ = reply.full(head, body);
                    }
                    Step::Stop
                }
                CallCommand::Refuse(refusal) => {
                    self.refuse(&mut reply, &refusal);
                    Step::Stop
                }
                CallCommand::Abort => {
                    reply.abort();
                    Step::Stop
                }
            };
        }
        self.shared.hub.close(self.id);
    }

    async fn next_command(&self, reply: &mut Reply) -> Step {
        tokio::select! {
            biased;
            command = self.commands.recv_async() => match command {
                Ok(command) => Step::Command(command),
                Err(_) => Step::Stop,
            },
            () = reply.closed() => {
                self.event(DispatchEvent::CallerLeft { call: self.id });
                Step::Stop
            }
        }
    }

    async fn send(
        &self,
        plan: &SendPlan,
        reply: &mut Reply,
        events: &mut EventStream,
        failure: &mut Option<Response<Bytes>>,
    ) -> Step {
        events.resume();
        let (call, send) = (self.id, plan.send);
        let out = self.outgoing(plan);
        let is_sent = Cell::new(false);
        let signals = Signals {
            on_path: &|path| {
                is_sent.set(true);
                if let UpstreamPath::Relay(relay) = path {
                    let relay = relay.clone();
                    self.event(DispatchEvent::Relayed { call, send, relay });
                }
            },
            on_first: &|| self.event(DispatchEvent::FirstByte { call, send }),
            // A connection that is not open yet has other time limits.
            on_silent: &|| {
                if is_sent.get() {
                    self.event(DispatchEvent::Silent { call, send });
                }
            },
            on_stall: &|silent_ms| {
                self.event(DispatchEvent::Stalled {
                    call,
                    send,
                    silent_ms,
                });
            },
            on_leaving: &|is_misdirected| self.report_leaving(plan, is_misdirected),
            on_rate_limit: &|per_s, is_misdirected| {
                self.report_rate_limit(&out, per_s, is_misdirected);
            },
        };
        let outcome = tokio::select! {
            biased;
            command = self.commands.recv_async() => {
                return command.map_or(Step::Stop, Step::Command);
            }
            outcome = exchange::run(&out, reply, events, signals) => outcome,
        };
        let Some(end) = take_failure(outcome, failure) else {
            self.event(DispatchEvent::CallerLeft { call });
            return Step::Stop;
        };
        let delivered = matches!(reply, Reply::Done);
        if let (true, Some(gap)) = (delivered, events.longest_gap()) {
            let gap_ms = Millis::new(gap.as_millis() as u64);
            self.event(DispatchEvent::LongestGap { call, send, gap_ms });
        }
        self.event(DispatchEvent::Ended { call, send, end });
        if delivered {
            return Step::Stop;
        }
        self.next_command(reply).await
    }

    fn outgoing<'a>(&'a self, plan: &'a SendPlan) -> Outgoing<'a> {
        Outgoing {
            pool: &self.shared.pool,
            dialect: &*self.shared.dialect,
            memory: self.shared.memory.as_ref(),
            head: &self.head,
            body: &self.body,
            request_id: &self.request_id,
            plan,
            sent_at: Instant::now(),
        }
    }

    fn refuse(&self, reply: &mut Reply, refusal: &Refusal) {
        let (head, body) = refusal_response(&*self.shared.dialect, refusal).into_parts();
        // An error means that the caller has disconnected in the meantime.
        let _ = reply.full(head, body);
    }

    fn report_leaving(&self, plan: &SendPlan, is_misdirected: bool) {
        self.event(DispatchEvent::UpstreamLeaving(LeavingNotice {
            upstream: plan.incarnation(),
            address: plan.address,
            is_misdirected,
            request: Some(Arc::clone(&self.request_id)),
        }));
    }

    fn report_rate_limit(
        &self,
        out: &Outgoing<'_>,
        per_s: Option<RequestsPerSecond>,
        is_misdirected: bool,
    ) {
        self.event(DispatchEvent::UpstreamRateLimit(RateLimitNotice {
            upstream: out.plan.incarnation(),
            address: out.plan.address,
            is_misdirected,
            request: Some(Arc::clone(&self.request_id)),
            per_s,
            answered_after_ms: Millis::new(out.sent_at.elapsed().as_millis() as u64),
        }));
    }

    fn event(&self, event: DispatchEvent) {
        self.shared.hub.send_event(event);
    }
}

/// The answer to a caller whose request is refused.
pub(super) fn refusal_response(dialect: &dyn Dialect, refusal: &Refusal) -> Response<Bytes> {
    let (status, headers) = dialect.refusal_head(refusal);
    let mut response = Response::new(Bytes::from(format!("{}\n", refusal.reason.name())));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// The end of a transmission, whose failed response is kept; none if the caller left.
fn take_failure(outcome: Outcome, failure: &mut Option<Response<Bytes>>) -> Option<SendOutcome> {
    match outcome {
        Outcome::CallerLeft => None,
        Outcome::Ended(end) => Some(end),
        Outcome::Failure(end, response) => {
            *failure = Some(*response);
            Some(end)
        }
    }
}
