//! One caller's request from its first event to its last word.

use super::{
    attempt::{Call, Item, News, Running},
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

/// Pieces of an attempt that may wait for a slow caller.
const NEWS_MAX_LEN: usize = 256;

/// Time without a token after which a caller is shown that its answer is on its way, and after
/// which a caller that went away is noticed.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Shortest time between two progress events after the first.
const PROGRESS: Duration = Duration::from_millis(250);

/// Carries one caller's request.
pub struct RequestWorker<'a> {
    hub: &'a TrafficHub,
    call: &'a CheckedCall,
    caller: &'a mut dyn Caller,
    commands: Receiver<Command>,
    news: (Sender<News>, Receiver<News>),
    assembler: Option<Assembler>,
    running: Option<Running>,
    served: Option<StoredResult>,
    progress_due: Option<Instant>,
}

enum Input {
    Command(Command),
    News(News),
    ControlEnded,
    Quiet,
}

/// Whether more is to come for the request.
enum Flow {
    More,
    End,
}

impl<'a> RequestWorker<'a> {
    /// Carries `call` until its last word went to `caller` or the caller went away.
    pub fn run(hub: &'a TrafficHub, call: &'a CheckedCall, caller: &'a mut dyn Caller) {
        let id = call.spec.id;
        let mut worker = Self {
            hub,
            call,
            caller,
            commands: hub.open(id),
            news: flume::bounded(NEWS_MAX_LEN),
            assembler: None,
            running: None,
            served: None,
            progress_due: None,
        };
        let is_told = hub.send_event(Event::Request(Box::new(call.spec.clone())));
        let carried = if is_told {
            worker.carry()
        } else {
            worker.caller.refuse(&not_started())
        };
        if carried.is_err() {
            hub.send_event(Event::CallerDisconnected { request: id });
        }
        hub.close_request(id);
    }

    fn carry(&mut self) -> Result<(), CallerDisconnected> {
        loop {
            self.check_deadline();
            let flow = match self.wait() {
                Input::Command(command) => self.on_command(command)?,
                Input::News(news) => self.on_news(news)?,
                Input::Quiet => self.caller.keep_alive().map(|()| Flow::More)?,
                Input::ControlEnded => return self.caller.refuse(&ended()),
            };
            if matches!(flow, Flow::End) {
                return Ok(());
            }
        }
    }

    fn wait(&self) -> Input {
        let quiet = Instant::now() + KEEP_ALIVE;
        let deadline = self
            .running
            .as_ref()
            .map_or(quiet, |r| r.deadline.min(quiet));
        let commands = |got: Result<Command, _>| got.map_or(Input::ControlEnded, Input::Command);
        let news = |got: Result<News, _>| got.map_or(Input::Quiet, Input::News);
        let selector = Selector::new()
            .recv(&self.commands, commands)
            .recv(&self.news.1, news);
        selector.wait_deadline(deadline).unwrap_or(Input::Quiet)
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
        Ok(Flow::More)
    }

    fn start(&mut self, plan: AttemptPlan) {
        let assembler = self
            .assembler
            .get_or_insert_with(|| Assembler::new(plan.attempt));
        if !assembler.begin(plan.attempt) {
            return log::error!("attempt {:?} is older than the present one", plan.attempt);
        }
        let upstream = Arc::clone(self.hub.upstream());
        let call = self.upstream_call(&plan);
        let running = Running::start(&plan, call, upstream, self.news.0.clone());
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

    fn on_news(&mut self, news: News) -> Result<Flow, CallerDisconnected> {
        if !self.is_running(news.attempt) {
            return Ok(Flow::More);
        }
        match news.item {
            Ok(Item::Stream(item)) => self.on_item(news.attempt, item)?,
            Ok(Item::Served(result)) => self.on_served(news.attempt, result),
            Err(error) => self.fail(error),
        }
        Ok(Flow::More)
    }

    fn on_item(&mut self, attempt: AttemptId, item: StreamItem) -> Result<(), CallerDisconnected> {
        let Some(assembler) = &mut self.assembler else {
            return Ok(());
        };
        let taken = match item {
            StreamItem::Token(piece) => assembler
                .push(attempt, piece.offset_tokens, piece.token)
                .map(drop),
            StreamItem::Done { output_tokens } => assembler.finish(attempt, output_tokens),
        };
        if let Err(error) = taken {
            self.fail(UpstreamError::Malformed {
                reason: error.to_string(),
            });
            return Ok(());
        }
        while let Some((_, token)) = self.assembler.as_mut().and_then(Assembler::pop) {
            self.caller.token(&token)?;
            self.report(attempt);
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

    fn on_served(&mut self, attempt: AttemptId, result: StoredResult) {
        let is_keyed = match &self.call.payload {
            Payload::Service(service) => service.key.is_some(),
            Payload::Model(_) => false,
        };
        self.complete(attempt, is_keyed.then(|| result.clone()));
        self.served = Some(result);
    }

    fn report(&mut self, attempt: AttemptId) {
        let now = Instant::now();
        if self.progress_due.is_none_or(|due| due <= now) {
            self.progress_due = Some(now + PROGRESS);
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
            FinalResponse::Complete => match &self.served {
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

fn ended() -> Refusal {
    let text = "the daemon ended before the answer was whole: ask another daemon";
    Refusal::unknown(RefusalCode::NotReady, text)
}
