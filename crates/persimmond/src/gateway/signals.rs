//! Signals of the process.

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{io, thread};

/// Takes the signals over and calls `stop` or `reload` at each.
///
/// # Errors
///
/// The system refuses.
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
