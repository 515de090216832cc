//! Writes the HTTP response to one caller.

use super::AnswerFormat;
use crate::{
    listener::DisconnectDetector,
    traffic::{Caller, CallerDisconnected},
};
use bytes::Bytes;
use chunked_transfer::Encoder;
use persimmon_core::{
    ids::{ModelName, RequestId},
    request::{Refusal, StoredResult},
};
use serde_json::{json, Value};
use std::{
    fmt,
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Shortest time between two checks whether the caller has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a response takes from its request.
#[derive(Clone, Debug)]
pub(super) struct ResponseHead {
    /// The id that this daemon gave the request, sent as `X-Persimmon-Request`.
    pub(super) request: RequestId,
    /// The value of `X-Request-Id`: the caller's own id, or the daemon's where the caller sent no
    /// valid one.
    pub(super) echoed_id: String,
    /// Whether the method is HEAD, so that no body is sent.
    pub(super) head_only: bool,
    /// Whether the caller understands chunked transfer encoding (HTTP/1.1 and later).
    pub(super) is_chunked: bool,
}

/// Detects that a caller has closed its connection while nothing is being written to it.
#[derive(Clone, Debug)]
pub(super) struct DisconnectWatch {
    /// The caller's address.
    pub(super) remote: SocketAddr,
    /// Connection states as the operating system reports them.
    pub(super) disconnects: Arc<DisconnectDetector>,
}

/// How the answers of a model call are encoded.
#[derive(Clone, Debug)]
pub(super) struct CompletionStyle {
    pub(super) model: ModelName,
    pub(super) format: AnswerFormat,
    pub(super) stream: bool,
}

type RawWriter = Box<dyn Write + Send>;

/// Flushes after each write. The chunk encoder writes each chunk in full but does not flush the
/// writer below it, and the connection's writer is buffered.
struct Flushing(RawWriter);

impl Write for Flushing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush().map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// State of the response.
enum Output {
    /// Nothing is sent yet.
    Unsent(RawWriter),
    /// An event stream in chunked transfer encoding is open.
    Chunked(Encoder<Flushing>),
    /// An event stream that ends with the connection is open, for callers before HTTP/1.1.
    Unchunked(RawWriter),
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
    disconnect_watch: Option<DisconnectWatch>,
    last_check: Instant,
}

impl fmt::Debug for HttpCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpCaller")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl HttpCaller {
    pub(super) fn new(
        writer: RawWriter,
        head: ResponseHead,
        disconnect_watch: Option<DisconnectWatch>,
    ) -> Self {
        Self {
            head,
            style: None,
            output: Output::Unsent(writer),
            tokens: Vec::new(),
            token_count: 0,
            disconnect_watch,
            last_check: Instant::now(),
        }
    }

    /// Fails if the caller has disconnected. Asks the system at most once per
    /// `DISCONNECT_CHECK_INTERVAL`.
    fn check_connected(&mut self) -> Result<(), CallerDisconnected> {
        let Some(watch) = &self.disconnect_watch else {
            return Ok(());
        };
        if self.last_check.elapsed() < DISCONNECT_CHECK_INTERVAL {
            return Ok(());
        }
        self.last_check = Instant::now();
        match watch.disconnects.has_disconnected(watch.remote) {
            true => Err(CallerDisconnected),
            false => Ok(()),
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
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        let Output::Unsent(mut writer) = std::mem::replace(&mut self.output, Output::Ended) else {
            return Ok(());
        };
        let mut head = self.render_head(status, content_type);
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut write = || {
            writer.write_all(head.as_bytes())?;
            if !self.head.head_only {
                writer.write_all(body)?;
            }
            writer.flush()
        };
        write().map_err(|_: io::Error| CallerDisconnected)
    }

    /// Sends a refusal with `status` instead of the status of its code.
    pub(super) fn refuse_with_status(
        &mut self,
        status: u16,
        refusal: &Refusal,
    ) -> Result<(), CallerDisconnected> {
        let body = refusal_json(refusal).to_string();
        let mut headers = vec![("X-Outcome", refusal.outcome.to_string())];
        if let Some(span) = refusal.retry_after_ms {
            headers.push(("Retry-After", span.get().div_ceil(1000).to_string()));
        }
        self.send_response(status, "application/json", &headers, body.as_bytes())
    }

    /// Status line and the headers that all responses have; without the empty line at the end.
    fn render_head(&self, status: u16, content_type: &str) -> String {
        let reason = tiny_http::StatusCode(status).default_reason_phrase();
        let clean: String = content_type.chars().filter(|c| !c.is_control()).collect();
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {clean}\r\nX-Request-Id: {}\r\n\
             X-Persimmon-Request: {}\r\n",
            self.head.echoed_id, self.head.request
        )
    }

    fn open_stream(&mut self) -> Result<(), CallerDisconnected> {
        if !matches!(self.output, Output::Unsent(_)) {
            return Ok(());
        }
        let Output::Unsent(mut writer) = std::mem::replace(&mut self.output, Output::Ended) else {
            return Ok(());
        };
        let mut head = self.render_head(200, "text/event-stream");
        head.push_str("Cache-Control: no-store\r\n");
        if self.head.is_chunked {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        head.push_str("\r\n");
        writer
            .write_all(head.as_bytes())
            .map_err(|_| CallerDisconnected)?;
        self.output = if self.head.is_chunked {
            Output::Chunked(Encoder::with_flush_after_write(Flushing(writer)))
        } else {
            Output::Unchunked(writer)
        };
        Ok(())
    }

    fn write(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.open_stream()?;
        let written = match &mut self.output {
            Output::Chunked(encoder) => encoder.write_all(text.as_bytes()),
            Output::Unchunked(writer) => {
                let written = writer.write_all(text.as_bytes());
                written.and_then(|()| writer.flush())
            }
            Output::Unsent(_) | Output::Ended => Ok(()),
        };
        written.map_err(|_| CallerDisconnected)
    }

    fn end_stream(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.write(text)?;
        match std::mem::replace(&mut self.output, Output::Ended) {
            // The encoder writes the terminating chunk when it is dropped.
            Output::Chunked(encoder) => drop(encoder),
            Output::Unchunked(mut writer) => writer.flush().map_err(|_| CallerDisconnected)?,
            Output::Unsent(_) | Output::Ended => {}
        }
        Ok(())
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
            Output::Chunked(_) | Output::Unchunked(_) => self.write(":\n\n"),
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

fn refusal_json(refusal: &Refusal) -> Value {
    json!({"error": refusal})
}
