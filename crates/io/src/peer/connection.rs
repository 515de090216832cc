//! Reading and writing one connection.

use super::{
    envelope::{Envelope, MESSAGE_MAX_BYTES},
    quic_link::EventSink,
    PeerError,
};
use bytes::Bytes;
use persimmon_core::{ids::VmId, Event};
use quinn::{Connection, RecvStream, SendStream};

/// Reads a connection's messages until it closes.
pub(super) async fn read(connection: Connection, from: VmId, sink: EventSink) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(coded) => deliver(&coded, &from, &sink),
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
    while let Ok(coded) = read_frame(&mut stream).await {
        deliver(&coded, &from, &sink);
    }
}

/// Reads one message of an ordered stream.
pub(super) async fn read_frame(stream: &mut RecvStream) -> Result<Vec<u8>, PeerError> {
    let mut len = [0; 4];
    stream
        .read_exact(&mut len)
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MESSAGE_MAX_BYTES {
        return Err(PeerError::Codec(format!("{len} bytes are too many")));
    }
    let mut coded = vec![0; len];
    stream
        .read_exact(&mut coded)
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))?;
    Ok(coded)
}

/// Writes one message to the ordered stream.
pub(super) async fn write_frame(stream: &mut SendStream, coded: &Bytes) -> Result<(), PeerError> {
    let len = (coded.len() as u32).to_be_bytes();
    let written = async {
        stream.write_all(&len).await?;
        stream.write_all(coded).await
    };
    written
        .await
        .map_err(|e| PeerError::Connection(e.to_string()))
}

fn deliver(coded: &[u8], from: &VmId, sink: &EventSink) {
    match Envelope::decode(coded) {
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
