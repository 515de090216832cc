//! Grey failures: an upstream that fails part of its requests.

/// One in this many requests fails at an upstream with a grey failure.
const GREY_EVERY: u64 = 3;

/// One in this many requests is served at an upstream that fails.
const SOUND_EVERY: u64 = 10;

/// How an upstream fails part of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum GreyFailure {
    /// No failure.
    #[default]
    Off,
    /// Runs every third request and answers with status 500.
    Errors,
    /// Runs nine in ten requests and answers them with status 500.
    Fails,
    /// Rejects every third request without running it.
    Rejects,
    /// Turns every third request away without running it, and wants no more for a time.
    Sheds,
    /// Breaks every third stream off halfway. Plain servers close the connection without an answer
    /// instead.
    Truncates,
}

impl GreyFailure {
    /// The failure of request number `count`.
    pub(super) const fn of_request(self, count: u64) -> Self {
        let fails = match self {
            Self::Fails => count % SOUND_EVERY != 0,
            _ => count % GREY_EVERY == 0,
        };
        if fails {
            self
        } else {
            Self::Off
        }
    }
}
