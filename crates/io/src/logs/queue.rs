//! Log lines on standard output, written by a thread of their own.

use flume::{Receiver, Sender, TrySendError};
use logforth::{record::Record, Append, Diagnostic, Error, Layout};
use std::{
    fmt,
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for a slow reader; further ones are counted and left out.
const QUEUE_LEN: usize = 2_048;

/// Lines of one level that are taken in a second: a busy daemon stays readable and cheap.
const RATE_MAX_PER_S: u64 = 400;

/// Longest wait for the last lines of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two looks whether they are written.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// Time between two lines about what was left out.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// Hands formatted lines to the thread that writes them, and never waits for it.
pub struct QueueAppend {
    layout: Box<dyn Layout>,
    lines: Sender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
    queued: AtomicU64,
    started: Instant,
    second: AtomicU64,
    taken: AtomicU64,
}

impl fmt::Debug for QueueAppend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppend").finish_non_exhaustive()
    }
}

impl QueueAppend {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn start(layout: Box<dyn Layout>, out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = flume::bounded(QUEUE_LEN);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        let written = Arc::new(AtomicU64::new(0));
        let done = Arc::clone(&written);
        let writer = thread::Builder::new().name("log".into());
        writer.spawn(move || write(&receiver, out, &counted, &done))?;
        Ok(Self {
            layout,
            lines,
            left_out,
            written,
            queued: AtomicU64::new(0),
            started: Instant::now(),
            second: AtomicU64::new(0),
            taken: AtomicU64::new(0),
        })
    }

    /// Whether this second still has room. Warnings and errors always have: they hold the last
    /// word on failed and refused requests.
    fn has_room(&self, record: &Record<'_>) -> bool {
        if record.level() >= logforth::record::Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.taken.store(0, Ordering::Relaxed);
        }
        self.taken.fetch_add(1, Ordering::Relaxed) < RATE_MAX_PER_S
    }
}

impl Append for QueueAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.has_room(record) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        match self.lines.try_send(line) {
            Ok(()) => self.queued.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(1, Ordering::Relaxed)
            }
        };
        Ok(())
    }

    /// Waits a moment for the last lines. Only a process that ends calls it.
    fn flush(&self) -> Result<(), Error> {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let queued = self.queued.load(Ordering::Relaxed);
        while self.written.load(Ordering::Relaxed) < queued && Instant::now() < until {
            thread::sleep(FLUSH_PAUSE);
        }
        Ok(())
    }
}

fn write(
    lines: &Receiver<Vec<u8>>,
    mut out: impl Write,
    left_out: &AtomicU64,
    written: &AtomicU64,
) {
    let mut reported = Instant::now();
    while let Ok(line) = lines.recv() {
        let mut block = line;
        let mut lines_count = 1;
        for line in lines.try_iter() {
            block.extend(line);
            lines_count += 1;
        }
        if reported.elapsed() >= REPORT_PAUSE {
            reported = Instant::now();
            let count = left_out.swap(0, Ordering::Relaxed);
            if count > 0 {
                let note = format!("{{\"message\":\"log_lines_left_out\",\"count\":{count}}}\n");
                block.extend(note.as_bytes());
            }
        }
        // Nobody reads: there is nowhere to say so.
        let _ = out.write_all(&block);
        let _ = out.flush();
        written.fetch_add(lines_count, Ordering::Relaxed);
    }
}
