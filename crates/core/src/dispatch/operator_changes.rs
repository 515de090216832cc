//! Operators' changes that a reader of the store passes on to its peers. Otherwise each daemon of a large
//! fleet would call the store for each change, within the same moment.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage,
};
use crate::{
    catalog::RawCatalog,
    ids::FailureDomain,
    watch::{Batch, Change, StorePosition},
};
use serde::{Deserialize, Serialize};

/// Largest catalog that is passed on, by its number of routes and keys. Larger ones would fill the
/// links of small VMs; each daemon reads those itself.
const PASSED_ON_ENTRIES_MAX_LEN: usize = 400;

/// A change by operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OperatorChange {
    /// A catalog was written.
    Catalog(Box<RawCatalog>),
    /// A failure domain was taken out of service.
    DomainWithdrawn(FailureDomain),
    /// A failure domain was returned to service.
    DomainReturned(FailureDomain),
}

impl OperatorChange {
    /// The change, if it can be passed on.
    fn from_read(change: &Change) -> Option<Self> {
        match change {
            Change::Catalog(raw) => {
                let keys_len = raw.keys.as_ref().map_or(0, Vec::len);
                let is_small = raw.routes.len() + keys_len <= PASSED_ON_ENTRIES_MAX_LEN;
                is_small.then(|| Self::Catalog(raw.clone()))
            }
            Change::DomainWithdrawn(domain) => Some(Self::DomainWithdrawn(domain.clone())),
            Change::DomainReturned(domain) => Some(Self::DomainReturned(domain.clone())),
            Change::Upstream(_)
            | Change::UpstreamRemoved(_)
            | Change::Member(_)
            | Change::Unreadable { .. } => None,
        }
    }
}

impl From<OperatorChange> for Change {
    fn from(change: OperatorChange) -> Self {
        match change {
            OperatorChange::Catalog(raw) => Self::Catalog(raw),
            OperatorChange::DomainWithdrawn(domain) => Self::DomainWithdrawn(domain),
            OperatorChange::DomainReturned(domain) => Self::DomainReturned(domain),
        }
    }
}

impl Dispatcher {
    /// The message that passes changes on to the peers; none if they have to read them. Only the first
    /// reader passes changes on. The others report them as freshness, in case it fails.
    pub(super) fn operator_changes_message(&self, batch: &Batch) -> Option<DispatchMessage> {
        if batch.changes.is_empty() || self.reader_rank() > 0 {
            return None;
        }
        let changes = batch.changes.iter().map(OperatorChange::from_read);
        Some(DispatchMessage::OperatorChanges {
            after: batch.after?,
            position: batch.position,
            changes: changes.collect::<Option<_>>()?,
        })
    }

    /// Passes changes on to all peers, ahead of the report that there are any.
    pub(super) fn pass_on(&self, out: &mut Out<'_>, message: DispatchMessage) {
        if !self.peers.is_empty() {
            out.act(DispatchAction::Notify { to: None, message });
        }
    }

    /// Applies changes that a reader passed on, if they continue what is known here.
    pub(super) fn on_operator_changes(
        &mut self,
        out: &mut Out<'_>,
        after: StorePosition,
        position: StorePosition,
        changes: Vec<OperatorChange>,
    ) {
        if self.operators.on_passed_on(out.now, after, position) {
            let batch = Batch {
                position,
                after: Some(after),
                has_rows: true,
                changes: changes.into_iter().map(Change::from).collect(),
            };
            self.on_operators(out, batch, false);
        }
    }
}
