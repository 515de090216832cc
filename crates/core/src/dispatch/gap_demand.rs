//! What the choice of an engine takes for the prediction of gaps.

use super::{
    dispatcher::{Dispatcher, OpenCall},
    GapRequest,
};
use crate::{
    catalog::{CallKind, EngineProfile},
    engine::gaps::PromptArrival,
    ids::UpstreamId,
    units::{Time, Tokens},
};

impl Dispatcher {
    /// Counts a prompt that this daemon or a peer sent to an engine.
    pub(super) fn count_prompt(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
    ) {
        let (Some(settings), Some(catalog)) = (self.settings.gaps, &self.catalog) else {
            return;
        };
        let Some(known) = self.fleet.get(upstream) else {
            return;
        };
        let service = &known.record.service;
        let profile = catalog
            .service(service)
            .and_then(|service| service.engine.as_ref());
        let (Some(profile), Some(target_ms)) = (profile, catalog.min_pause_target_ms(service))
        else {
            return;
        };
        if profile.prefill_ms(prompt_tokens) + profile.pass_ms(0.0) > target_ms.get() as f64 {
            return;
        }
        let arrival = PromptArrival {
            prompt_tokens,
            output_tokens,
        };
        let arrivals = self.short_arrivals.entry(service.clone()).or_default();
        arrivals.on_short(now, settings.rate_window_ms, arrival);
    }

    /// What the choice of an engine takes for a call; none if gaps are not predicted.
    pub(super) fn gap_request<'a>(
        &'a self,
        now: Time,
        open: &OpenCall,
        profile: &EngineProfile,
    ) -> Option<GapRequest<'a>> {
        let settings = self.settings.gaps?;
        let CallKind::Streaming {
            pause_target_ms: target_ms,
            ..
        } = open.route.kind
        else {
            return None;
        };
        let arrivals = self.short_arrivals.get(&open.service.name);
        let demand =
            arrivals.map(|arrivals| arrivals.short_demand(now, settings.rate_window_ms, profile));
        let catalog = self.catalog.as_ref()?;
        Some(GapRequest {
            settings,
            target_ms,
            targets_ms: catalog.streaming_targets_ms(&open.service.name),
            demand: demand.unwrap_or_default(),
        })
    }
}
