//! Orphaned requests: an upstream reports them, but there is no grant for them.

use super::owner::Owner;
use crate::{
    action::Action,
    context::Context,
    ids::{RequestId, UpstreamId},
    platform::{CallToken, Component},
    upstream::{Order, OrderKind},
};
use std::collections::BTreeSet;

/// Orphaned requests at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Orphans {
    /// Orphans in the last report, not cancelled unless the next report names them too.
    last_reported: BTreeSet<RequestId>,
    /// Orphans in two consecutive reports, which are being cancelled.
    cancelling: BTreeSet<RequestId>,
}

impl Orphans {
    /// Whether this request is being cancelled as an orphan.
    pub(super) fn is_cancelling(&self, request: RequestId) -> bool {
        self.cancelling.contains(&request)
    }

    /// Whether no orphan is being cancelled.
    pub(super) fn is_empty(&self) -> bool {
        self.cancelling.is_empty()
    }
}

impl Owner {
    /// Cancels the requests that two consecutive reports name and that have no grant.
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
        let reported_twice = ungranted.intersection(&account.orphans.last_reported);
        let reported_twice: BTreeSet<RequestId> = reported_twice.copied().collect();
        account
            .orphans
            .cancelling
            .retain(|request| ungranted.contains(request));
        account.orphans.cancelling.extend(&reported_twice);
        account.orphans.last_reported = ungranted;
        let (address, fencing) = (account.config.address, account.fencing);
        self.orphan_cancels.retain(|_, (at, _)| at != upstream);
        for request in reported_twice {
            let token = ctx.token(Component::Grant);
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
            account.orphans.last_reported.remove(&request);
        }
    }
}
