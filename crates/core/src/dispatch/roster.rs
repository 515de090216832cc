//! The daemons that together keep to a bound, and what one of them may use of it.
//!
//! A bound over all daemons is divided by the number of VMs that run one. That number is the same for a daemon that has
//! run for days and for one that has just started, hears nobody or is cut off: it comes from the list of daemons in the
//! store, which only grows, and from links to daemons that are not on it yet.
//!
//! A daemon on a new VM has no part of what is divided for good until every daemon that may use one knows its VM:
//! each that was listed before it has been linked with it, or has had to read the list again.

use crate::{
    ids::VmId,
    units::{Millis, Time},
};
use std::collections::BTreeSet;

/// Time for which a list of the daemons counts as current. They read it each minute.
const LIST_LEASE_MS: Millis = Millis::new(90_000);

/// Number of daemons assumed by one that has read no list: as many as the largest fleets have.
const UNLISTED_DAEMONS_LEN: usize = 1_000;

/// When the list of daemons was read.
#[derive(Clone, Copy, Debug)]
struct Listed {
    first_at: Time,
    last_at: Time,
}

/// The VMs that run a daemon, as far as this one knows.
#[derive(Debug)]
pub(super) struct Roster {
    /// All VMs that were ever listed or linked, this one included.
    known: BTreeSet<VmId>,
    /// Those with which this process has been linked.
    met: BTreeSet<VmId>,
    /// Those that were on its first list and that it has not met.
    unmet: BTreeSet<VmId>,
    listed: Option<Listed>,
    /// Since when all daemons that were listed before this one know its VM.
    known_since: Option<Time>,
}

impl Roster {
    pub(super) fn new(own: VmId) -> Self {
        Self {
            known: BTreeSet::from([own.clone()]),
            met: BTreeSet::from([own]),
            unmet: BTreeSet::new(),
            listed: None,
            known_since: None,
        }
    }

    /// Handles the list of daemons as it was at `asked_at`, after this one had registered.
    pub(super) fn on_listed(&mut self, now: Time, asked_at: Time, vms: Vec<VmId>) {
        match &mut self.listed {
            Some(listed) => listed.last_at = listed.last_at.max(asked_at),
            None => {
                self.listed = Some(Listed {
                    first_at: asked_at,
                    last_at: asked_at,
                });
                let unmet = vms.iter().filter(|vm| !self.met.contains(*vm));
                self.unmet = unmet.cloned().collect();
            }
        }
        self.known.extend(vms);
        self.update_known_since(now);
    }

    /// Handles a link to another daemon.
    pub(super) fn on_linked(&mut self, now: Time, vm: &VmId) {
        if self.met.insert(vm.clone()) {
            self.known.insert(vm.clone());
            self.unmet.remove(vm);
            self.update_known_since(now);
        }
    }

    fn update_known_since(&mut self, now: Time) {
        if self.listed.is_some() && self.unmet.is_empty() {
            self.known_since.get_or_insert(now);
        }
    }

    /// Number of daemons that bounds over all of them are divided by.
    pub(super) fn len(&self) -> usize {
        let least_len = match self.listed {
            Some(_) => 1,
            None => UNLISTED_DAEMONS_LEN,
        };
        self.known.len().max(least_len)
    }

    /// Since when this daemon has had an equal part of what is divided for good; none if it may use none now.
    pub(super) fn share_since(&self, now: Time) -> Option<Time> {
        let listed = self.listed.as_ref()?;
        if now.since(listed.last_at) > LIST_LEASE_MS {
            return None;
        }
        let lists_expired_at = listed.first_at + LIST_LEASE_MS;
        let known_since = self.known_since.unwrap_or(lists_expired_at);
        Some(known_since.min(lists_expired_at)).filter(|since| *since <= now)
    }
}
