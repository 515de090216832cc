//! Server-sent events that are flushed one by one.

use chunked_transfer::Encoder;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};
use tiny_http::Request;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";

/// Writes an SSE stream in chunks and flushes after each event.
pub struct SseWriter {
    encoder: Encoder<CutWriter>,
    cut: Arc<AtomicBool>,
}

/// A writer that flushes each write. After a cut every write fails, so that the encoder can't write
/// its final chunk.
struct CutWriter {
    inner: Box<dyn Write + Send>,
    cut: Arc<AtomicBool>,
}

impl Write for CutWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        match self.cut.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            // The encoder does not pass flushes on, so each chunk is flushed here.
            false => {
                self.inner.write_all(data)?;
                self.inner.flush()?;
                Ok(data.len())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl SseWriter {
    /// Takes over the connection of `request` and writes the head of the answer.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn start(request: Request) -> io::Result<Self> {
        let cut = Arc::new(AtomicBool::new(false));
        let mut writer = CutWriter {
            inner: request.into_writer(),
            cut: cut.clone(),
        };
        writer.write_all(HEAD)?;
        Ok(Self {
            encoder: Encoder::with_flush_after_write(writer),
            cut,
        })
    }

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn event(&mut self, text: &str) -> io::Result<()> {
        self.encoder.write_all(text.as_bytes())
    }

    /// Closes the connection without the final chunk of the answer.
    pub fn cut(self) {
        self.cut.store(true, Ordering::Relaxed);
    }
}
