//! Accepts connections.

use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Pause after a connection could not be accepted, as where descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The next connection.
pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("connection not accepted ({error}): raise the descriptor limit");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
