//! Handles one caller's request from its first event to its final response.

use super::{
    attempt::{AttemptMessage, Call, Item, RunningAttempt},
    Caller, CallerDisconnected, Command, TrafficHub,
};
use crate::{
    http::{CheckedCall, Payload},
    upstream::{ServiceCall, StreamCall, StreamItem},
};
use flume::{Receiver, Selector, Sender};
use persimmon_core::{
    ids::AttemptId,
    request::{
        AttemptPlan, AttemptResult, FinalResponse, Refusal, RefusalCode, StoredResult,
        UpstreamError,
    },
    stream::Assembler,
    units::Tokens,
    Event,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Capacity of the queue of an attempt's messages, which fills up when a caller reads slowly.
const MESSAGES_MAX_LEN: usize = 256;

/// Time without a token after which a keep-alive is sent to the caller, and after which a
/// disconnected caller is detected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two progress events of a request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Handles one caller's request on the request's thread.
pub struct RequestWorker<'a> {
    hub: &'a TrafficHub,
    call: &'a CheckedCall,
    caller: &'a mut dyn Caller,
    commands: Receiver<Command>,
    messages: (Sender<AttemptMessage>, Receiver<AttemptMessage>),
    assembler: Option<Assembler>,
    running: Option<RunningAttempt>,
    service_result: Option<StoredResult>,
    progress_due: Option<Instant>,
}

enum Input {
    Command(Command),
    Attempt(AttemptMessage),
    ControlEnded,
    Timeout,
}

/// Whether the request goes on.
enum Flow {
    Continue,
    End,
}

impl<'a> RequestWorker<'a> {
    /// Handles `call` until its final response has been sent to `caller` or the caller disconnects.
    pub fn run(hub: &'a TrafficHub, call: &'a CheckedCall, caller: &'a mut dyn Caller) {
        let id = call.spec.id;
        let mut worker = Self {
            hub,
            call,
            caller,
            commands: hub.open(id),
            messages: flume::bounded(MESSAGES_MAX_LEN),
            assembler: None,
            running: None,
            service_result: None,
            progress_due: None,
        };
        let is_accepted = hub.send_event(Event::Request(Box::new(call.spec.clone())));
        let handled = if is_accepted {
            worker.handle()
        } else {
            worker.caller.refuse(&not_started())
        };
        if handled.is_err() {
            hub.send_event(Event::CallerDisconnected { request: id });
        }
        hub.close_request(id);
    }

    fn handle(&mut self) -> Result<(), CallerDisconnected> {
        loop {
            self.check_deadline();
            let flow = match self.wait() {
                Input::Command(command) => self.on_command(command)?,
                Input::Attempt(message) => self.on_attempt(message)?,
                Input::Timeout => self.caller.keep_alive().map(|()| Flow::Continue)?,
                Input::ControlEnded => return self.caller.refuse(&interrupted()),
            };
            if matches!(flow, Flow::End) {
                return Ok(());
            }
        }
    }

    fn wait(&self) -> Input {
        let keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
        let deadline = self
            .running
            .as_ref()
            .map_or(keep_alive_at, |r| r.deadline.min(keep_alive_at));
        let command =
            |received: Result<Command, _>| received.map_or(Input::ControlEnded, Input::Command);
        let message =
            |received: Result<AttemptMessage, _>| received.map_or(Input::Timeout, Input::Attempt);
        let selector = Selector::new()
            .recv(&self.commands, command)
            .recv(&self.messages.1, message);
        selector.wait_deadline(deadline).unwrap_or(Input::Timeout)
    }

    fn on_command(&mut self, command: Command) -> Result<Flow, CallerDisconnected> {
        match command {
            Command::Start(plan) => self.start(*plan),
            Command::Stop(attempt) => {
                if self.is_running(attempt) {
                    self.running = None;
                }
            }
            Command::End(end) => {
                self.running = None;
                self.end(&end)?;
                return Ok(Flow::End);
            }
            Command::Ticket(_) => {}
        }
        Ok(Flow::Continue)
    }

    fn start(&mut self, plan: AttemptPlan) {
        let assembler = self
            .assembler
            .get_or_insert_with(|| Assembler::new(plan.attempt));
        if !assembler.begin(plan.attempt) {
            return log::error!(
                "attempt {:?} ignored: it is older than the current one or of another request",
                plan.attempt
            );
        }
        let upstream = Arc::clone(self.hub.upstream());
        let call = self.upstream_call(&plan);
        let running = RunningAttempt::start(&plan, call, upstream, self.messages.0.clone());
        self.running = Some(running);
    }

