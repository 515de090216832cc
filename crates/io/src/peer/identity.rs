//! The TLS identity of a daemon and the TLS and transport settings for its peers.

use super::{handshakes, Keys, PeerError};
use bytes::Bytes;
use persimmon_core::ids::VmId;
use quinn::{
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
    AckFrequencyConfig, ClientConfig, Connection, IdleTimeout, ServerConfig, TransportConfig,
    VarInt,
};
use rustls::{
    crypto::ring,
    pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer},
    server::WebPkiClientVerifier,
    version::TLS13,
    RootCertStore,
};
use std::{fmt, sync::Arc, time::Duration};
use x509_parser::parse_x509_certificate;

/// Idle timeout of a connection of the peer link.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Idle timeout of a mesh connection. It bounds how long a peer that is frozen or cut off is waited
/// for.
const MESH_IDLE_TIMEOUT_MS: u32 = 2_000;

/// Interval of keep-alive packets on a mesh connection.
const MESH_KEEP_ALIVE: Duration = Duration::from_millis(800);

/// Delay of acknowledgements in a mesh, so that they share packets with messages in the same
/// direction: each packet costs a wake-up. Packet loss is detected later by the same time.
const MESH_ACK_DELAY: Duration = Duration::from_millis(200);

/// Number of received packets after which an acknowledgement is sent without delay.
const MESH_ACK_THRESHOLD: VarInt = VarInt::from_u32(16);

/// Most connections to upstreams that one peer may have passed on at the same time.
const MESH_RELAYS_MAX_LEN: VarInt = VarInt::from_u32(256);

/// Bytes of one stream that may be under way in a mesh. It bounds what is buffered for a reader that is slower
/// than its writer.
const MESH_STREAM_WINDOW_BYTES: VarInt = VarInt::from_u32(256 << 10);

/// Name of a daemon's own certificate in errors.
const VM_CERTIFICATE: &str = "VM certificate";

/// ALPN protocol name in the TLS handshake. Its number changes with the encoding of messages: daemons
/// of builds with different encodings don't connect.
const ALPN_PROTOCOL: &[u8] = b"persimmonfront/5";

/// A daemon's TLS configuration for connections to and from its peers.
#[derive(Clone)]
pub struct Identity {
    pub(super) vm: VmId,
    pub(super) server: ServerConfig,
    pub(super) client: ClientConfig,
}

impl Identity {
    /// Creates the identity of a daemon for the peer link.
    ///
    /// # Errors
    ///
    /// Names the malformed key, or the VM that the certificate names instead of `vm`.
    pub fn new(vm: &VmId, keys: &Keys) -> Result<Self, PeerError> {
        Self::with_transport(vm, keys, &Arc::new(transport(IDLE_TIMEOUT_MS, None)))
    }

    /// Creates the identity of a daemon in a mesh. Connections have a short idle timeout and
    /// keep-alive packets, so that a peer that fails is detected.
    ///
    /// # Errors
    ///
    /// Same as [`Identity::new`].
    pub fn for_mesh(vm: &VmId, keys: &Keys) -> Result<Self, PeerError> {
        let mut transport = transport(MESH_IDLE_TIMEOUT_MS, Some(MESH_KEEP_ALIVE));
        let mut acks = AckFrequencyConfig::default();
        acks.ack_eliciting_threshold(MESH_ACK_THRESHOLD);
        acks.max_ack_delay(Some(MESH_ACK_DELAY));
        transport.ack_frequency_config(Some(acks));
        transport.max_concurrent_bidi_streams(MESH_RELAYS_MAX_LEN);
        transport.stream_receive_window(MESH_STREAM_WINDOW_BYTES);
        let transport = Arc::new(transport);
        Self::with_transport(vm, keys, &transport)
    }

