//! What is known of prompt prefixes that upstreams still hold: learned from sends, first events and ends, shared
//! with peers, and used in the choice of an engine.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    in_flight::OWN_DAEMON_INDEX,
    DispatchAction, DispatchMessage, DispatchRecord, ExtensionFrame, ExtensionKind,
    ExtensionMessage, InFlightId,
};
use crate::{
    engine::EngineLoad,
    fleet::{Upstream, UpstreamIncarnation},
    ids::{CallId, SendId, ServiceName, UpstreamId, VmId},
    prefix::{CachedPrefix, DaemonSend, PrefixPlace, PrefixReport, PrefixRequest},
    units::{Millis, Time, Tokens},
};
use std::sync::Arc;

/// Why an upstream is no longer believed to hold prefixes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PrefixLoss {
    /// Its process ended or was replaced.
    Gone,
    /// A request that it ran broke off, perhaps for lack of memory.
    BrokenOff,
}

impl PrefixLoss {
    const fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::BrokenOff => "broken_off",
        }
    }
}

const fn own_send(send: SendId) -> DaemonSend {
    DaemonSend {
        daemon_index: OWN_DAEMON_INDEX,
        send,
    }
}

/// The place of a request at an upstream with this load.
fn place<'a>(
    open: &OpenCall,
    upstream: &'a Upstream,
    load: &EngineLoad,
) -> Option<PrefixPlace<'a>> {
    let (profile, size) = (open.service.engine.as_ref()?, open.call.prompt?);
    let free_tokens = load.free_tokens(profile);
    Some(PrefixPlace {
        service: &upstream.record.service,
        upstream: &upstream.record.id,
        started_unix_ms: upstream.record.started_unix_ms,
        free_tokens: free_tokens.saturating_sub(size.prompt_tokens + size.output_tokens),
    })
}

fn request(open: &OpenCall) -> Option<PrefixRequest<'_>> {
    Some(PrefixRequest {
        profile: open.service.engine.as_ref()?,
        prefix: &open.call.prefix,
        prompt_tokens: open.call.prompt?.prompt_tokens,
    })
}

impl Dispatcher {
    /// What an upstream is believed to hold of a call's prompt.
    pub(super) fn cached_prefix(
        &self,
        now: Time,
        open: &OpenCall,
        upstream: &Upstream,
        load: &EngineLoad,
    ) -> CachedPrefix {
        if !self.prefixes.is_on() || open.call.prefix.parts().is_empty() {
            return CachedPrefix::default();
        }
        let (place, request) = (place(open, upstream, load), request(open));
        let known = place.zip(request);
        known.map_or_else(CachedPrefix::default, |(place, request)| {
            self.prefixes.lookup(now, &place, &request)
        })
    }

    /// Records that a call is sent to an upstream, before it counts among the requests in flight. Returns the
    /// expected number of tokens that the upstream holds.
    pub(super) fn record_prefix_sent(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        send: SendId,
        upstream: &UpstreamId,
        predicted_ms: Option<f64>,
    ) -> Tokens {
        let (Some(open), Some(known)) = (self.calls.get(&call), self.fleet.get(upstream)) else {
            return Tokens::ZERO;
        };
        let (true, Some(request)) = (self.prefixes.is_on(), request(open)) else {
            return Tokens::ZERO;
        };
        if request.prefix.parts().is_empty() {
            return Tokens::ZERO;
        }
        let load = self
            .in_flight
            .engine_load(out.now, upstream, request.profile);
        let Some(place) = place(open, known, &load) else {
            return Tokens::ZERO;
        };
        let id = own_send(send);
        let believed = self
            .prefixes
            .on_sent(out.now, id, &place, &request, predicted_ms);
        out.log(DispatchRecord::PrefixUsed {
            request: Arc::clone(&open.call.request_id),
            send,
            upstream: upstream.clone(),
            prefix_tokens: request.prefix.tokens(),
            held_tokens: believed.tokens,
            probability_percent: (believed.probability_ratio * 100.0) as u32,
            saved_ms: Millis::new(believed.expected_ms() as u64),
        });
        believed.expected_tokens()
    }

