//! Waits for SIGTERM and SIGINT.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::{Handle, Signals},
};
use std::{fmt, io, thread};

/// SIGTERM and SIGINT, which no longer end the process by themselves.
pub struct StopSignals(Signals);

/// Signals that are waited for. Dropped, they are no longer.
pub struct SignalHandler(Handle);

impl fmt::Debug for StopSignals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StopSignals").finish_non_exhaustive()
    }
}

impl fmt::Debug for SignalHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SignalHandler").finish_non_exhaustive()
    }
}

impl Drop for SignalHandler {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl StopSignals {
    /// Takes the signals over.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn install() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(Self)
    }

    /// Calls `stop` at each signal, also at one that came since they were taken over. A second one
    /// does not end the process early: its grace is bounded by `entry.shutdown_grace_ms`.
    pub fn handle(self, stop: impl Fn() + Send + 'static) -> SignalHandler {
        let Self(mut signals) = self;
        let registration = signals.handle();
        thread::spawn(move || {
            for signal in signals.forever() {
                log::info!(signal; "asked to stop");
                stop();
            }
        });
        SignalHandler(registration)
    }
}
