//! Grey failures: an upstream that fails part of its requests.

/// One in this many requests fails at an upstream with a grey failure.
const GREY_EVERY: u64 = 3;

/// How an upstream fails part of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum GreyFailure {
    /// No failure.
    #[default]
    Off,
    /// Runs every third request and answers with status 500.
    Errors,
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
        if count % GREY_EVERY == 0 {
            self
        } else {
            Self::Off
        }
    }
}