    fn with_transport(
        vm: &VmId,
        keys: &Keys,
        transport: &Arc<TransportConfig>,
    ) -> Result<Self, PeerError> {
        let certificate = certificate(&keys.own.certificate, VM_CERTIFICATE)?;
        let named = vm_of(&certificate)?;
        if named != *vm {
            return Err(PeerError::VmMismatch {
                found: named.to_string(),
                wanted: vm.to_string(),
            });
        }
        let mut roots = RootCertStore::empty();
        let ca = self::certificate(&keys.ca, "CA certificate")?;
        roots.add(ca).map_err(|e| malformed("CA certificate", &e))?;
        let roots = Arc::new(roots);
        let (key, other_key) = (private_key(keys)?, private_key(keys)?);
        let server = server_config(certificate.clone(), key, roots.clone(), transport)?;
        let client = client_config(certificate, other_key, roots, transport)?;
        Ok(Self {
            vm: vm.clone(),
            server,
            client,
        })
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// The public key in a peer's certificate. In a mesh, each process has a key of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ProcessKey(Bytes);

/// Returns the VM that the peer's certificate names.
pub(super) fn peer_of(connection: &Connection) -> Result<VmId, PeerError> {
    vm_of(&certificate_of(connection)?)
}

/// Returns the key of the peer's process.
pub(super) fn process_of(connection: &Connection) -> Result<ProcessKey, PeerError> {
    let certificate = certificate_of(connection)?;
    let (_, parsed) =
        parse_x509_certificate(&certificate).map_err(|e| malformed(VM_CERTIFICATE, &e))?;
    Ok(ProcessKey(Bytes::copy_from_slice(parsed.public_key().raw)))
}

fn certificate_of(connection: &Connection) -> Result<CertificateDer<'static>, PeerError> {
    let chain = connection
        .peer_identity()
        .and_then(|any| any.downcast::<Chain>().ok());
    let first = chain.and_then(|chain| chain.into_iter().next());
    first.ok_or_else(|| PeerError::Connection("the peer sent no certificate".into()))
}

type Chain = Vec<CertificateDer<'static>>;

fn server_config(
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    transport: &Arc<TransportConfig>,
) -> Result<ServerConfig, PeerError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|e| malformed("CA certificate", &e))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|e| malformed("TLS", &e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![certificate], key)
        .map_err(|e| malformed("VM key", &e))?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| malformed("TLS", &e))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::clone(transport));
    handshakes::bound_incoming(&mut config);
    Ok(config)
}

fn client_config(
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    transport: &Arc<TransportConfig>,
) -> Result<ClientConfig, PeerError> {
    let provider = Arc::new(ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(|e| malformed("TLS", &e))?
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate], key)
        .map_err(|e| malformed("VM key", &e))?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| malformed("TLS", &e))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::clone(transport));
    Ok(config)
}

fn transport(idle_timeout_ms: u32, keep_alive: Option<Duration>) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(idle_timeout_ms))));
    transport.keep_alive_interval(keep_alive);
    transport.initial_rtt(Duration::from_millis(10));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(0));
    transport
}

fn certificate(pem: &str, what: &'static str) -> Result<CertificateDer<'static>, PeerError> {
    CertificateDer::from_pem_slice(pem.as_bytes()).map_err(|e| malformed(what, &e))
}

fn private_key(keys: &Keys) -> Result<PrivateKeyDer<'static>, PeerError> {
    PrivateKeyDer::from_pem_slice(keys.own.key.as_bytes()).map_err(|e| malformed("VM key", &e))
}

fn vm_of(certificate: &CertificateDer<'_>) -> Result<VmId, PeerError> {
    let what = VM_CERTIFICATE;
    let (_, parsed) = parse_x509_certificate(certificate).map_err(|e| malformed(what, &e))?;
    let name = parsed
        .subject()
        .iter_common_name()
        .next()
        .and_then(|name| name.as_str().ok());
    let name = name.ok_or_else(|| malformed(what, &"no common name"))?;
    name.parse().map_err(|e| malformed(what, &e))
}

fn malformed(what: &'static str, reason: &dyn fmt::Display) -> PeerError {
    PeerError::Malformed {
        what,
        reason: reason.to_string(),
    }
}