    /// Compares the first event of a call with what its upstream was believed to hold.
    pub(super) fn check_prefix(&mut self, out: &mut Out<'_>, call: CallId, send: SendId) {
        let Some(verdict) = self.prefixes.on_first_event(out.now, own_send(send)) else {
            return;
        };
        out.log(DispatchRecord::PrefixChecked {
            request: self.request_id(call),
            send,
            is_hit: verdict.is_hit,
            held_tokens: verdict.tokens,
            dropped_tokens: verdict.dropped_tokens,
        });
    }

    /// Records the end of an own transmission.
    pub(super) fn record_prefix_end(&mut self, now: Time, send: SendId) {
        self.prefixes.on_end(now, own_send(send));
    }

    /// Drops what an upstream was believed to hold.
    pub(super) fn forget_prefixes(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamId,
        loss: PrefixLoss,
    ) {
        let dropped_tokens = match loss {
            PrefixLoss::Gone => self.prefixes.forget(upstream),
            PrefixLoss::BrokenOff => self.prefixes.forget_kept(out.now, upstream),
        };
        if dropped_tokens > Tokens::ZERO {
            out.log(DispatchRecord::PrefixesDropped {
                upstream: upstream.clone(),
                reason: loss.name(),
                dropped_tokens,
            });
        }
    }

    /// Reports what upstreams got since the last report, if that is due. If all peers read such reports, they go
    /// with the next batch, as they tell how long the prefills in it take.
    pub(super) fn report_prefixes(&mut self, out: &mut Out<'_>, is_batch_due: bool) {
        let kind = ExtensionKind::CACHED_PREFIXES;
        let is_early = is_batch_due && self.extension_peers.all_read(self.peers.keys(), kind);
        let reports = self.prefixes.take_due(out.now, is_early);
        if !reports.is_empty() {
            self.notify_extension(out, &ExtensionMessage::CachedPrefixes(reports));
        }
    }

    /// Tells a peer that reads such reports what this daemon knows.
    pub(super) fn report_prefixes_to(&self, out: &mut Out<'_>, vm: &VmId) {
        let reports = self.prefixes.snapshot(out.now, OWN_DAEMON_INDEX);
        if reports.is_empty() {
            return;
        }
        match ExtensionFrame::try_from(&ExtensionMessage::CachedPrefixes(reports)) {
            Ok(frame) => out.act(DispatchAction::Notify {
                to: Some(vm.clone()),
                message: DispatchMessage::Extension(frame),
            }),
            Err(error) => out.log(DispatchRecord::ExtensionDropped {
                member: None,
                error: error.to_string(),
            }),
        }
    }

    /// Handles a peer's report.
    pub(super) fn on_peer_prefixes(&mut self, now: Time, vm: &VmId, reports: Vec<PrefixReport>) {
        let Some(index) = self.peers.get(vm).copied() else {
            return;
        };
        if !self.prefixes.is_on() {
            return;
        }
        for report in &reports {
            if let Some(send) = report.send {
                let id = InFlightId::new(index, send);
                self.in_flight.set_cached(id, report.cached_tokens);
            }
        }
        let Self {
            prefixes,
            in_flight,
            fleet,
            catalog,
            ..
        } = self;
        let place_of = |upstream: &UpstreamIncarnation| -> Option<(ServiceName, Tokens)> {
            let known = fleet.get(&upstream.id)?;
            let service = &known.record.service;
            let catalog = catalog.as_ref()?;
            let profile = catalog.service(service)?.engine.as_ref()?;
            let load = in_flight.engine_load(now, &upstream.id, profile);
            fleet
                .is_current(upstream)
                .then(|| (service.clone(), load.free_tokens(profile)))
        };
        let is_in_flight = |send| in_flight.upstream(index, send).is_some();
        prefixes.on_reports(now, index, reports, place_of, is_in_flight);
    }
}
