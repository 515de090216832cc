//! Learned speeds of upstreams: samples from answers, and reports to and from peers.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    DispatchRecord, ExtensionMessage,
};
use crate::{
    catalog::EngineProfile,
    fleet::Upstream,
    ids::{CallId, UpstreamId, VmId},
    speed::{SlowdownRatio, SpeedReport, SpeedSample},
    units::Time,
};
use std::borrow::Cow;

impl Dispatcher {
    /// Takes a sample of an engine's speed from the first event of an answer, which has a prediction.
    pub(super) fn sample_engine(&mut self, out: &mut Out<'_>, call: CallId) {
        let sample = self.calls.get(&call).and_then(|open| {
            let sending = open.sending.as_ref()?;
            let expected_ms = sending.expected_ms?;
            self.sample(out.now, open, sending, expected_ms)
        });
        self.add_sample(out, sample);
    }

    /// Takes a sample of a plain upstream's speed from a complete answer.
    pub(super) fn sample_plain(&mut self, out: &mut Out<'_>, call: CallId, sending: &Sending) {
        let sample = self.calls.get(&call).and_then(|open| {
            let is_plain = open.service.engine.is_none();
            let target_ms = open.route.target_latency_ms.get() as f64;
            is_plain
                .then(|| self.sample(out.now, open, sending, target_ms))
                .flatten()
        });
        self.add_sample(out, sample);
    }

    fn sample(
        &self,
        now: Time,
        open: &OpenCall,
        sending: &Sending,
        expected_ms: f64,
    ) -> Option<SpeedSample> {
        let known = self.fleet.get(&sending.upstream)?;
        // A prompt that several engines prefill says little about one of them.
        sending.helpers.is_empty().then(|| SpeedSample {
            upstream: known.record.incarnation(),
            is_engine: open.service.engine.is_some(),
            observed_ms: now.since(sending.sent_at).get() as f64,
            expected_ms,
        })
    }

    fn add_sample(&mut self, out: &mut Out<'_>, sample: Option<SpeedSample>) {
        let Some(sample) = sample else { return };
        if let Some(slowdown) = self.speeds.on_sample(out.now, &sample) {
            out.log(DispatchRecord::UpstreamSpeed {
                upstream: sample.upstream.id,
                slowdown,
                observed_ms: sample.observed_ms as u64,
                expected_ms: sample.expected_ms as u64,
            });
        }
    }

    /// Tells peers what was learned since the last batch.
    pub(super) fn report_speeds(&mut self, out: &mut Out<'_>) {
        let reports = self.speeds.take_reports();
        if !reports.is_empty() && !self.peers.is_empty() {
            self.notify_extension(out, &ExtensionMessage::UpstreamSpeeds(reports));
        }
    }

    /// Handles what a peer learned.
    pub(super) fn on_peer_speeds(&mut self, out: &mut Out<'_>, vm: &VmId, reports: &[SpeedReport]) {
        if !self.speeds.on_report(out.now, reports) {
            out.log(DispatchRecord::ExtensionDropped {
                member: Some(vm.clone()),
                error: "reports of upstream speeds are out of range: check the sender's build"
                    .to_owned(),
            });
        }
    }

    /// How much slower an upstream is than expected.
    pub(super) fn slowdown(
        &self,
        now: Time,
        open: &OpenCall,
        upstream: &Upstream,
    ) -> SlowdownRatio {
        let id = &upstream.record.id;
        if open.service.engine.is_some() {
            return self.speeds.engine_slowdown(now, id);
        }
        let service = self.fleet.usable(&open.service.name);
        let ids = service.map(|upstream| &upstream.record.id);
        self.speeds.plain_slowdown(now, id, ids)
    }

    /// The profile of an engine at its learned speed.
    pub(super) fn profile_at_speed<'a>(
        &self,
        now: Time,
        upstream: &UpstreamId,
        profile: &'a EngineProfile,
    ) -> Cow<'a, EngineProfile> {
        let slowdown = self.speeds.engine_slowdown(now, upstream);
        if slowdown.is_slow() {
            Cow::Owned(slowdown.apply(profile))
        } else {
            Cow::Borrowed(profile)
        }
    }
}
