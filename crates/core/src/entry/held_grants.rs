//! Reports the grants held by this daemon to an owner that takes over an upstream.

use super::{
    open_request::{OpenRequest, Phase, RetainedGrant, RunningAttempt},
    Entry,
};
use crate::{
    config::Configuration,
    context::{Context, View},
    ids::{FencingNumber, UpstreamId},
    message::{GrantMessage, HeldGrant, Member, PeerMessage},
    request::CallTarget,
    units::{KvBytes, Time},
};

impl Entry {
    /// Answers an owner that collects the grants at its upstreams. The owner becomes the owner of
    /// these grants unless a higher fencing number was seen.
    pub(super) fn on_collect(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        upstreams: &[UpstreamId],
        fencing: FencingNumber,
    ) {
        let mut is_new = true;
        for upstream in upstreams {
            is_new &= self.fencing.accept(upstream, fencing);
        }
        let mut grants = Vec::new();
        for request in self.open.values_mut() {
            let held = held(ctx.now, view.config, request, upstreams);
            if held.is_some() && is_new {
                set_owner(request, from);
            }
            grants.extend(held);
        }
        let fencing = self.fencing.highest(upstreams);
        let message = GrantMessage::Held { grants, fencing };
        view.send(ctx, &from.vm, PeerMessage::Grant(message));
    }
}

fn granted_run(request: &OpenRequest) -> Option<&RunningAttempt> {
    match (&request.phase, &request.retained) {
        (Phase::Running(run), _) | (_, Some(RetainedGrant { run, .. })) => Some(run),
        _ => None,
    }
}

fn set_owner(request: &mut OpenRequest, owner: &Member) {
    if let Phase::Running(run) = &mut request.phase {
        run.owner = owner.vm.clone();
    }
    if let Some(retained) = &mut request.retained {
        retained.run.owner = owner.vm.clone();
    }
}

fn held(
    now: Time,
    config: &Configuration,
    request: &OpenRequest,
    upstreams: &[UpstreamId],
) -> Option<HeldGrant> {
    let run = granted_run(request).filter(|run| upstreams.contains(&run.offer.upstream))?;
    Some(HeldGrant {
        attempt: run.attempt,
        spec: request.spec.clone(),
        upstream: run.offer.upstream.clone(),
        model: run.model.clone(),
        kv_bytes: kv_bytes(config, request, run),
        remaining_ms: request.remaining(now),
    })
}

fn kv_bytes(config: &Configuration, request: &OpenRequest, run: &RunningAttempt) -> KvBytes {
    let model = run
        .model
        .as_ref()
        .and_then(|model| config.models.get(model));
    match (&request.spec.target, model) {
        (CallTarget::Model(call), Some(model)) => {
            (call.prompt_tokens + call.max_output_tokens).kv_bytes(model.kv_bytes_per_token)
        }
        _ => KvBytes::ZERO,
    }
}
