//! One call, and the verification of its response against the expected tokens.

use super::{CallResult, LoadBalancer};
use crate::workload::{Arrival, PromptGenerator, RequestKind};
use minreq::{Request, ResponseLazy};
use persimmon_core::{
    ids::{ModelVersion, ServiceName},
    request::Refusal,
    units::{Millis, Tokens},
};
use persimmon_io::is_final_status;
use persimmon_standin::engine::TokenSource;
use serde::Deserialize;
use std::{
    io::{BufRead, BufReader, ErrorKind, Read},
    time::Instant,
};

/// Margin of the client-side timeout over the timeout that the request states.
const TIMEOUT_MARGIN_MS: Millis = Millis::from_secs(5);

/// Maximum number of characters of an unexpected response body that are reported.
const BODY_EXCERPT_LEN: usize = 120;

/// Settings that all callers share.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The model and the version whose tokens are expected.
    pub model: ModelVersion,
    /// Timeout that each request states for the complete response.
    pub timeout_ms: Millis,
    /// Seed of the run; part of the idempotency keys.
    pub rng_seed: u64,
}

/// Sends requests and verifies their responses.
#[derive(Debug)]
pub struct Caller<'a> {
    /// Settings that all callers share.
    pub settings: &'a CallerSettings,
    /// Selects the daemon.
    pub balancer: &'a LoadBalancer,
    /// Generates the prompts.
    pub prompt_generator: &'a PromptGenerator,
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
struct ServiceResponse {
    key: Option<String>,
    run: u64,
}

impl Caller<'_> {
    /// Sends the request of an arrival. Returns when the first token arrived, or the whole response
    /// of a plain service, and how the call ended.
    pub fn call(&self, arrival: &Arrival) -> (Option<Instant>, CallResult) {
        match &arrival.kind {
            RequestKind::Service(service) => self.call_service(arrival, service),
            RequestKind::Model { output_tokens, .. } => self.call_model(arrival, *output_tokens),
        }
    }

    fn call_model(
        &self,
        arrival: &Arrival,
        output_tokens: Tokens,
    ) -> (Option<Instant>, CallResult) {
        let prompt = self.prompt_generator.generate(arrival);
        let body = format!(
            r#"{{"model":"{}","prompt":"{prompt}","max_tokens":{output_tokens},"stream":true}}"#,
            self.settings.model.name(),
        );
        let expected = TokenSource::new(&self.settings.model, &prompt);
        drop(prompt);
        match self.send(arrival, "/v1/completions", &body, None) {
            Err(result) => (None, result),
            Ok(response) if response.status_code == 200 => {
                Stream::new(expected, output_tokens).read_events(response)
            }
            Ok(response) => (None, result_of_refusal(response)),
        }
    }

    fn call_service(
        &self,
        arrival: &Arrival,
        service: &ServiceName,
    ) -> (Option<Instant>, CallResult) {
        let path = format!("/services/{service}/orders/{}", arrival.number_index);
        let key = arrival.idempotency_key(self.settings.rng_seed);
        let mut response = match self.send(arrival, &path, r#"{"release":true}"#, Some(&key)) {
            Err(result) => return (None, result),
            Ok(response) => response,
        };
        if response.status_code != 200 {
            return (None, result_of_refusal(response));
        }
        let mut body = Vec::new();
        if let Err(error) = response.read_to_end(&mut body) {
            return (None, CallResult::Lost(error.to_string()));
        }
        let result = match serde_json::from_slice::<ServiceResponse>(&body) {
            Ok(body) if body.key.as_deref() == Some(&key) && body.run == 1 => CallResult::Whole,
            Ok(body) => CallResult::Wrong(format!("run {} of key {:?}", body.run, body.key)),
            Err(error) => CallResult::Wrong(error.to_string()),
        };
        (Some(Instant::now()), result)
    }

    /// Sends a request to the first candidate that accepts the connection.
    fn send(
        &self,
        arrival: &Arrival,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<ResponseLazy, CallResult> {
        for daemon in self.balancer.candidates() {
            let request = minreq::post(format!("http://{daemon}{path}"));
            let request = self.with_headers(request, arrival, key).with_body(body);
            match request.send_lazy() {
                Err(minreq::Error::IoError(error))
                    if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(error) => return Err(CallResult::Lost(error.to_string())),
                Ok(response) => return Ok(response),
            }
        }
        Err(CallResult::Lost("no daemon takes connections".into()))
    }

    fn with_headers(&self, request: Request, arrival: &Arrival, key: Option<&str>) -> Request {
        let timeout_ms = self.settings.timeout_ms;
        let client_timeout_s = (timeout_ms + TIMEOUT_MARGIN_MS).get().div_ceil(1000);
        let request = request
            .with_header("Connection", "close")
            .with_header("Content-Type", "application/json")
            .with_header("X-Workspace", arrival.workspace.as_str())
            .with_header("X-Request-Timeout-Ms", timeout_ms.get().to_string())
            .with_follow_redirects(false)
            .with_timeout(client_timeout_s);
        match key {
            Some(key) => request.with_header("Idempotency-Key", key),
            None => request,
        }
    }
}

