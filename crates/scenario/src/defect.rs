//! Switches that break one promise each, to show that its scenarios can fail.

use std::{collections::BTreeSet, fmt, str::FromStr};

/// A switch that breaks something on purpose.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Defect {
    /// Daemons get no ticks, so that no timer of theirs is due: breaks `in_time`.
    NoTicks,
    /// Engines say that they cancelled and do not: breaks `memory`.
    NoCancels,
    /// Daemons hear no configuration after their first one: breaks `domain_out`, `upstream_out` and
    /// `config`.
    NoConfigUpdates,
    /// Pieces reach callers in the order in which they arrive: breaks `whole`.
    NoAssembler,
    /// Upstreams run calls and say that they did not: breaks `not_run`.
    FalseNotRun,
    /// The store carries transactions out whose conditions do not hold: breaks `once`.
    NoConditions,
    /// A stopping daemon ends its requests at once: breaks `graceful`.
    NoGrace,
    /// Cold upstreams bear nothing: breaks `cold`.
    NoColdCapacity,
}

/// The switches that are on.
pub type Defects = BTreeSet<Defect>;

impl Defect {
    /// All switches.
    pub const ALL: [Self; 8] = [
        Self::NoTicks,
        Self::NoCancels,
        Self::NoConfigUpdates,
        Self::NoAssembler,
        Self::FalseNotRun,
        Self::NoConditions,
        Self::NoGrace,
        Self::NoColdCapacity,
    ];
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoTicks => "no-ticks",
            Self::NoCancels => "no-cancels",
            Self::NoConfigUpdates => "no-configuration",
            Self::NoAssembler => "no-assembler",
            Self::FalseNotRun => "false-not-run",
            Self::NoConditions => "no-conditions",
            Self::NoGrace => "no-grace",
            Self::NoColdCapacity => "no-warmth",
        })
    }
}

impl FromStr for Defect {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let found = Self::ALL.into_iter().find(|s| s.to_string() == text);
        found.ok_or(())
    }
}
