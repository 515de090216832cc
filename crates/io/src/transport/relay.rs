//! Connections to upstreams that are passed on for peers.

use super::{socket, Hub, Memory};
use crate::peer::RelayRequest;
use persimmon_core::{dispatch::DispatchEvent, path::PathEnd};
use std::{net::IpAddr, sync::Arc};
use tokio::{io::copy, net::TcpStream};

/// Opens a connection for a peer, from this VM's address `source`, if the control thread admits it and its buffers
/// fit in the memory budget, if there is one. Passes bytes on until either side ends it.
pub async fn serve_relay(
    hub: Arc<Hub>,
    source: Option<IpAddr>,
    memory: Option<Arc<Memory>>,
    request: RelayRequest,
) {
    let held = memory.as_ref().map(Memory::relay);
    if matches!(held, Some(None)) {
        log::warn!(upstream:% = request.upstream.id; "connection for a peer refused: the memory budget has no room");
        request.refuse(PathEnd::Unavailable).await;
        return;
    }
    let (relay, answer) = hub.open_relay();
    hub.send_event(DispatchEvent::RelayRequested {
        relay,
        peer: request.peer.clone(),
        upstream: request.upstream.clone(),
    });
    let address = answer.recv_async().await.ok().flatten();
    let Some(address) = address else {
        request.refuse(PathEnd::Unavailable).await;
        return;
    };
    match socket::connect(address, source).await {
        Ok(upstream) => pass_on(upstream, request).await,
        Err(error) => {
            log::debug!(relay:% = relay, upstream:% = request.upstream.id; "{}", error.reason);
            request.refuse(error.end).await;
        }
    }
    hub.send_event(DispatchEvent::RelayEnded { relay });
}

/// Passes bytes on in both directions. The connection to the upstream is reset as soon as the peer ends its own, so
/// that the upstream does not go on with a request that was abandoned. The upstream's end is passed on as it is:
/// complete or broken off.
async fn pass_on(upstream: TcpStream, request: RelayRequest) {
    let Some((mut peer_reader, mut peer_writer)) = request.accept().await else {
        return;
    };
    let (mut upstream_reader, mut upstream_writer) = upstream.into_split();
    let to_upstream = copy(&mut peer_reader, &mut upstream_writer);
    let to_peer = copy(&mut upstream_reader, &mut peer_writer);
    tokio::select! {
        // The peer has ended the connection, or the upstream takes no more: the reader tells which.
        sent = to_upstream => if let Err(error) = sent {
            log::debug!("relayed connection ended: {error}");
        },
        received = to_peer => match received {
            Ok(_) => peer_writer.finish(),
            Err(error) => log::debug!("relayed connection broken: {error}"),
        },
    }
}
