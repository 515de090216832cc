//! Deliberate defects, each of which violates one guarantee, to show that the scenarios of that
//! guarantee can fail.

use std::{collections::BTreeSet, fmt, str::FromStr};

/// A deliberate defect. The names in backticks are the scenario files that must fail with it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Defect {
    /// Daemons get no ticks, so that their timers never fire: breaks `in_time`.
    NoTicks,
    /// Engines acknowledge cancels without carrying them out: breaks `memory`.
    NoCancels,
    /// Daemons get no configuration after their first one: breaks `domain_out`, `upstream_out` and
    /// `config`.
    NoConfigUpdates,
    /// Chunks reach callers in the order in which they arrive: breaks `whole`.
    NoAssembler,
    /// Upstreams run calls and report that they did not: breaks `not_run`.
    FalseNotRun,
    /// The store applies transactions whose conditions do not hold: breaks `once`.
    NoConditions,
    /// A daemon that shuts down ends its requests at once: breaks `graceful`.
    NoGrace,
    /// Cold upstreams have no capacity at all: breaks `cold`.
    NoColdCapacity,
}

/// The defects that are active.
pub type Defects = BTreeSet<Defect>;

impl Defect {
    /// All defects.
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
