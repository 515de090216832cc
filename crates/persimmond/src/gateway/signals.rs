//! Signal handling of the gateway process.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{io, thread};

/// Installs handlers that call `stop` at SIGTERM or SIGINT and `reload` at SIGHUP.
///
/// # Errors
///
/// The operating system rejects the handlers or the thread.
pub(super) fn watch(
    stop: impl Fn() + Send + 'static,
    reload: impl Fn() + Send + 'static,
) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let builder = thread::Builder::new().name("signals".into());
    builder.spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
            } else {
                stop();
            }
        }
    })?;
    Ok(())
}
