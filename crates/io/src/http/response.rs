//! Writes the HTTP response to one caller.

use super::{AnswerFormat, RequestError};
use crate::{
    listener::{ChunkSender, Responder},
    traffic::{Caller, CallerDisconnected},
};
use bytes::Bytes;
use http::{header, response::Parts, HeaderName, HeaderValue, Response, StatusCode};
use persimmon_core::{
    ids::{ModelName, RequestId},
    request::{Refusal, StoredResult},
};
use serde_json::{json, Value};
use std::fmt;

/// What a response takes from its request.
#[derive(Clone, Debug)]
pub(super) struct ResponseHead {
    /// The id that this daemon gave the request, sent as `X-Persimmon-Request`.
    pub(super) request: RequestId,
    /// The value of `X-Request-Id`: the caller's own id, or the daemon's where the caller sent no
    /// valid one.
    pub(super) echoed_id: String,
}

/// How the answers of a model call are encoded.
#[derive(Clone, Debug)]
pub(super) struct CompletionStyle {
    pub(super) model: ModelName,
    pub(super) format: AnswerFormat,
    pub(super) stream: bool,
}

/// State of the response.
enum Output {
    /// Nothing is sent yet.
    Unsent(Responder),
    /// An event stream is open.
    Streaming(ChunkSender),
    /// The response is complete or failed.
    Ended,
}

/// The connection to one caller.
pub(super) struct HttpCaller {
    head: ResponseHead,
    style: Option<CompletionStyle>,
    output: Output,
    tokens: Vec<Bytes>,
    token_count: u64,
}

impl fmt::Debug for HttpCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpCaller")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl HttpCaller {
    pub(super) fn new(responder: Responder, head: ResponseHead) -> Self {
        Self {
            head,
            style: None,
            output: Output::Unsent(responder),
            tokens: Vec::new(),
            token_count: 0,
        }
    }

    /// Fails if the caller has disconnected before anything is sent.
    fn check_connected(&self) -> Result<(), CallerDisconnected> {
        match &self.output {
            Output::Unsent(responder) if responder.has_disconnected() => Err(CallerDisconnected),
            _ => Ok(()),
        }
    }

    pub(super) fn set_style(&mut self, style: CompletionStyle) {
        self.style = Some(style);
    }

    /// Sends a complete response with a body of known length. Does nothing if a response was
    /// started before.
    pub(super) fn send_response(
        &mut self,
        status: u16,
        content_type: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        let Output::Unsent(responder) = std::mem::replace(&mut self.output, Output::Ended) else {
            return Ok(());
        };
        responder.send(self.head.response(status, content_type, headers, body))
    }

    /// Sends a refusal with `status` instead of the status of its code.
    pub(super) fn refuse_with_status(
        &mut self,
        status: u16,
        refusal: &Refusal,
    ) -> Result<(), CallerDisconnected> {
        let (headers, body) = refusal_parts(refusal);
        self.send_response(status, "application/json", &headers, body.as_bytes())
    }

    fn open_stream(&mut self) -> Result<(), CallerDisconnected> {
        if !matches!(self.output, Output::Unsent(_)) {
            return Ok(());
        }
        let Output::Unsent(responder) = std::mem::replace(&mut self.output, Output::Ended) else {
            return Ok(());
        };
        let mut head = self.head.parts(200, "text/event-stream");
        let no_store = HeaderValue::from_static("no-store");
        head.headers.insert(header::CACHE_CONTROL, no_store);
        self.output = Output::Streaming(responder.stream(head)?);
        Ok(())
    }

    fn write(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.open_stream()?;
        match &self.output {
            Output::Streaming(chunks) => chunks.send(Bytes::copy_from_slice(text.as_bytes())),
            Output::Unsent(_) | Output::Ended => Ok(()),
        }
    }

    fn end_stream(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.write(text)?;
        match std::mem::replace(&mut self.output, Output::Ended) {
            Output::Streaming(chunks) => chunks.end(),
            Output::Unsent(_) | Output::Ended => Ok(()),
        }
    }

    fn is_stream(&self) -> bool {
        self.style.as_ref().is_some_and(|style| style.stream)
    }

    /// JSON of one stream event. Without a text, the event that ends the answer.
    fn completion_chunk(&self, style: &CompletionStyle, text: Option<&str>) -> Value {
        let finish = text.is_none().then_some("stop");
        let mut choice = json!({"index": 0, "finish_reason": finish});
        let object = match style.format {
            AnswerFormat::Chat => {
                choice["delta"] = text.map_or(json!({}), |text| json!({"content": text}));
                "chat.completion.chunk"
            }
            AnswerFormat::Text => {
                choice["text"] = json!(text.unwrap_or_default());
                "text_completion"
            }
        };
        json!({
            "id": self.head.request, "object": object, "model": style.model, "choices": [choice],
        })
    }

    /// JSON body of a complete answer.
    fn completion(&self, style: &CompletionStyle, text: &str) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": "stop"});
        let object = match style.format {
            AnswerFormat::Chat => {
                choice["message"] = json!({"role": "assistant", "content": text});
                "chat.completion"
            }
            AnswerFormat::Text => {
                choice["text"] = json!(text);
                "text_completion"
            }
        };
        json!({
            "id": self.head.request, "object": object, "model": style.model, "choices": [choice],
            "usage": {"completion_tokens": self.token_count},
        })
    }
}

