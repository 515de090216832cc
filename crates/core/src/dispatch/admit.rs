//! Admission of new calls.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    queue_wait::DEFAULT_RETRY_AFTER_MS,
    Call, DispatchAction, DispatchRecord, Refusal, RefusalReason,
};
use crate::{
    catalog::{Catalog, KeyHolder, Route, Service},
    ids::Fingerprint,
    units::{Millis, Time},
};
use std::sync::Arc;

/// `Retry-After` while the daemon has no catalog or no current one, as after a start.
const START_RETRY_MS: Millis = Millis::new(300);

/// Route, service and key holder of an admitted call.
struct Admitted {
    route: Arc<Route>,
    service: Arc<Service>,
    holder: Option<KeyHolder>,
}

impl Dispatcher {
    /// Refuses a call whose head shows that it will not be admitted, before its body is received.
    pub(super) fn on_head_arrived(&self, out: &mut Out<'_>, call: &Call) {
        match self.admit(out.now, call) {
            Err(refusal) => self.refuse_new(out, call, None, refusal),
            Ok(_) => out.act(DispatchAction::Receive { call: call.id }),
        }
    }

    /// Admits or refuses a new call.
    pub(super) fn on_arrived(&mut self, out: &mut Out<'_>, mut call: Call) {
        let id = call.id;
        match self.admit(out.now, &call) {
            Err(refusal) => self.refuse_new(out, &call, None, refusal),
            Ok(Admitted {
                route,
                service,
                holder,
            }) => {
                let fingerprint = request_fingerprint(&call, holder.as_ref());
                if self.refuse_early_repeat(out, &call, (&route, &service), fingerprint) {
                    return;
                }
                let is_returning = self.is_returning(out, &call, &service, fingerprint);
                self.budget.on_call(out.now, &service.name);
                let age_ms = call.age_ms;
                let limit_ms = call
                    .deadline_ms
                    .map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
                let arrived_at = out.now - age_ms;
                call.fingerprints.push(fingerprint);
                let open = OpenCall {
                    arrived_at,
                    deadline_at: arrived_at + limit_ms,
                    call,
                    route,
                    service,
                    fingerprint,
                    holder,
                    excluded: Vec::new(),
                    lost_domain: None,
                    reached_count: 0,
                    tries_count: 0,
                    sending: None,
                    first_at: None,
                    longest_gap_ms: None,
                    may_have_run: false,
                    has_arrived: false,
                    is_retry_granted: false,
                    waiting_since: None,
                    reserving: None,
                    groups_count: 0,
                    is_trial: false,
                    is_returning,
                };
                self.calls.insert(id, open);
                self.place_call(out, id);
            }
        }
    }

    /// Checks whether a call may be served, and finds its route, its service and the holder of its key.
    fn admit(&self, now: Time, call: &Call) -> Result<Admitted, Refusal> {
        let refuse = |reason, retry_after_ms| Refusal {
            reason,
            may_have_run: false,
            retry_after_ms,
        };
        let wait = Some(START_RETRY_MS);
        let catalog: &Catalog = match &self.catalog {
            Some(catalog) => catalog,
            None => return Err(refuse(RefusalReason::NoCatalog, wait)),
        };
        if self.refuses_new(now) {
            return Err(refuse(RefusalReason::Stopping, Some(Millis::ZERO)));
        }
        if !self.keys_are_fresh(now) || self.has_outdated_catalog() {
            return Err(refuse(RefusalReason::KnowledgeTooOld, wait));
        }
        let may_be_outdated = self.may_miss_changes(now);
        let denied = |reason| {
            if may_be_outdated {
                refuse(RefusalReason::KnowledgeTooOld, wait)
            } else {
                refuse(reason, None)
            }
        };
        let no_route = || denied(RefusalReason::NoRoute);
        let route = catalog.route(&call.host, &call.path).ok_or_else(no_route)?;
        let key = call.key.as_ref();
        let holder = key.and_then(|key| catalog.holder(key)).cloned();
        if catalog.needs_keys() && !route.is_public && holder.is_none() {
            return Err(denied(RefusalReason::WrongKey));
        }
        let target = route.target(&call.request_id);
        let service = target.and_then(|target| catalog.service(&target.service));
        let service = service.ok_or_else(no_route)?;
        Ok(Admitted {
            route: Arc::clone(route),
            service: Arc::clone(service),
            holder,
        })
    }

    /// Refuses a call that is not admitted.
    pub(super) fn refuse_new(
        &self,
        out: &mut Out<'_>,
        call: &Call,
        route: Option<&Route>,
        refusal: Refusal,
    ) {
        out.log(DispatchRecord::Refused {
            request: Arc::clone(&call.request_id),
            route: route.map(|route| route.name.clone()),
            class: route.map(|route| route.kind.name()),
            reason: refusal.reason,
            fingerprint: None,
            may_have_run: false,
            retry_after_ms: refusal.retry_after_ms,
            tries_count: 0,
            usable_len: 0,
            catalog: self.catalog.as_ref().map(|c| c.version()),
            knowledge_ms: self.knowledge_ms(out.now),
            store: self.operators.position(),
            age_ms: call.age_ms,
        });
        out.act(DispatchAction::Refuse {
            call: call.id,
            refusal,
        });
    }

    /// `Retry-After` for a call that is refused for this reason; none if a retry would not help.
    pub(super) fn retry_after_ms(
        &self,
        now: Time,
        open: &OpenCall,
        reason: RefusalReason,
    ) -> Option<Millis> {
        match reason {
            RefusalReason::NoCapacity => Some(
                self.capacity_retry_after_ms(now, open)
                    .max(self.share_wait_ms(now, open)),
            ),
            RefusalReason::NoCatalog | RefusalReason::KnowledgeTooOld => Some(START_RETRY_MS),
            RefusalReason::Stopping => Some(Millis::ZERO),
            RefusalReason::UpstreamsRefused => {
                let hold_ms = self.hold_left_ms(now, open);
                Some(hold_ms.map_or(DEFAULT_RETRY_AFTER_MS, |ms| ms.max(DEFAULT_RETRY_AFTER_MS)))
            }
            RefusalReason::NoUpstream => Some(DEFAULT_RETRY_AFTER_MS),
            RefusalReason::Quarantined => {
                self.quarantine.trial_wait_ms(now, &open.call.fingerprints)
            }
            _ => None,
        }
    }
}

/// The fingerprint of a request: its content, by the workspace of its caller. Callers with keys of one
/// workspace count as one.
fn request_fingerprint(call: &Call, holder: Option<&KeyHolder>) -> Fingerprint {
    let workspace = holder.map_or("", |holder| holder.workspace.as_str());
    Fingerprint::of_fields(&[workspace.as_bytes(), &call.content.get().to_le_bytes()])
}
