//! What a transmission reports while it is in progress.

use persimmon_core::{
    path::UpstreamPath,
    units::{Millis, RequestsPerSecond},
};

/// Callbacks that report the progress of a transmission to the control thread.
#[derive(Clone, Copy)]
pub(super) struct Signals<'a> {
    /// Called when the path is known on which the request is sent.
    pub(super) on_path: &'a dyn Fn(&UpstreamPath),
    /// Called when the first event or the complete response has arrived.
    pub(super) on_first: &'a dyn Fn(),
    /// Called when the upstream has sent nothing for a time after which the link is worth a check.
    pub(super) on_silent: &'a dyn Fn(),
    /// Called with the duration of the silence each time the upstream has sent nothing for another
    /// time limit of the plan.
    pub(super) on_stall: &'a dyn Fn(Millis),
    /// Called when the upstream states that it is about to stop. The argument tells whether another
    /// upstream than the planned one may have answered.
    pub(super) on_leaving: &'a dyn Fn(bool),
    /// Called with the rate limit that the upstream states, or with none if it no longer states one. The
    /// second argument is as for `on_leaving`.
    pub(super) on_rate_limit: &'a dyn Fn(Option<RequestsPerSecond>, bool),
}
