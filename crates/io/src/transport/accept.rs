//! Accepts TCP connections.

use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Delay before the next attempt after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection. Errors of `accept` are logged and retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(reason:% = error; "accepting connections failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
