//! A monotonic clock that includes the time during which the VM is suspended.

use persimmon_core::units::Time;
use rustix::time::{clock_gettime, ClockId, Timespec};

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1_000;

/// A clock that starts at [`Time::START`] and advances while the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// Starts the clock at [`Time::START`].
    pub fn start() -> Self {
        Self {
            start_us: boot_us(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time::from_us(boot_us().saturating_sub(self.start_us))
    }
}

fn boot_us() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec as u64 * US_PER_S + tv_nsec as u64 / NS_PER_US
}
