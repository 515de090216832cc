//! Parses a model stream: server-sent events with token offsets.

use super::{errors::io_error, OutputToken, StreamItem, TokenStream};
use persimmon_core::{request::UpstreamError, units::Tokens};
use serde::Deserialize;
use std::{
    fmt,
    io::{BufRead, BufReader, Read},
};

/// Longest line of a stream, in bytes.
const LINE_MAX_BYTES: u64 = 1 << 20;

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Data {
    Token {
        token: String,
        offset: Tokens,
    },
    Done {
        #[serde(rename = "done")]
        _done: bool,
        output_tokens: Tokens,
    },
}

/// Parses the events of one model stream.
pub struct SseReader<R> {
    source: BufReader<R>,
}

impl<R> fmt::Debug for SseReader<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SseReader").finish_non_exhaustive()
    }
}

impl<R: Read> SseReader<R> {
    /// Creates a reader of the stream that `source` yields.
    pub fn new(source: R) -> Self {
        Self {
            source: BufReader::new(source),
        }
    }

    fn line(&mut self) -> Result<String, UpstreamError> {
        let mut line = Vec::new();
        let mut source = (&mut self.source).take(LINE_MAX_BYTES);
        let read = source.read_until(b'\n', &mut line);
        read.map_err(|error| io_error(error.kind()))?;
        if line.last() != Some(&b'\n') {
            return Err(UpstreamError::Broken);
        }
        String::from_utf8(line).map_err(|_| malformed("event line is not UTF-8"))
    }
}

impl<R: Read + Send> TokenStream for SseReader<R> {
    fn next_item(&mut self) -> Result<StreamItem, UpstreamError> {
        loop {
            let line = self.line()?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            return parse(data.trim());
        }
    }
}

fn parse(data: &str) -> Result<StreamItem, UpstreamError> {
    let parsed = serde_json::from_str(data).map_err(|error| malformed(error.to_string()))?;
    Ok(match parsed {
        Data::Token { token, offset } => StreamItem::Token(OutputToken {
            offset_tokens: offset,
            token: token.into(),
        }),
        Data::Done { output_tokens, .. } => StreamItem::Done { output_tokens },
    })
}

fn malformed(reason: impl Into<String>) -> UpstreamError {
    UpstreamError::Malformed {
        reason: reason.into(),
    }
}
