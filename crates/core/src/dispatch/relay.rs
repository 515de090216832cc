//! Relaying: connections to upstreams that this daemon opens for peers whose own links are lost. The peer
//! decides what to send; this daemon only decides whether it can connect.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchRecord,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{RelayId, VmId},
    units::Time,
};
use serde::Serialize;
use std::net::SocketAddr;

/// Why a connection is not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRefusal {
    /// This daemon is about to stop.
    Stopping,
    /// This daemon does not know the upstream.
    UnknownUpstream,
    /// This daemon has lost links too, and would be no help.
    LinkLost,
    /// It passes on as many connections as it can.
    TooMany,
}

impl Dispatcher {
    /// Handles a peer's request for a connection to an upstream.
    pub(super) fn on_relay_requested(
        &mut self,
        out: &mut Out<'_>,
        relay: RelayId,
        peer: VmId,
        upstream: &UpstreamIncarnation,
    ) {
        let admitted = self.admit_relay(out.now, relay, upstream);
        out.log(DispatchRecord::RelayRequested {
            peer,
            upstream: upstream.id.clone(),
            refusal: admitted.err(),
            relayed_len: self.relays.relayed_len(),
        });
        out.act(DispatchAction::AnswerRelay {
            relay,
            address: admitted.ok(),
        });
    }

    fn admit_relay(
        &mut self,
        now: Time,
        relay: RelayId,
        upstream: &UpstreamIncarnation,
    ) -> Result<SocketAddr, RelayRefusal> {
        if self.shutdown.is_some() {
            return Err(RelayRefusal::Stopping);
        }
        let known = self.fleet.get(&upstream.id).map(|known| &known.record);
        let record = known
            .filter(|record| record.incarnation() == *upstream)
            .ok_or(RelayRefusal::UnknownUpstream)?;
        if !self.links.are_sound(now) {
            return Err(RelayRefusal::LinkLost);
        }
        let address = record.address;
        if self.relays.admit(relay) {
            Ok(address)
        } else {
            Err(RelayRefusal::TooMany)
        }
    }

    /// Handles the end of a connection that was passed on.
    pub(super) fn on_relay_ended(&mut self, relay: RelayId) {
        self.relays.on_ended(relay);
    }
}
