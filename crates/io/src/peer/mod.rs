//! Messages between daemons over QUIC with mutual TLS.

mod connection;
mod envelope;
mod errors;
mod handshakes;
mod identity;
mod keys;
mod mesh;
mod quic_link;
mod relay_stream;

pub use errors::PeerError;
pub use identity::Identity;
pub use keys::{KeyPairPem, Keys, PrivateKeyPem};
pub use mesh::{Mesh, MeshSink};
pub use quic_link::{EventSink, QuicLink};
pub use relay_stream::{RelayRequest, RelaySink, RelayStream, RelayWriter};
