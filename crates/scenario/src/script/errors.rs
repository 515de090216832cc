//! Errors of scripts.

use thiserror::Error;

/// Why a script can't be run. docs/SCENARIOS.md has the language.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ScriptError {
    /// A word is missing.
    #[error("{what} is missing: see docs/SCENARIOS.md")]
    Missing {
        /// What should stand there.
        what: &'static str,
    },
    /// A word can't be read.
    #[error("{word:?} is no {what}: see docs/SCENARIOS.md")]
    Word {
        /// The word.
        word: String,
        /// What should stand there.
        what: &'static str,
    },
    /// Words are left over.
    #[error("{words:?} is left over: one statement a line")]
    LeftOver {
        /// The words.
        words: String,
    },
    /// A name is not known.
    #[error("no {what} is called {name:?}: check the names of the fleet")]
    Unknown {
        /// Of what kind.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The fleet can't be built.
    #[error("the fleet can't be built: {reason}")]
    Fleet {
        /// Why.
        reason: String,
    },
}
