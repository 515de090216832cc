//! Errors of the soak.

use std::{io, path::PathBuf};
use thiserror::Error;

/// Errors that prevent a soak from running.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The gateway's program can't be started.
    #[error("{} can't be started ({reason}): build it with `cargo build -p persimmon-platform`", program.display())]
    Program {
        /// Path of the program.
        program: PathBuf,
        /// The I/O error.
        reason: io::Error,
    },
    /// A file or socket operation failed.
    #[error("file or socket operation failed ({0}): check the folder for logs and the free ports")]
    Io(#[from] io::Error),
    /// The daemons did not become ready before the first fault.
    #[error("no daemon is ready after {waited_s} s: read the daemons' logs")]
    NotReady {
        /// Time waited.
        waited_s: u64,
    },
}