fn result_of_refusal(mut response: ResponseLazy) -> CallResult {
    let mut body = Vec::new();
    let status = response.status_code;
    if let Err(error) = response.read_to_end(&mut body) {
        return CallResult::Lost(format!("status {status}, then {error}"));
    }
    if !is_final_status(status) {
        return CallResult::Lost(format!("status {status} is none of HTTP"));
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => CallResult::Refused(error.code, error.outcome),
        Err(_) => {
            let body = String::from_utf8_lossy(&body);
            let start: String = body.chars().take(BODY_EXCERPT_LEN).collect();
            CallResult::Lost(format!("status {status} without a refusal: {start}"))
        }
    }
}

/// Reads one token stream and compares it with the expected tokens.
struct Stream {
    expected: TokenSource,
    output_tokens: Tokens,
    received_tokens: u64,
    first_token_at: Option<Instant>,
    expects_error: bool,
}

impl Stream {
    fn new(expected: TokenSource, output_tokens: Tokens) -> Self {
        Self {
            expected,
            output_tokens,
            received_tokens: 0,
            first_token_at: None,
            expects_error: false,
        }
    }

    fn read_events(mut self, response: ResponseLazy) -> (Option<Instant>, CallResult) {
        let mut reader = BufReader::new(response);
        let mut line = String::new();
        loop {
            line.clear();
            let read = reader.read_line(&mut line);
            let result = match read {
                Ok(0) => Some(CallResult::Lost(
                    "the stream ended without a finish marker".into(),
                )),
                Ok(_) => self.handle_line(line.trim_end()),
                Err(error) => Some(CallResult::Lost(error.to_string())),
            };
            if let Some(result) = result {
                return (self.first_token_at, result);
            }
        }
    }

    fn handle_line(&mut self, line: &str) -> Option<CallResult> {
        if line == "event: error" {
            self.expects_error = true;
        }
        let data = line.strip_prefix("data: ")?;
        if self.expects_error {
            return Some(self.result_of_error(data));
        }
        if data == "[DONE]" {
            return Some(match self.received_tokens == self.output_tokens.get() {
                true => CallResult::Whole,
                false => CallResult::Wrong(format!("{} tokens", self.received_tokens)),
            });
        }
        let Ok(chunk) = serde_json::from_str::<Chunk<'_>>(data) else {
            return Some(CallResult::Wrong("a chunk is malformed".into()));
        };
        let text = chunk.choices.first().map_or("", |choice| choice.text);
        self.check_tokens(text)
    }

    fn check_tokens(&mut self, text: &str) -> Option<CallResult> {
        for word in text.split_ascii_whitespace() {
            self.first_token_at.get_or_insert_with(Instant::now);
            if word != self.expected.token(self.received_tokens) {
                return Some(CallResult::Wrong(format!("token {}", self.received_tokens)));
            }
            self.received_tokens += 1;
        }
        None
    }

    fn result_of_error(&self, data: &str) -> CallResult {
        match (serde_json::from_str::<ErrorBody>(data), self.first_token_at) {
            (Ok(ErrorBody { error }), None) => CallResult::Refused(error.code, error.outcome),
            (Ok(ErrorBody { error }), Some(_)) => CallResult::CutOff(error.code, error.outcome),
            (Err(error), _) => CallResult::Lost(error.to_string()),
        }
    }
}