impl Caller for HttpCaller {
    fn token(&mut self, token: &Bytes) -> Result<(), CallerDisconnected> {
        self.token_count += 1;
        if !self.is_stream() {
            self.tokens.push(token.clone());
            return self.check_connected();
        }
        let Some(style) = self.style.clone() else {
            return Ok(());
        };
        let space = if self.token_count > 1 { " " } else { "" };
        let text = format!("{space}{}", String::from_utf8_lossy(token));
        let chunk = self.completion_chunk(&style, Some(&text));
        self.write(&format!("data: {chunk}\n\n"))
    }

    fn keep_alive(&mut self) -> Result<(), CallerDisconnected> {
        match self.output {
            Output::Streaming(_) => self.write(":\n\n"),
            Output::Unsent(_) => self.check_connected(),
            Output::Ended => Ok(()),
        }
    }

    fn finish(&mut self) -> Result<(), CallerDisconnected> {
        let Some(style) = self.style.clone() else {
            return Ok(());
        };
        if style.stream {
            let chunk = self.completion_chunk(&style, None);
            return self.end_stream(&format!("data: {chunk}\n\ndata: [DONE]\n\n"));
        }
        let words: Vec<_> = self
            .tokens
            .iter()
            .map(|t| String::from_utf8_lossy(t))
            .collect();
        let answer = self.completion(&style, &words.join(" ")).to_string();
        self.send_response(200, "application/json", &[], answer.as_bytes())
    }

    fn result(&mut self, result: &StoredResult) -> Result<(), CallerDisconnected> {
        self.send_response(result.status, &result.content_type, &[], &result.body)
    }

    fn refuse(&mut self, refusal: &Refusal) -> Result<(), CallerDisconnected> {
        match self.output {
            Output::Unsent(_) => self.refuse_with_status(refusal.code.status(), refusal),
            _ => self.end_stream(&format!(
                "event: error\ndata: {}\n\n",
                refusal_json(refusal)
            )),
        }
    }
}

impl ResponseHead {
    /// The answer to a request that is refused before it is served.
    pub(super) fn refusal(&self, error: &RequestError) -> Response<Bytes> {
        let (headers, body) = refusal_parts(&error.refusal());
        self.response(
            error.status(),
            "application/json",
            &headers,
            body.as_bytes(),
        )
    }

    fn response(
        &self,
        status: u16,
        content_type: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
    ) -> Response<Bytes> {
        let mut parts = self.parts(status, content_type);
        for (name, value) in headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                parts.headers.insert(name, value);
            }
        }
        parts
            .headers
            .insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        Response::from_parts(parts, Bytes::copy_from_slice(body))
    }

    /// Status and the headers that all responses have.
    fn parts(&self, status: u16, content_type: &str) -> Parts {
        let (mut parts, ()) = Response::new(()).into_parts();
        parts.status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let clean: String = content_type.chars().filter(|c| !c.is_control()).collect();
        let mut insert = |name: &'static str, value: &str| {
            // All values are visible text; one that is not is left out.
            if let Ok(value) = HeaderValue::from_str(value) {
                parts.headers.insert(HeaderName::from_static(name), value);
            }
        };
        insert("content-type", &clean);
        insert("x-request-id", &self.echoed_id);
        insert("x-persimmon-request", &self.request.to_string());
        parts
    }
}

/// Headers and body of a refusal.
fn refusal_parts(refusal: &Refusal) -> (Vec<(&'static str, String)>, String) {
    let mut headers = vec![("x-outcome", refusal.outcome.to_string())];
    if let Some(span) = refusal.retry_after_ms {
        headers.push(("retry-after", span.get().div_ceil(1000).to_string()));
    }
    (headers, refusal_json(refusal).to_string())
}

fn refusal_json(refusal: &Refusal) -> Value {
    json!({"error": refusal})
}
