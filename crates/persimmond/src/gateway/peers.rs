//! Discovers the other daemons through the store and joins their mesh.

use crate::daemon::unix_ms;
use persimmon_core::{
    dispatch::DispatchEvent,
    fleet::UpstreamIncarnation,
    ids::{Incarnation, VmId},
    message::Member,
    path::PathEnd,
    units::Time,
    watch::StoreError,
};
use persimmon_io::{
    peer::{Identity, KeyPairPem, Mesh, MeshSink, PeerError, PrivateKeyPem, RelaySink},
    settings::GatewaySettings,
    transport::{ByteStream, LocalFuture, MetadataStore, RelayDialer},
    BootClock,
};
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, rc::Rc, time::Duration};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Name of the shared secret that holds the certificate authority.
const CA_SECRET: &str = "certificate-authority";

/// Delay before the retry after a first failed attempt to join the mesh or to read the list of daemons.
/// Doubles with each further failure, as hundreds of daemons may retry at once.
const RETRY_MIN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Upper bound of the retry delay.
const RETRY_MAX_INTERVAL: Duration = Duration::from_millis(8_000);

/// Interval at which the list of daemons is read again. Each daemon registers before it first reads the
/// list, so of any two daemons the later one finds the other. Reading again finds only entries that
/// were lost.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(60);

/// A certificate authority as stored in the shared secrets.
#[derive(Deserialize, Serialize)]
struct StoredCa {
    certificate: String,
    key: String,
}

#[derive(Debug, Error)]
enum JoinError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the stored certificate authority is malformed ({0}): remove its row")]
    MalformedCa(#[from] serde_json::Error),
}

/// The mesh; none until this daemon has joined it.
pub(super) type JoinedMesh = Rc<RefCell<Option<Rc<Mesh>>>>;

/// Receivers of what a mesh gets from peers.
pub(super) struct MeshSinks {
    pub(super) events: MeshSink,
    pub(super) relays: RelaySink,
}

/// Opens connections to upstreams by way of the peers of a mesh.
#[derive(Debug)]
pub(super) struct MeshRelays(pub(super) JoinedMesh);

impl RelayDialer for MeshRelays {
    fn open<'a>(
        &'a self,
        peer: &'a VmId,
        upstream: &'a UpstreamIncarnation,
    ) -> LocalFuture<'a, Result<Box<dyn ByteStream>, PathEnd>> {
        Box::pin(async move {
            let mesh = self.0.borrow().clone().ok_or(PathEnd::Unavailable)?;
            let stream = mesh.open_relay(peer, upstream).await?;
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }
}

/// Joins the mesh of daemons, then updates its members from the store. Does not return. `lost_entry`
/// is notified when the store may have lost this daemon's entry.
pub(super) async fn join(
    settings: GatewaySettings,
    store: Rc<dyn MetadataStore>,
    sinks: MeshSinks,
    joined: JoinedMesh,
    lost_entry: Rc<Notify>,
) {
    let mut retry = RETRY_MIN_INTERVAL;
    let mut membership = loop {
        match Membership::start(&settings, &store, &sinks).await {
            Ok(membership) => break membership,
            Err(error) => log::warn!("can't join the other daemons, retrying: {error}"),
        }
        sleep(retry).await;
        retry = (retry * 2).min(RETRY_MAX_INTERVAL);
    };
    retry = RETRY_MIN_INTERVAL;
    joined.replace(Some(Rc::clone(&membership.mesh)));
    loop {
        let pause = match membership.update().await {
            Ok(()) if membership.is_registered => {
                retry = RETRY_MIN_INTERVAL;
                DISCOVERY_INTERVAL
            }
            Ok(()) => retry,
            Err(error) => {
                log::warn!("can't update the list of daemons, retrying: {error}");
                retry
            }
        };
        retry = (retry * 2).min(RETRY_MAX_INTERVAL);
        if timeout(pause, lost_entry.notified()).await.is_ok() {
            membership.is_registered = false;
        }
    }
}

/// This daemon's membership in the mesh.
struct Membership {
    store: Rc<dyn MetadataStore>,
    mesh: Rc<Mesh>,
    events: MeshSink,
    member: Member,
    /// The key of this process. Peers tell processes of a VM apart by it.
    key: PrivateKeyPem,
    /// The certificate authority in use, as stored.
    ca: Vec<u8>,
    /// Whether the store has the entry and the authority, as far as is known.
    is_registered: bool,
}

impl Membership {
    /// Registers this daemon and starts its mesh.
    async fn start(
        settings: &GatewaySettings,
        store: &Rc<dyn MetadataStore>,
        sinks: &MeshSinks,
    ) -> Result<Self, JoinError> {
        let KeyPairPem { certificate, key } = KeyPairPem::new_ca()?;
        let proposed = serde_json::to_vec(&StoredCa { certificate, key })?;
        let ca = store.shared_secret(CA_SECRET, &proposed).await?;
        let key = PrivateKeyPem::generate()?;
        let identity = identity(&settings.vm, &key, &ca)?;
        let address = settings.listen.peers;
        let member = Member {
            vm: settings.vm.clone(),
            incarnation: Incarnation::new(unix_ms()),
            domain: settings.domain.clone(),
            peer_address: address,
        };
        store.register_member(&member).await?;
        let mesh = Mesh::start(
            settings.vm.clone(),
            address,
            &identity,
            Rc::clone(&sinks.events),
            Rc::clone(&sinks.relays),
        )?;
        Ok(Self {
            store: Rc::clone(store),
            mesh,
            events: Rc::clone(&sinks.events),
            member,
            key,
            ca,
            is_registered: true,
        })
    }

    /// Reads the list of daemons, after writing what the store lost: this daemon's entry and the
    /// authority.
    async fn update(&mut self) -> Result<(), JoinError> {
        if !self.is_registered {
            self.restore_ca().await?;
            self.store.register_member(&self.member).await?;
        }
        let clock = BootClock::start();
        let members = self.store.members().await?;
        (self.events)(DispatchEvent::DaemonsListed {
            vms: members.iter().map(|member| member.vm.clone()).collect(),
            age_ms: clock.now().since(Time::START),
        });
        self.is_registered = members.contains(&self.member);
        self.mesh.update_members(members);
        Ok(())
    }

    /// Writes the authority in use to a store that has none. If a daemon that started since has
    /// written another one, all use that: the one in the store counts. Connections stay.
    async fn restore_ca(&mut self) -> Result<(), JoinError> {
        let stored = self.store.shared_secret(CA_SECRET, &self.ca).await?;
        if stored != self.ca {
            let identity = identity(&self.member.vm, &self.key, &stored)?;
            self.mesh.set_identity(&identity);
            self.ca = stored;
            log::warn!("the store has another certificate authority; new connections use it");
        }
        Ok(())
    }
}

/// This daemon's identity, signed by the stored certificate authority.
fn identity(vm: &VmId, own_key: &PrivateKeyPem, stored_ca: &[u8]) -> Result<Identity, JoinError> {
    let StoredCa { certificate, key } = serde_json::from_slice(stored_ca)?;
    let keys = KeyPairPem { certificate, key }.sign_vm(vm, own_key)?;
    Ok(Identity::for_mesh(vm, &keys)?)
}
