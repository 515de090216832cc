//! One call, and the check of its answer against the token formula.

use super::{Balancer, End};
use crate::workload::{Arrival, Prompts, Work};
use minreq::{Request, ResponseLazy};
use persimmon_core::{
    ids::{ModelVersion, ServiceName},
    request::Refusal,
    units::{Millis, Tokens},
};
use persimmon_standin::engine::TokenSource;
use serde::Deserialize;
use std::{
    io::{BufRead, BufReader, ErrorKind, Read},
    time::Instant,
};

/// Time that a caller waits on top of the time that it gave.
const PATIENCE_MS: Millis = Millis::from_secs(5);

/// What callers have in common.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The model, with the version whose answers are expected.
    pub model: ModelVersion,
    /// Time that they give for a whole answer.
    pub timeout_ms: Millis,
    /// Seed of the run, part of idempotency keys.
    pub seed: u64,
}

/// Makes calls.
#[derive(Debug)]
pub struct Caller<'a> {
    /// What callers have in common.
    pub settings: &'a CallerSettings,
    /// Chooses the daemon.
    pub balancer: &'a Balancer,
    /// Makes the prompts.
    pub prompts: &'a Prompts,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    text: &'a str,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

#[derive(Deserialize)]
struct ServiceBody {
    key: Option<String>,
    run: u64,
}

impl Caller<'_> {
    /// Makes the call of an arrival. Gives the time of the first token, and the end.
    pub fn call(&self, arrival: &Arrival) -> (Option<Instant>, End) {
        match &arrival.work {
            Work::Service(service) => self.service(arrival, service),
            Work::Model { output_tokens, .. } => self.model(arrival, *output_tokens),
        }
    }

    fn model(&self, arrival: &Arrival, output: Tokens) -> (Option<Instant>, End) {
        let prompt = self.prompts.prompt(arrival);
        let body = format!(
            r#"{{"model":"{}","prompt":"{prompt}","max_tokens":{output},"stream":true}}"#,
            self.settings.model.name(),
        );
        let expected = TokenSource::new(&self.settings.model, &prompt);
        drop(prompt);
        match self.send(arrival, "/v1/completions", &body, None) {
            Err(end) => (None, end),
            Ok(answer) if answer.status_code == 200 => Stream::new(expected, output).hear(answer),
            Ok(answer) => (None, refused(answer)),
        }
    }

    fn service(&self, arrival: &Arrival, service: &ServiceName) -> (Option<Instant>, End) {
        let path = format!("/services/{service}/orders/{}", arrival.number_index);
        let key = arrival.key(self.settings.seed);
        let mut answer = match self.send(arrival, &path, r#"{"release":true}"#, Some(&key)) {
            Err(end) => return (None, end),
            Ok(answer) => answer,
        };
        if answer.status_code != 200 {
            return (None, refused(answer));
        }
        let mut body = Vec::new();
        if let Err(error) = answer.read_to_end(&mut body) {
            return (None, End::Lost(error.to_string()));
        }
        let end = match serde_json::from_slice::<ServiceBody>(&body) {
            Ok(body) if body.key.as_deref() == Some(&key) && body.run == 1 => End::Whole,
            Ok(body) => End::Wrong(format!("run {} of key {:?}", body.run, body.key)),
            Err(error) => End::Wrong(error.to_string()),
        };
        (Some(Instant::now()), end)
    }

    /// Sends a call to the first daemon that takes the connection.
    fn send(
        &self,
        arrival: &Arrival,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<ResponseLazy, End> {
        for daemon in self.balancer.choices() {
            let request = minreq::post(format!("http://{daemon}{path}"));
            let request = self.with_headers(request, arrival, key).with_body(body);
            match request.send_lazy() {
                Err(minreq::Error::IoError(error))
                    if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(error) => return Err(End::Lost(error.to_string())),
                Ok(answer) => return Ok(answer),
            }
        }
        Err(End::Lost("no daemon takes connections".into()))
    }

    fn with_headers(&self, request: Request, arrival: &Arrival, key: Option<&str>) -> Request {
        let timeout_ms = self.settings.timeout_ms;
        let waits_s = (timeout_ms + PATIENCE_MS).get().div_ceil(1000);
        let request = request
            .with_header("Connection", "close")
            .with_header("Content-Type", "application/json")
            .with_header("X-Workspace", arrival.workspace.as_str())
            .with_header("X-Request-Timeout-Ms", timeout_ms.get().to_string())
            .with_follow_redirects(false)
            .with_timeout(waits_s);
        match key {
            Some(key) => request.with_header("Idempotency-Key", key),
            None => request,
        }
    }
}

fn refused(mut answer: ResponseLazy) -> End {
    let mut body = Vec::new();
    let status = answer.status_code;
    if let Err(error) = answer.read_to_end(&mut body) {
        return End::Lost(format!("status {status}, then {error}"));
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => End::Refused(error.code, error.outcome),
        Err(_) => End::Lost(format!("status {status} without a refusal")),
    }
}

/// Hears one stream and compares it with what it should be.
struct Stream {
    expected: TokenSource,
    output: Tokens,
    heard_tokens: u64,
    first: Option<Instant>,
    error_event: bool,
}

impl Stream {
    fn new(expected: TokenSource, output: Tokens) -> Self {
        Self {
            expected,
            output,
            heard_tokens: 0,
            first: None,
            error_event: false,
        }
    }

    fn hear(mut self, answer: ResponseLazy) -> (Option<Instant>, End) {
        let mut source = BufReader::new(answer);
        let mut line = String::new();
        loop {
            line.clear();
            let read = source.read_line(&mut line);
            let end = match read {
                Ok(0) => Some(End::Lost("the stream ended without a finish marker".into())),
                Ok(_) => self.line(line.trim_end()),
                Err(error) => Some(End::Lost(error.to_string())),
            };
            if let Some(end) = end {
                return (self.first, end);
            }
        }
    }

    fn line(&mut self, line: &str) -> Option<End> {
        if line == "event: error" {
            self.error_event = true;
        }
        let data = line.strip_prefix("data: ")?;
        if self.error_event {
            return Some(self.broken(data));
        }
        if data == "[DONE]" {
            return Some(match self.heard_tokens == self.output.get() {
                true => End::Whole,
                false => End::Wrong(format!("{} tokens", self.heard_tokens)),
            });
        }
        let Ok(chunk) = serde_json::from_str::<Chunk<'_>>(data) else {
            return Some(End::Wrong("a chunk is malformed".into()));
        };
        let text = chunk.choices.first().map_or("", |choice| choice.text);
        self.words(text)
    }

    fn words(&mut self, text: &str) -> Option<End> {
        for word in text.split_ascii_whitespace() {
            self.first.get_or_insert_with(Instant::now);
            if word != self.expected.token(self.heard_tokens) {
                return Some(End::Wrong(format!("token {}", self.heard_tokens)));
            }
            self.heard_tokens += 1;
        }
        None
    }

    fn broken(&self, data: &str) -> End {
        match (serde_json::from_str::<ErrorBody>(data), self.first) {
            (Ok(ErrorBody { error }), None) => End::Refused(error.code, error.outcome),
            (Ok(ErrorBody { error }), Some(_)) => End::CutOff(error.code, error.outcome),
            (Err(error), _) => End::Lost(error.to_string()),
        }
    }
}
