//! Handles SIGTERM and SIGINT.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::{Handle, Signals},
};
use std::{fmt, io, thread};

/// Registration for SIGTERM and SIGINT, which no longer end the process by themselves.
pub struct StopSignals(Signals);

/// A running signal handler. Dropping it ends the handling.
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
    /// Registers for the signals.
    ///
    /// # Errors
    ///
    /// The system rejects the registration.
    pub fn install() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT]).map(Self)
    }

    /// Calls `stop` for each signal, including those received since the registration. A second
    /// signal does not end the process early, because `entry.shutdown_grace_ms` bounds the
    /// shutdown.
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
