//! A log appender that writes on its own thread, so that a slow reader blocks no other thread.

use flume::{Receiver, Sender};
use logforth::{record::Record, Append, Diagnostic, Error, Layout};
use std::{
    fmt,
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Most lines that are queued for a slow reader. Further lines are dropped and counted.
const QUEUE_LEN: usize = 2_048;

/// Most bytes that are queued. A line may have an id of a caller's choice, as long as a whole head.
const QUEUE_MAX_BYTES: usize = 2 << 20;

/// Most lines below the level `warn` that are accepted in a second, so that the log of a busy daemon
/// stays readable and cheap.
const MAX_LINES_PER_S: u64 = 400;

/// Longest time that a flush waits for queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two checks of a flush whether the queued lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Shortest time between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Queues formatted lines for a writer thread and never waits for that thread.
///
/// Drops lines when the queue is full or the rate limit is reached, and reports their number in the
/// log.
pub struct QueueAppend {
    layout: Box<dyn Layout>,
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    queued: AtomicU64,
    queued_bytes: Arc<AtomicUsize>,
    started: Instant,
    /// The second that `lines_in_second` counts, from `started`.
    second: AtomicU64,
    /// Lines below the level `warn` in that second.
    lines_in_second: AtomicU64,
}

impl fmt::Debug for QueueAppend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppend").finish_non_exhaustive()
    }
}

impl QueueAppend {
    /// Starts the writer thread, which writes to `out`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start(layout: Box<dyn Layout>, out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = flume::bounded(QUEUE_LEN);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let written = Arc::new(AtomicU64::new(0));
        let writer_written = Arc::clone(&written);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let writer_bytes = Arc::clone(&queued_bytes);
        let writer = thread::Builder::new().name("log".into());
        writer.spawn(move || {
            let counts = WriterCounts {
                dropped: &writer_dropped,
                written: &writer_written,
                queued_bytes: &writer_bytes,
            };
            write(&receiver, out, &counts);
        })?;
        Ok(Self {
            layout,
            lines,
            dropped,
            written,
            queued: AtomicU64::new(0),
            queued_bytes,
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
        })
    }

    /// Whether the rate limit admits the record. Warnings and errors are always admitted: they report
    /// how failed and refused requests ended.
    fn is_within_rate(&self, record: &Record<'_>) -> bool {
        if record.level() >= logforth::record::Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        self.lines_in_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

impl Append for QueueAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.is_within_rate(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let line_bytes = line.len();
        let queued_bytes = self.queued_bytes.fetch_add(line_bytes, Ordering::Relaxed);
        let is_queued =
            queued_bytes + line_bytes <= QUEUE_MAX_BYTES && self.lines.try_send(line).is_ok();
        if is_queued {
            self.queued.fetch_add(1, Ordering::Relaxed);
        } else {
            self.queued_bytes.fetch_sub(line_bytes, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits up to `FLUSH_TIMEOUT` until the queued lines are written. Called when the process
    /// ends.
    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let queued = self.queued.load(Ordering::Relaxed);
        while self.written.load(Ordering::Relaxed) < queued && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// What the writer thread counts.
struct WriterCounts<'a> {
    dropped: &'a AtomicU64,
    written: &'a AtomicU64,
    queued_bytes: &'a AtomicUsize,
}

fn write(lines: &Receiver<Vec<u8>>, mut out: impl Write, counts: &WriterCounts<'_>) {
    let mut last_report = Instant::now();
    while let Ok(line) = lines.recv() {
        let mut block = line;
        let mut lines_count = 1;
        for line in lines.try_iter() {
            block.extend(line);
            lines_count += 1;
        }
        let lines_bytes = block.len();
        if last_report.elapsed() >= DROP_REPORT_INTERVAL {
            last_report = Instant::now();
            let count = counts.dropped.swap(0, Ordering::Relaxed);
            if count > 0 {
                let note = format!("{{\"message\":\"log_lines_left_out\",\"count\":{count}}}\n");
                block.extend(note.as_bytes());
            }
        }
        // A failed write means that nobody reads the log; the failure can't be reported anywhere.
        let _ = out.write_all(&block);
        let _ = out.flush();
        counts.written.fetch_add(lines_count, Ordering::Relaxed);
        counts
            .queued_bytes
            .fetch_sub(lines_bytes, Ordering::Relaxed);
    }
}
