//! What a daemon may hold in memory for requests, responses, connections and relays, and how many bytes of
//! requests may be in flight at one upstream.
//!
//! Nothing here depends on a dispatcher or does I/O: the transport counts bytes in a [`MemoryLedger`], and the
//! dispatcher keeps an [`UpstreamBytesTable`].

mod ledger;
mod report;
mod settings;
mod sockets;
mod upstream_bytes;

pub use ledger::{MemoryLedger, MemoryUse};
pub use report::UpstreamBytesReport;
pub use settings::{MemorySettings, RawMemorySettings};
pub use sockets::{SocketLedger, SocketUse};
pub use upstream_bytes::UpstreamBytesTable;
