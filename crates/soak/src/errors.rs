//! Why a soak can't run.

use std::{io, path::PathBuf};
use thiserror::Error;

/// Why a soak can't run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The gateway's program is missing.
    #[error("{} can't be started ({reason}): build it with `cargo build -p persimmon-platform`", program.display())]
    Program {
        /// The program.
        program: PathBuf,
        /// Why.
        reason: io::Error,
    },
    /// A file or socket can't be had.
    #[error("a file or socket can't be had ({0}): check the folder for logs and free ports")]
    Io(#[from] io::Error),
    /// The deployment serves nothing even before the first fault.
    #[error("no daemon is ready after {waited_s} s: read the daemons' logs")]
    NotReady {
        /// How long it was waited for.
        waited_s: u64,
    },
}
