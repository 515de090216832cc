//! Upstreams that say in an answer that they are about to stop. Unlike the state in their entries, that
//! reaches a daemon which can't read the store.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchMessage, DispatchRecord,
};
use crate::{fleet::UpstreamIncarnation, ids::VmId};
use std::{net::SocketAddr, sync::Arc};

/// An answer in which an upstream said that it is about to stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingNotice {
    /// The upstream that the request or order was meant for.
    pub upstream: UpstreamIncarnation,
    /// The address that answered.
    pub address: SocketAddr,
    /// Whether another upstream than the one meant may have answered.
    pub is_misdirected: bool,
    /// The request id that the caller chose, if the answer was to a caller's request.
    pub request: Option<Arc<str>>,
}

impl Dispatcher {
    /// Handles an upstream's notice: it gets no new work from this daemon, and peers are notified.
    /// Where another upstream than the one meant may have answered, the notice applies to all that
    /// are known at the address.
    pub(super) fn on_leaving_notice(&mut self, out: &mut Out<'_>, notice: LeavingNotice) {
        let is_misdirected = notice.is_misdirected;
        let leaving = self
            .fleet
            .answering(notice.upstream, notice.address, is_misdirected);
        for incarnation in leaving {
            if self.fleet.on_leaving(&incarnation) {
                out.log(DispatchRecord::UpstreamLeaving {
                    request: notice.request.clone(),
                    upstream: incarnation.id.clone(),
                    reported_by: None,
                });
                self.notify_now(out.now, DispatchMessage::UpstreamLeaving(incarnation));
            }
        }
    }

    /// Handles a peer's report of an upstream that is about to stop.
    pub(super) fn on_peer_leaving(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        leaving: &UpstreamIncarnation,
    ) {
        if self.fleet.on_leaving(leaving) {
            out.log(DispatchRecord::UpstreamLeaving {
                request: None,
                upstream: leaving.id.clone(),
                reported_by: Some(peer.clone()),
            });
        }
    }
}
