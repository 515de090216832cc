//! Faults that the control page injects and clears.

use persimmon_core::units::Millis;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Interval at which a hung handler checks whether the fault is cleared.
const HANG_POLL: Duration = Duration::from_millis(5);

/// A fault command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Close all connections and refuse new ones.
    Die,
    /// Restart as a new process on the same address after `die`.
    Revive,
    /// Accept calls and never answer.
    Hang,
    /// Delay each answer, and run an engine's batch at a fraction of its rates.
    Slow {
        /// Delay before each answer.
        delay_ms: Millis,
        /// Fraction of an engine's rates, 0 to 1.
        rate_ratio: f64,
    },
    /// Let the next calls take effect and close their connections before the answer.
    LoseAnswers {
        /// Number of calls.
        answers_count: u32,
    },
    /// Turn an engine cold.
    GoCold,
    /// Refuse every call of the store.
    StoreDown,
    /// Save a copy of the store.
    KeepCopy,
    /// Restore the store from the saved copy, or empty the store if there is none.
    RestoreCopy,
    /// Reorder, duplicate or delay the tokens of engines' streams.
    Tokens {
        /// Swap adjacent tokens.
        reorder: bool,
        /// Send each token twice.
        duplicate: bool,
        /// Delay before each token.
        delay_ms: Millis,
    },
    /// Clear all faults except `die`.
    Clear,
}

/// Faults of the tokens of engines' streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenFaults {
    /// Swap adjacent tokens.
    pub reorder: bool,
    /// Send each token twice.
    pub duplicate: bool,
    /// Delay before each token.
    pub delay_ms: Millis,
}

/// The faults that are active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultState {
    /// Whether calls stay unanswered.
    pub hung: bool,
    /// Delay before each answer.
    pub delay_ms: Millis,
    /// Fraction of an engine's rates, 0 to 1.
    pub rate_ratio: f64,
    /// Number of answers that are still to be lost.
    pub lose_answers_count: u32,
    /// Whether every call of the store is refused.
    pub store_down: bool,
    /// Faults of the tokens of engines' streams.
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
    /// Applies a fault command. Commands for the process or for stored state have no effect here.
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

    /// Returns the faults that are active.
    pub fn current(&self) -> FaultState {
        *self.lock()
    }

    /// Waits while the stand-in hangs, then for the delay of a slow stand-in. Returns false if the
    /// stand-in is dead afterwards.
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

    /// Whether the answer of the current call is to be lost. Decrements the number of answers to lose.
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
