//! Discovers the other daemons through the store and joins their mesh.

use crate::daemon::unix_ms;
use persimmon_core::{
    ids::{Incarnation, VmId},
    message::Member,
    watch::StoreError,
};
use persimmon_io::{
    peer::{Identity, KeyPairPem, Keys, Mesh, MeshSink, PeerError},
    settings::GatewaySettings,
    transport::MetadataStore,
};
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, rc::Rc, time::Duration};
use thiserror::Error;
use tokio::time::sleep;

/// Name of the shared secret that holds the certificate authority.
const CA_SECRET: &str = "certificate-authority";

/// Interval between attempts to join the mesh or to read the list of daemons.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which the list of daemons is read again. Daemons that start at the same time or during
/// a network partition find each other this way.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(20);

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

/// Joins the mesh of daemons, then updates its members from the store. Does not return.
pub(super) async fn join(
    settings: GatewaySettings,
    store: Rc<dyn MetadataStore>,
    sink: MeshSink,
    joined: JoinedMesh,
) {
    let mesh = loop {
        match start_mesh(&settings, &*store, &sink).await {
            Ok(mesh) => break mesh,
            Err(error) => log::warn!("can't join the other daemons, retrying: {error}"),
        }
        sleep(RETRY_INTERVAL).await;
    };
    joined.replace(Some(Rc::clone(&mesh)));
    loop {
        match store.members().await {
            Ok(members) => {
                mesh.update_members(members);
                sleep(DISCOVERY_INTERVAL).await;
            }
            Err(error) => {
                log::warn!("can't read the list of daemons, retrying: {error}");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn start_mesh(
    settings: &GatewaySettings,
    store: &dyn MetadataStore,
    sink: &MeshSink,
) -> Result<Rc<Mesh>, JoinError> {
    let keys = create_keys(&settings.vm, store).await?;
    let identity = Identity::for_mesh(&settings.vm, &keys)?;
    store
        .register_member(&Member {
            vm: settings.vm.clone(),
            incarnation: Incarnation::new(unix_ms()),
            domain: settings.domain.clone(),
            peer_address: settings.listen.peers,
        })
        .await?;
    let address = settings.listen.peers;
    Ok(Mesh::start(
        settings.vm.clone(),
        address,
        &identity,
        Rc::clone(sink),
    )?)
}

/// Creates this daemon's keys, signed by the certificate authority that the first daemon stored.
async fn create_keys(vm: &VmId, store: &dyn MetadataStore) -> Result<Keys, JoinError> {
    let KeyPairPem { certificate, key } = KeyPairPem::new_ca()?;
    let proposed = serde_json::to_vec(&StoredCa { certificate, key })?;
    let stored = store.shared_secret(CA_SECRET, &proposed).await?;
    let StoredCa { certificate, key } = serde_json::from_slice(&stored)?;
    Ok(KeyPairPem { certificate, key }.new_vm(vm)?)
}
