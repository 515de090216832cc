//! Messages of kinds that builds before them do not know. A frame has the number of its kind and an encoded
//! body, so that a daemon can skip a kind that it lacks without losing the messages beside it.

use super::CrashNotice;
use crate::{
    ids::Fingerprint, memory_budget::UpstreamBytesReport, prefix::PrefixReport,
    returns::PromiseReports, sharing::WorkReport, speed::SpeedReport,
};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Maximum number of kinds that are believed of a peer.
const KINDS_MAX_LEN: usize = 64;

/// Number of a kind of extension message. Numbers are never used again for another body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ExtensionKind(u16);

impl ExtensionKind {
    /// [`ExtensionMessage::Capabilities`].
    pub const CAPABILITIES: Self = Self(0);

    /// [`ExtensionMessage::WorkspaceWork`].
    pub const WORKSPACE_WORK: Self = Self(1);

    /// [`ExtensionMessage::RetryPromises`].
    pub const RETRY_PROMISES: Self = Self(2);

    /// [`ExtensionMessage::UpstreamSpeeds`].
    pub const UPSTREAM_SPEEDS: Self = Self(3);

    /// [`ExtensionMessage::CachedPrefixes`].
    pub const CACHED_PREFIXES: Self = Self(4);

    /// [`ExtensionMessage::UpstreamBytes`].
    pub const UPSTREAM_BYTES: Self = Self(5);

    /// [`ExtensionMessage::UpstreamCrashed`].
    pub const UPSTREAM_CRASHED: Self = Self(6);

    /// [`ExtensionMessage::Survived`].
    pub const SURVIVED: Self = Self(7);

    /// The kinds that this build reads.
    pub const READ: [Self; 8] = [
        Self::CAPABILITIES,
        Self::WORKSPACE_WORK,
        Self::RETRY_PROMISES,
        Self::UPSTREAM_SPEEDS,
        Self::CACHED_PREFIXES,
        Self::UPSTREAM_BYTES,
        Self::UPSTREAM_CRASHED,
        Self::SURVIVED,
    ];
}

impl fmt::Display for ExtensionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An extension message as it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExtensionFrame {
    /// The kind of the body.
    pub kind: ExtensionKind,
    /// The encoded body.
    pub body: Bytes,
}

/// A message of a kind that not all builds know.
#[derive(Clone, Debug, PartialEq)]
pub enum ExtensionMessage {
    /// The kinds that the sender reads. Sent at the start of a link.
    Capabilities(Vec<ExtensionKind>),
    /// What the sender learned of the speed of upstreams since its last report.
    UpstreamSpeeds(Vec<SpeedReport>),
    /// Prompt prefixes that upstreams got or keep.
    CachedPrefixes(Vec<PrefixReport>),
    /// Bytes of the sender's requests in flight at upstreams.
    UpstreamBytes(UpstreamBytesReport),
    /// The process of an upstream ended with requests of the sender in flight there.
    UpstreamCrashed(CrashNotice),
    /// An upstream has lived on after it began to answer requests with these fingerprints.
    Survived(Vec<Fingerprint>),
    /// Work of workspaces at services since the sender's last report.
    WorkspaceWork(Vec<WorkReport>),
    /// Retry times that refused callers were given, and those whose callers have got their slots.
    RetryPromises(PromiseReports),
}

/// An extension message that can't be encoded or decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ExtensionError {
    /// This build does not know the kind.
    #[error("extension kind {0} is unknown to this build: upgrade it to use that feature")]
    UnknownKind(ExtensionKind),
    /// The body is not of its kind.
    #[error("the body of extension kind {kind} is malformed ({reason}): check the sender's build")]
    Malformed {
        /// The kind.
        kind: ExtensionKind,
        /// What is wrong.
        reason: String,
    },
}

impl TryFrom<&ExtensionMessage> for ExtensionFrame {
    type Error = ExtensionError;

    fn try_from(message: &ExtensionMessage) -> Result<Self, ExtensionError> {
        match message {
            ExtensionMessage::Capabilities(kinds) => encode(ExtensionKind::CAPABILITIES, kinds),
            ExtensionMessage::CachedPrefixes(reports) => {
                encode(ExtensionKind::CACHED_PREFIXES, reports)
            }
            ExtensionMessage::UpstreamBytes(report) => {
                encode(ExtensionKind::UPSTREAM_BYTES, report)
            }
            ExtensionMessage::UpstreamCrashed(notice) => {
                encode(ExtensionKind::UPSTREAM_CRASHED, notice)
            }
            ExtensionMessage::Survived(fingerprints) => {
                encode(ExtensionKind::SURVIVED, fingerprints)
            }
            ExtensionMessage::UpstreamSpeeds(reports) => {
                encode(ExtensionKind::UPSTREAM_SPEEDS, reports)
            }
            ExtensionMessage::WorkspaceWork(reports) => {
                encode(ExtensionKind::WORKSPACE_WORK, reports)
            }
            ExtensionMessage::RetryPromises(reports) => {
                encode(ExtensionKind::RETRY_PROMISES, reports)
            }
        }
    }
}

impl TryFrom<&ExtensionFrame> for ExtensionMessage {
    type Error = ExtensionError;

    fn try_from(frame: &ExtensionFrame) -> Result<Self, ExtensionError> {
        match frame.kind {
            ExtensionKind::CAPABILITIES => {
                let mut kinds: Vec<_> = decode(frame)?;
                kinds.truncate(KINDS_MAX_LEN);
                Ok(Self::Capabilities(kinds))
            }
            ExtensionKind::UPSTREAM_SPEEDS => decode(frame).map(Self::UpstreamSpeeds),
            ExtensionKind::WORKSPACE_WORK => Ok(Self::WorkspaceWork(decode(frame)?)),
            ExtensionKind::RETRY_PROMISES => decode(frame).map(Self::RetryPromises),
            ExtensionKind::CACHED_PREFIXES => decode(frame).map(Self::CachedPrefixes),
            ExtensionKind::UPSTREAM_BYTES => decode(frame).map(Self::UpstreamBytes),
            ExtensionKind::UPSTREAM_CRASHED => decode(frame).map(Self::UpstreamCrashed),
            ExtensionKind::SURVIVED => decode(frame).map(Self::Survived),
            kind => Err(ExtensionError::UnknownKind(kind)),
        }
    }
}

fn encode<T: Serialize>(kind: ExtensionKind, body: &T) -> Result<ExtensionFrame, ExtensionError> {
    let encoded = postcard::to_stdvec(body).map_err(|error| malformed(kind, &error))?;
    Ok(ExtensionFrame {
        kind,
        body: encoded.into(),
    })
}

fn decode<T: DeserializeOwned>(frame: &ExtensionFrame) -> Result<T, ExtensionError> {
    postcard::from_bytes(&frame.body).map_err(|error| malformed(frame.kind, &error))
}

fn malformed(kind: ExtensionKind, error: &postcard::Error) -> ExtensionError {
    ExtensionError::Malformed {
        kind,
        reason: error.to_string(),
    }
}
