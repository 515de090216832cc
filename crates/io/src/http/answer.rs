//! Writes answers to one caller.

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

/// Shortest time between two looks whether a caller is still there.
const WATCH_GAP: Duration = Duration::from_millis(250);

/// What an answer says of its request.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    /// The daemon's id of the request.
    pub(super) request: RequestId,
    /// The id that the caller reads back.
    pub(super) echoed_id: String,
    /// Whether the caller asked for the head alone.
    pub(super) head_only: bool,
    /// Whether the caller understands chunks.
    pub(super) chunks: bool,
}

/// Notices that a caller closed its connection while nothing is written to it.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    /// Where the caller is.
    pub(super) remote: SocketAddr,
    /// What the system says of connections.
    pub(super) disconnects: Arc<DisconnectDetector>,
}

/// How model answers look.
#[derive(Clone, Debug)]
pub(super) struct ModelStyle {
    pub(super) model: ModelName,
    pub(super) format: AnswerFormat,
    pub(super) stream: bool,
}

type RawWriter = Box<dyn Write + Send>;

/// Flushes after each write. The encoder writes each chunk whole but does not flush what it writes
/// to, and the connection's writer buffers.
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

enum Out {
    Unsent(RawWriter),
    Chunks(Encoder<Flushing>),
    Plain(RawWriter),
    Ended,
}

/// The connection to one caller.
pub(super) struct HttpCaller {
    head: AnswerHead,
    style: Option<ModelStyle>,
    out: Out,
    collected: Vec<Bytes>,
    token_count: u64,
    watch: Option<Watch>,
    watched: Instant,
}

impl fmt::Debug for HttpCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpCaller")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl HttpCaller {
    pub(super) fn new(writer: RawWriter, head: AnswerHead, watch: Option<Watch>) -> Self {
        Self {
            head,
            style: None,
            out: Out::Unsent(writer),
            collected: Vec::new(),
            token_count: 0,
            watch,
            watched: Instant::now(),
        }
    }

    /// Looks now and then whether the caller is still there.
    fn look(&mut self) -> Result<(), CallerDisconnected> {
        let Some(watch) = &self.watch else {
            return Ok(());
        };
        if self.watched.elapsed() < WATCH_GAP {
            return Ok(());
        }
        self.watched = Instant::now();
        match watch.disconnects.has_disconnected(watch.remote) {
            true => Err(CallerDisconnected),
            false => Ok(()),
        }
    }

    pub(super) fn set_style(&mut self, style: ModelStyle) {
        self.style = Some(style);
    }

    /// Writes a whole answer. Only the first one counts.
    pub(super) fn whole(
        &mut self,
        status: u16,
        content_type: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        let Out::Unsent(mut writer) = std::mem::replace(&mut self.out, Out::Ended) else {
            return Ok(());
        };
        let mut head = self.start_of_head(status, content_type);
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

    /// Writes a refusal with a status of its own.
    pub(super) fn refuse_with(
        &mut self,
        status: u16,
        refusal: &Refusal,
    ) -> Result<(), CallerDisconnected> {
        let body = refusal_json(refusal).to_string();
        let mut headers = vec![("X-Outcome", refusal.outcome.to_string())];
        if let Some(span) = refusal.retry_after_ms {
            headers.push(("Retry-After", span.get().div_ceil(1000).to_string()));
        }
        self.whole(status, "application/json", &headers, body.as_bytes())
    }

    fn start_of_head(&self, status: u16, content_type: &str) -> String {
        let reason = tiny_http::StatusCode(status).default_reason_phrase();
        let clean: String = content_type.chars().filter(|c| !c.is_control()).collect();
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {clean}\r\nX-Request-Id: {}\r\n\
             X-Persimmon-Request: {}\r\n",
            self.head.echoed_id, self.head.request
        )
    }

    fn open_stream(&mut self) -> Result<(), CallerDisconnected> {
        if !matches!(self.out, Out::Unsent(_)) {
            return Ok(());
        }
        let Out::Unsent(mut writer) = std::mem::replace(&mut self.out, Out::Ended) else {
            return Ok(());
        };
        let mut head = self.start_of_head(200, "text/event-stream");
        head.push_str("Cache-Control: no-store\r\n");
        if self.head.chunks {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        head.push_str("\r\n");
        writer
            .write_all(head.as_bytes())
            .map_err(|_| CallerDisconnected)?;
        self.out = if self.head.chunks {
            Out::Chunks(Encoder::with_flush_after_write(Flushing(writer)))
        } else {
            Out::Plain(writer)
        };
        Ok(())
    }

    fn write(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.open_stream()?;
        let written = match &mut self.out {
            Out::Chunks(encoder) => encoder.write_all(text.as_bytes()),
            Out::Plain(writer) => {
                let written = writer.write_all(text.as_bytes());
                written.and_then(|()| writer.flush())
            }
            Out::Unsent(_) | Out::Ended => Ok(()),
        };
        written.map_err(|_| CallerDisconnected)
    }

    fn end_stream(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.write(text)?;
        match std::mem::replace(&mut self.out, Out::Ended) {
            // The encoder writes the last chunk when it is dropped.
            Out::Chunks(encoder) => drop(encoder),
            Out::Plain(mut writer) => writer.flush().map_err(|_| CallerDisconnected)?,
            Out::Unsent(_) | Out::Ended => {}
        }
        Ok(())
    }

    fn is_stream(&self) -> bool {
        self.style.as_ref().is_some_and(|style| style.stream)
    }

    fn chunk(&self, style: &ModelStyle, text: Option<&str>) -> Value {
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

    fn whole_answer(&self, style: &ModelStyle, text: &str) -> Value {
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
            self.collected.push(token.clone());
            return self.look();
        }
        let Some(style) = self.style.clone() else {
            return Ok(());
        };
        let space = if self.token_count > 1 { " " } else { "" };
        let text = format!("{space}{}", String::from_utf8_lossy(token));
        let chunk = self.chunk(&style, Some(&text));
        self.write(&format!("data: {chunk}\n\n"))
    }

    fn keep_alive(&mut self) -> Result<(), CallerDisconnected> {
        match self.out {
            Out::Chunks(_) | Out::Plain(_) => self.write(":\n\n"),
            Out::Unsent(_) => self.look(),
            Out::Ended => Ok(()),
        }
    }

    fn finish(&mut self) -> Result<(), CallerDisconnected> {
        let Some(style) = self.style.clone() else {
            return Ok(());
        };
        if style.stream {
            let chunk = self.chunk(&style, None);
            return self.end_stream(&format!("data: {chunk}\n\ndata: [DONE]\n\n"));
        }
        let words: Vec<_> = self
            .collected
            .iter()
            .map(|t| String::from_utf8_lossy(t))
            .collect();
        let answer = self.whole_answer(&style, &words.join(" ")).to_string();
        self.whole(200, "application/json", &[], answer.as_bytes())
    }

    fn result(&mut self, result: &StoredResult) -> Result<(), CallerDisconnected> {
        self.whole(result.status, &result.content_type, &[], &result.body)
    }

    fn refuse(&mut self, refusal: &Refusal) -> Result<(), CallerDisconnected> {
        match self.out {
            Out::Unsent(_) => self.refuse_with(refusal.code.status(), refusal),
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
