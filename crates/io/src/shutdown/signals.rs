//! Waits for SIGTERM and SIGINT.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::{Handle, Signals},
};
use std::{fmt, io, thread};

/// Signals that are waited for. Dropped, they are no longer.
pub struct StopSignals(Handle);

impl fmt::Debug for StopSignals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StopSignals").finish_non_exhaustive()
    }
}

impl Drop for StopSignals {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Calls `stop` at each SIGTERM or SIGINT. A second one does not end the process early: its grace
/// is bounded by `entry.shutdown_grace_ms`.
///
/// # Errors
///
/// The signals can't be taken over.
pub fn on_stop(stop: impl Fn() + Send + 'static) -> io::Result<StopSignals> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    thread::spawn(move || {
        for signal in signals.forever() {
            log::info!(signal; "asked to stop");
            stop();
        }
    });
    Ok(StopSignals(handle))
}
