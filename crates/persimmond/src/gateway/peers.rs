//! Finds the other daemons, and joins them.

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

/// Name of the certificate authority among the shared secrets.
const CA_SECRET: &str = "certificate-authority";

/// Time between two tries to reach the store.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after which the list of daemons is read again: daemons that started in the same moment, or
/// behind a cut, find each other by it.
const LIST_PAUSE: Duration = Duration::from_secs(20);

/// A certificate authority as it is kept in the store.
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
    #[error("the shared certificate authority makes no sense ({0}): remove its row")]
    Secret(#[from] serde_json::Error),
}

/// The mesh, once it is joined.
pub(super) type JoinedMesh = Rc<RefCell<Option<Rc<Mesh>>>>;

/// Joins the other daemons, and goes on looking for new ones.
pub(super) async fn join(
    settings: GatewaySettings,
    store: Rc<dyn MetadataStore>,
    sink: MeshSink,
    joined: JoinedMesh,
) {
    let mesh = loop {
        match start(&settings, &*store, &sink).await {
            Ok(mesh) => break mesh,
            Err(error) => log::warn!("the other daemons can't be joined yet: {error}"),
        }
        sleep(RETRY_PAUSE).await;
    };
    joined.replace(Some(Rc::clone(&mesh)));
    loop {
        match store.members().await {
            Ok(members) => {
                mesh.update_members(members);
                sleep(LIST_PAUSE).await;
            }
            Err(error) => {
                log::warn!("the list of daemons can't be read: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn start(
    settings: &GatewaySettings,
    store: &dyn MetadataStore,
    sink: &MeshSink,
) -> Result<Rc<Mesh>, JoinError> {
    let keys = keys(&settings.vm, store).await?;
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

/// This daemon's keys, signed by the authority that the first daemon made.
async fn keys(vm: &VmId, store: &dyn MetadataStore) -> Result<Keys, JoinError> {
    let KeyPairPem { certificate, key } = KeyPairPem::new_ca()?;
    let proposed = serde_json::to_vec(&StoredCa { certificate, key })?;
    let kept = store.shared_secret(CA_SECRET, &proposed).await?;
    let StoredCa { certificate, key } = serde_json::from_slice(&kept)?;
    Ok(KeyPairPem { certificate, key }.new_vm(vm)?)
}
