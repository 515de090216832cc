//! Faults that a control page switches on and off.

use persimmon_core::units::Millis;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// How often a hung handler looks whether it goes on.
const HANG_POLL: Duration = Duration::from_millis(5);

/// One switch of a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Cut all connections and refuse new ones.
    Die,
    /// Come back after `die` on the same address, as a new process.
    Revive,
    /// Accept calls and never answer.
    Hang,
    /// Wait before each answer, and run an engine's batch at a share of its rates.
    Slow {
        /// Wait before each answer.
        delay_ms: Millis,
        /// Share of an engine's rates.
        rate_ratio: f64,
    },
    /// Let the next calls take effect and cut their connections before the answer.
    LoseAnswers {
        /// How many.
        answers_count: u32,
    },
    /// Turn an engine cold.
    GoCold,
    /// Refuse every call of the store.
    StoreDown,
    /// Keep a copy of the store.
    KeepCopy,
    /// Restore the store from the copy that was kept; an empty one where there is none.
    RestoreCopy,
    /// Disturb the tokens of engines' streams.
    Tokens {
        /// Swap neighbours.
        reorder: bool,
        /// Send each twice.
        duplicate: bool,
        /// Wait before each.
        delay_ms: Millis,
    },
    /// End all faults but `die`.
    Clear,
}

/// How tokens are disturbed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenFaults {
    /// Swap neighbours.
    pub reorder: bool,
    /// Send each twice.
    pub duplicate: bool,
    /// Wait before each.
    pub delay_ms: Millis,
}

/// The faults that are on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultState {
    /// No call is answered.
    pub hung: bool,
    /// Wait before each answer.
    pub delay_ms: Millis,
    /// Share of an engine's rates.
    pub rate_ratio: f64,
    /// Answers still to be lost.
    pub lose_answers_count: u32,
    /// Every call of the store is refused.
    pub store_down: bool,
    /// How tokens are disturbed.
    pub tokens: TokenFaults,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            hung: false,
            delay_ms: Millis::ZERO,
            rate_ratio: 1.0,
            lose_answers_count: 0,
            store_down: false,
            tokens: TokenFaults::default(),
        }
    }
}

/// The faults of one stand-in, shared by its threads.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<FaultState>,
}

impl Faults {
    /// Switches one fault; faults that concern the process alone change nothing here.
    pub fn apply(&self, fault: &Fault) {
        let mut state = self.lock();
        match *fault {
            Fault::Hang => state.hung = true,
            Fault::Slow {
                delay_ms,
                rate_ratio,
            } => {
                state.delay_ms = delay_ms;
                state.rate_ratio = rate_ratio.clamp(0.0, 1.0);
            }
            Fault::LoseAnswers { answers_count } => state.lose_answers_count = answers_count,
            Fault::StoreDown => state.store_down = true,
            Fault::Tokens {
                reorder,
                duplicate,
                delay_ms,
            } => {
                state.tokens = TokenFaults {
                    reorder,
                    duplicate,
                    delay_ms,
                };
            }
            Fault::Clear => *state = FaultState::default(),
            Fault::Die | Fault::GoCold | Fault::KeepCopy | Fault::RestoreCopy | Fault::Revive => {}
        }
    }

    /// The faults that are on.
    pub fn current(&self) -> FaultState {
        *self.lock()
    }

    /// Waits as long as the stand-in hangs or is slow; false if `gone` says that it is dead.
    pub fn delay_answer(&self, is_dead: impl Fn() -> bool) -> bool {
        while self.current().hung && !is_dead() {
            thread::sleep(HANG_POLL);
        }
        let delay = self.current().delay_ms;
        if delay > Millis::ZERO {
            thread::sleep(delay.duration());
        }
        !is_dead()
    }

    /// Whether the answer of the call at hand is to be lost; uses up one.
    pub fn take_lost_answer(&self) -> bool {
        let mut state = self.lock();
        let lost = state.lose_answers_count > 0;
        state.lose_answers_count = state.lose_answers_count.saturating_sub(1);
        lost
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
