//! Which extension messages each peer reads. Daemons of the landed build and of this one serve side by side
//! while VMs are replaced, so a message goes only to the peers that announced its kind.

use super::{
    dispatcher::{Dispatcher, Out},
    Clearing, DispatchAction, DispatchMessage, DispatchRecord, ExtensionError, ExtensionFrame,
    ExtensionKind, ExtensionMessage,
};
use crate::ids::VmId;
use std::collections::{BTreeMap, BTreeSet};

/// The kinds of extension messages that connected peers read.
#[derive(Debug, Default)]
pub(super) struct ExtensionPeers {
    kinds: BTreeMap<VmId, BTreeSet<ExtensionKind>>,
}

impl ExtensionPeers {
    pub(super) fn reads(&self, vm: &VmId, kind: ExtensionKind) -> bool {
        self.kinds
            .get(vm)
            .is_some_and(|kinds| kinds.contains(&kind))
    }

    /// Whether all these peers read a kind.
    pub(super) fn all_read<'a>(
        &self,
        mut peers: impl Iterator<Item = &'a VmId>,
        kind: ExtensionKind,
    ) -> bool {
        peers.all(|vm| self.reads(vm, kind))
    }

    /// Removes a peer whose connection was lost. It may come back as another build.
    pub(super) fn forget(&mut self, vm: &VmId) {
        self.kinds.remove(vm);
    }
}

impl Dispatcher {
    /// Tells a new peer which extension messages this daemon reads.
    pub(super) fn announce_extensions(&self, out: &mut Out<'_>, vm: &VmId) {
        let message = ExtensionMessage::Capabilities(ExtensionKind::READ.to_vec());
        if let Some(frame) = encode_extension(out, &message) {
            out.act(DispatchAction::Notify {
                to: Some(vm.clone()),
                message: DispatchMessage::Extension(frame),
            });
        }
    }

    /// Sends a message at once to each peer that reads its kind.
    pub(super) fn notify_readers_now(&self, out: &mut Out<'_>, message: &ExtensionMessage) {
        if let Some(frame) = encode_extension(out, message) {
            self.notify_readers(out, &frame);
        }
    }

    /// Sends a frame to each peer that reads its kind.
    pub(super) fn notify_readers(&self, out: &mut Out<'_>, frame: &ExtensionFrame) {
        let readers = self
            .peers
            .keys()
            .filter(|vm| self.extension_peers.reads(vm, frame.kind));
        for vm in readers {
            out.act(DispatchAction::Notify {
                to: Some(vm.clone()),
                message: DispatchMessage::Extension(frame.clone()),
            });
        }
    }

    /// Handles an extension message. One that can't be decoded changes nothing.
    pub(super) fn on_extension_frame(
        &mut self,
        out: &mut Out<'_>,
        vm: &VmId,
        frame: &ExtensionFrame,
    ) {
        match ExtensionMessage::try_from(frame) {
            Ok(ExtensionMessage::Capabilities(kinds)) => {
                let kinds = kinds.into_iter().collect();
                self.extension_peers.kinds.insert(vm.clone(), kinds);
                if self
                    .extension_peers
                    .reads(vm, ExtensionKind::RETRY_PROMISES)
                {
                    self.report_promises(out, vm);
                }
                if self
                    .extension_peers
                    .reads(vm, ExtensionKind::CACHED_PREFIXES)
                {
                    self.report_prefixes_to(out, vm);
                }
                self.report_all_upstream_bytes(out, vm);
            }
            Ok(ExtensionMessage::RetryPromises(reports)) => {
                self.on_retry_promises(out.now, reports);
            }
            Ok(ExtensionMessage::UpstreamSpeeds(reports)) => {
                self.on_peer_speeds(out, vm, &reports);
            }
            Ok(ExtensionMessage::CachedPrefixes(reports)) => {
                self.on_peer_prefixes(out.now, vm, reports);
            }
            Ok(ExtensionMessage::UpstreamBytes(report)) => {
                self.on_peer_upstream_bytes(out, vm, report);
            }
            Ok(ExtensionMessage::UpstreamCrashed(notice)) => {
                let crash = notice.crash(out.now);
                self.quarantine.on_crash(out.now, &crash, false);
            }
            Ok(ExtensionMessage::Survived(fingerprints)) => {
                self.on_peer_clearing(out, vm, &fingerprints, Clearing::Survived);
            }
            Ok(ExtensionMessage::WorkspaceWork(reports)) => {
                self.on_workspace_work(out.now, reports);
            }
            Err(error) => out.log(DispatchRecord::ExtensionDropped {
                member: Some(vm.clone()),
                error: error.to_string(),
            }),
        }
    }
}

/// Encodes an own extension message. One that can't be encoded is logged and dropped.
pub(super) fn encode_extension(
    out: &mut Out<'_>,
    message: &ExtensionMessage,
) -> Option<ExtensionFrame> {
    let frame = ExtensionFrame::try_from(message);
    let dropped = |error: ExtensionError| {
        out.log(DispatchRecord::ExtensionDropped {
            member: None,
            error: error.to_string(),
        });
    };
    frame.map_err(dropped).ok()
}
