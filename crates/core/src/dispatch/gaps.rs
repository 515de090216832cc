//! The gaps of a call's response: its target, the longest one, and what the choice of an engine takes.

use super::{
    dispatcher::{Dispatcher, OpenCall},
    GapRequest,
};
use crate::{
    catalog::CallKind,
    ids::{CallId, SendId},
    units::Millis,
};

impl OpenCall {
    /// Gap target of the call's route; none if its responses are not streamed.
    fn gap_target_ms(&self) -> Option<Millis> {
        match self.route.kind {
            CallKind::Streaming {
                pause_target_ms, ..
            } => Some(pause_target_ms),
            CallKind::Idempotent | CallKind::NonIdempotent => None,
        }
    }

    /// Whether the longest gap of the response is within the gap target, if it is known.
    pub(super) fn gap_kept(&self) -> Option<bool> {
        Some(self.longest_gap_ms? <= self.gap_target_ms()?)
    }
}

impl Dispatcher {
    /// Records the longest gap of a response that is complete.
    pub(super) fn on_longest_gap(&mut self, call: CallId, send: SendId, gap_ms: Millis) {
        let open = self.calls.get_mut(&call);
        if let Some(open) = open.filter(|open| open.sending_id() == Some(send)) {
            open.longest_gap_ms = Some(gap_ms);
        }
    }

    /// What the choice of an engine takes for a call; none if gaps are not predicted.
    pub(super) fn gap_request(&self, open: &OpenCall) -> Option<GapRequest<'_>> {
        let settings = self.settings.gaps?;
        let catalog = self.catalog.as_ref()?;
        Some(GapRequest {
            settings,
            target_ms: open.gap_target_ms()?,
            targets_ms: catalog.streaming_targets_ms(&open.service.name),
        })
    }
}