    fn upstream_call(&self, plan: &AttemptPlan) -> Call {
        match &self.call.payload {
            Payload::Model(model) => Call::Stream(Box::new(StreamCall {
                plan: plan.clone(),
                adapter: model.adapter.clone(),
                prompt: Arc::clone(&model.prompt),
                max_output_tokens: model.max_output_tokens,
            })),
            Payload::Service(service) => Call::Service(Box::new(ServiceCall {
                plan: plan.clone(),
                method: service.method.clone(),
                path: service.path.clone(),
                content_type: service.content_type.clone(),
                key: service.key.clone(),
                body: service.body.clone(),
            })),
        }
    }

    fn on_attempt(&mut self, message: AttemptMessage) -> Result<Flow, CallerDisconnected> {
        if !self.is_running(message.attempt) {
            return Ok(Flow::Continue);
        }
        match message.item {
            Ok(Item::Stream(item)) => self.on_item(message.attempt, item)?,
            Ok(Item::ServiceResult(result)) => self.on_service_result(message.attempt, result),
            Err(error) => self.fail(error),
        }
        Ok(Flow::Continue)
    }

    fn on_item(&mut self, attempt: AttemptId, item: StreamItem) -> Result<(), CallerDisconnected> {
        let Some(assembler) = &mut self.assembler else {
            return Ok(());
        };
        let accepted = match item {
            StreamItem::Token(output) => assembler
                .push(attempt, output.offset_tokens, output.token)
                .map(drop),
            StreamItem::Done { output_tokens } => assembler.finish(attempt, output_tokens),
        };
        if let Err(error) = accepted {
            self.fail(UpstreamError::Malformed {
                reason: error.to_string(),
            });
            return Ok(());
        }
        while let Some((_, token)) = self.assembler.as_mut().and_then(Assembler::pop) {
            self.caller.token(&token)?;
            self.report_progress(attempt);
        }
        if self.assembler.as_ref().is_some_and(Assembler::is_complete) {
            self.complete(attempt, None);
        }
        Ok(())
    }

    fn delivered(&self) -> Tokens {
        self.assembler
            .as_ref()
            .map_or(Tokens::ZERO, Assembler::delivered)
    }

    fn on_service_result(&mut self, attempt: AttemptId, result: StoredResult) {
        let is_keyed = match &self.call.payload {
            Payload::Service(service) => service.key.is_some(),
            Payload::Model(_) => false,
        };
        self.complete(attempt, is_keyed.then(|| result.clone()));
        self.service_result = Some(result);
    }

    fn report_progress(&mut self, attempt: AttemptId) {
        let now = Instant::now();
        if self.progress_due.is_none_or(|due| due <= now) {
            self.progress_due = Some(now + PROGRESS_INTERVAL);
            self.hub.send_event(Event::Progress {
                attempt,
                delivered_tokens: self.delivered(),
            });
        }
    }

    fn complete(&mut self, attempt: AttemptId, result: Option<StoredResult>) {
        self.running = None;
        let end = AttemptResult::Complete {
            output_tokens: self.delivered(),
            result,
        };
        self.hub.send_event(Event::AttemptEnded { attempt, end });
    }

    fn fail(&mut self, error: UpstreamError) {
        let Some(running) = self.running.take() else {
            return;
        };
        self.hub.send_event(Event::AttemptEnded {
            attempt: running.attempt,
            end: AttemptResult::Failed {
                delivered_tokens: self.delivered(),
                error,
            },
        });
    }

    fn check_deadline(&mut self) {
        let now = Instant::now();
        if self.running.as_ref().is_some_and(|r| r.deadline <= now) {
            self.fail(UpstreamError::Timeout);
        }
    }

    fn end(&mut self, end: &FinalResponse) -> Result<(), CallerDisconnected> {
        match end {
            FinalResponse::Complete => match &self.service_result {
                Some(result) => self.caller.result(result),
                None => self.caller.finish(),
            },
            FinalResponse::Stored(result) => self.caller.result(result),
            FinalResponse::Refused(refusal) => self.caller.refuse(refusal),
        }
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        self.running.as_ref().is_some_and(|r| r.attempt == attempt)
    }
}

fn not_started() -> Refusal {
    let text = "the daemon has ended: ask another daemon";
    Refusal::not_run(RefusalCode::NotReady, text)
}

fn interrupted() -> Refusal {
    let text = "the daemon ended before the answer was whole: ask another daemon";
    Refusal::unknown(RefusalCode::NotReady, text)
}
