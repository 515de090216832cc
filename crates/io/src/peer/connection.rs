//! Reads and writes the messages of one connection.

use super::{
    envelope::{Envelope, MESSAGE_MAX_BYTES},
    quic_link::EventSink,
    PeerError,
};
use bytes::Bytes;
use persimmon_core::{ids::VmId, Event};
use quinn::{Connection, RecvStream, SendStream};

/// Reads messages from datagrams and streams until the connection closes.
pub(super) async fn read(connection: Connection, from: VmId, sink: EventSink) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(encoded) => deliver(&encoded, &from, &sink),
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    tokio::spawn(read_stream(stream, from.clone(), sink.clone()));
                }
                Err(_) => return,
            },
        }
    }
}

async fn read_stream(mut stream: RecvStream, from: VmId, sink: EventSink) {
    while let Ok(encoded) = read_frame(&mut stream).await {
        deliver(&encoded, &from, &sink);
    }
}

/// Reads one length-prefixed message from a stream.
pub(super) async fn read_frame(stream: &mut RecvStream) -> Result<Vec<u8>, PeerError> {
    let mut len = [0; 4];
    stream
        .read_exact(&mut len)
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MESSAGE_MAX_BYTES {
        return Err(PeerError::Codec(format!(
            "{len} bytes exceed the limit of {MESSAGE_MAX_BYTES}"
        )));
    }
    let mut encoded = vec![0; len];
    stream
        .read_exact(&mut encoded)
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))?;
    Ok(encoded)
}

/// Writes one length-prefixed message to a stream.
pub(super) async fn write_frame(stream: &mut SendStream, encoded: &Bytes) -> Result<(), PeerError> {
    let len = (encoded.len() as u32).to_be_bytes();
    let written = async {
        stream.write_all(&len).await?;
        stream.write_all(encoded).await
    };
    written
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))
}

fn deliver(encoded: &[u8], from: &VmId, sink: &EventSink) {
    match Envelope::decode(encoded) {
        Ok(Envelope {
            incarnation,
            message,
        }) => {
            sink(Event::Peer {
                from: from.clone(),
                incarnation,
                message,
            });
        }
        Err(error) => log::warn!(peer:% = from; "{error}"),
    }
}
