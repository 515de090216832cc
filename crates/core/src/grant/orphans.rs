//! Streams that an upstream reports and nobody holds.

use super::owner::Owner;
use crate::{
    action::Action,
    context::Context,
    ids::{RequestId, UpstreamId},
    platform::{CallToken, Part},
    upstream::{Order, OrderKind},
};
use std::collections::BTreeSet;

/// Requests at one upstream that no grant accounts for.
#[derive(Clone, Debug, Default)]
pub(super) struct Orphans {
    /// Seen in the last report.
    reported_once: BTreeSet<RequestId>,
    /// Seen twice: a cancel is on its way.
    cancelling: BTreeSet<RequestId>,
}

impl Orphans {
    /// Whether a cancel of this request is on its way.
    pub(super) fn is_cancelling(&self, request: RequestId) -> bool {
        self.cancelling.contains(&request)
    }

    /// Whether the upstream holds memory that no grant accounts for.
    pub(super) fn is_empty(&self) -> bool {
        self.cancelling.is_empty()
    }
}

impl Owner {
    /// Cancels what two reports in a row name and no grant accounts for.
    pub(super) fn cancel_orphans(&mut self, ctx: &mut Context<'_>, upstream: &UpstreamId) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        if ctx.now < account.learning_until || !account.is_engine() {
            account.orphans = Orphans::default();
            return;
        }
        let granted: BTreeSet<RequestId> =
            account.active_grants().map(|(id, _)| id.request).collect();
        let reported = account.report.iter().flat_map(|report| &report.requests);
        let ungranted: BTreeSet<RequestId> =
            reported.copied().filter(|r| !granted.contains(r)).collect();
        let reported_twice = ungranted.intersection(&account.orphans.reported_once);
        let reported_twice: BTreeSet<RequestId> = reported_twice.copied().collect();
        account
            .orphans
            .cancelling
            .retain(|request| ungranted.contains(request));
        account.orphans.cancelling.extend(&reported_twice);
        account.orphans.reported_once = ungranted;
        let (address, fencing) = (account.config.address, account.fencing);
        self.orphan_cancels.retain(|_, (at, _)| at != upstream);
        for request in reported_twice {
            let token = ctx.token(Part::Grant);
            self.orphan_cancels
                .insert(token, (upstream.clone(), request));
            ctx.act(Action::Order(Box::new(Order {
                token,
                upstream: upstream.clone(),
                address,
                fencing,
                kind: OrderKind::Cancel { request },
            })));
        }
    }

    pub(super) fn on_orphan_cancelled(&mut self, token: CallToken) {
        let Some((upstream, request)) = self.orphan_cancels.remove(&token) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&upstream) {
            account.orphans.cancelling.remove(&request);
            account.orphans.reported_once.remove(&request);
        }
    }
}
