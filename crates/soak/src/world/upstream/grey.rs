//! Upstreams that fail part of their requests.

/// One in so many requests fails at a grey upstream.
const GREY_EVERY: u64 = 3;

/// How an upstream fails part of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Grey {
    /// It does not.
    #[default]
    No,
    /// It runs every third one and answers with a failure.
    Fails,
    /// It turns every third one away.
    Sheds,
    /// It breaks every third stream off in the middle, and loses other answers.
    Breaks,
}

impl Grey {
    /// What happens to the request with this number.
    pub(super) const fn of_request(self, count: u64) -> Self {
        if count % GREY_EVERY == 0 {
            self
        } else {
            Self::No
        }
    }
}
