//! Errors of scripts.

use thiserror::Error;

/// Reason why a script can't be run. `docs/SCENARIOS.md` describes the language.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ScriptError {
    /// A word is missing.
    #[error("missing {what}: see docs/SCENARIOS.md")]
    Missing {
        /// What was expected.
        what: &'static str,
    },
    /// A word can't be parsed.
    #[error("expected {what}, found {word:?}: see docs/SCENARIOS.md")]
    Word {
        /// The word.
        word: String,
        /// What was expected.
        what: &'static str,
    },
    /// Words follow the end of a statement.
    #[error("unexpected {words:?} after the statement: write one statement per line")]
    LeftOver {
        /// The words.
        words: String,
    },
    /// A name is unknown.
    #[error("unknown {what} {name:?}: check the names of the fleet and of the script")]
    Unknown {
        /// Kind of the named thing.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The fleet can't be built.
    #[error("can't build the fleet: {reason}")]
    Fleet {
        /// Reason.
        reason: String,
    },
}
