//! Finds the owned upstreams that can take a request, and the resources that it requires there.

use super::{
    account::UpstreamAccount, estimates::OutputLengths, owner::Owner,
    priority_level::PriorityLevel, queue::Lane, segments::group_tokens,
    settings::LongPromptPlacement,
};
use crate::{
    config::UpstreamKind,
    context::View,
    ids::UpstreamId,
    message::{GrantDenial, GrantRequest},
    request::{CallTarget, ModelCall},
    units::{KvBytes, Millis, Time, Tokens},
};

/// Expected duration of a call of a plain service, in milliseconds.
const EXPECTED_SERVICE_CALL_MS: u64 = 100;

/// Resources that a request requires at the upstream that takes it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements {
    /// KV memory for the prompt and the longest allowed answer.
    pub(super) kv_bytes: KvBytes,
    /// Tokens to prefill.
    pub(super) prompt_tokens: Tokens,
    /// Prompt tokens that the engine is estimated to have cached.
    pub(super) cached_tokens: Tokens,
    /// Maximum number of tokens to decode.
    pub(super) max_output_tokens: Tokens,
    /// Expected number of tokens to decode.
    pub(super) output_tokens: Tokens,
}

impl Owner {
    /// The owned upstreams that can take a request once they have free capacity, or the reason why
    /// there is none.
    pub(super) fn candidates(
        &self,
        view: &View<'_>,
        request: &GrantRequest,
    ) -> Result<Vec<UpstreamId>, GrantDenial> {
        let mut fitting = Vec::new();
        let mut max_prompt_tokens = None;
        let (mut drained, mut unreported) = (false, false);
        if self.leaving {
            return Err(GrantDenial::NotOwner { better: None });
        }
        for (upstream, account) in &self.accounts {
            if request.avoid.contains(upstream) || !account.accepts_target(&request.spec.target) {
                continue;
            }
            unreported |= account.report.is_none() && request.model.is_some();
            if !account.has_model(request) {
                continue;
            }
            if account.drained_since.is_some() {
                drained = true;
                continue;
            }
            match account.max_prompt(view, request) {
                Some(limit) if prompt_tokens_of(request) > limit => {
                    max_prompt_tokens = max_prompt_tokens.max(Some(limit));
                }
                _ => fitting.push(upstream.clone()),
            }
        }
        if !fitting.is_empty() {
            return self.restrict_long_prompt(view, request, fitting);
        }
        if let Some(max_single_tokens) = max_prompt_tokens {
            return self.group_candidates(view, request, max_single_tokens);
        }
        Err(if drained {
            GrantDenial::Drained
        } else if unreported {
            GrantDenial::Learning {
                retry_after_ms: self.settings.poll_ms,
            }
        } else {
            GrantDenial::NotOwner { better: None }
        })
    }
}

impl Owner {
    /// The engines that can form a group for a prompt that exceeds every single engine's memory.
    fn group_candidates(
        &self,
        view: &View<'_>,
        request: &GrantRequest,
        max_single_tokens: Tokens,
    ) -> Result<Vec<UpstreamId>, GrantDenial> {
        let engines = self.group_engines(request);
        let model = request
            .model
            .as_ref()
            .and_then(|m| view.config.models.get(m));
        let per_token = model.map_or(1, |model| model.kv_bytes_per_token.get().max(1));
        let context = model.map_or(Tokens::ZERO, |model| model.context_tokens);
        let accounts = engines.iter().filter_map(|id| self.accounts.get(id));
        let capacity_tokens = accounts.map(|account| account.kv_total().get() / per_token);
        let max_group_tokens = group_tokens(capacity_tokens.collect()).min(context);
        let total = total_tokens(request);
        if engines.len() > 1 && total <= max_group_tokens {
            return Ok(engines);
        }
        if total <= context {
            if let Some(better) = self.owner_for_group(view, request) {
                let better = Some(better);
                return Err(GrantDenial::NotOwner { better });
            }
        }
        let answer = total.saturating_sub(prompt_tokens_of(request));
        let max_prompt_tokens = max_single_tokens.max(max_group_tokens.saturating_sub(answer));
        Err(GrantDenial::TooLong { max_prompt_tokens })
    }

    /// Whether a request exceeds the KV memory of every candidate.
    pub(super) fn needs_group(&self, required: Requirements, candidates: &[UpstreamId]) -> bool {
        let accounts = candidates.iter().filter_map(|id| self.accounts.get(id));
        let largest = accounts.map(UpstreamAccount::kv_total).max();
        largest.is_some_and(|largest| required.kv_bytes > largest)
    }

    /// Restricts a long prompt to the owned engines that are designated for long prompts. If there
    /// is none, denies the request and names an owner that has one; if no other owner has one
    /// either, every fitting upstream remains a candidate.
    fn restrict_long_prompt(
        &self,
        view: &View<'_>,
        request: &GrantRequest,
        fitting: Vec<UpstreamId>,
    ) -> Result<Vec<UpstreamId>, GrantDenial> {
        let anywhere = self.settings.long_placement == LongPromptPlacement::Anywhere;
        if anywhere || Lane::of(self.class_for(request)) == Lane::Short {
            return Ok(fitting);
        }
        let long = fitting
            .iter()
            .filter(|id| self.long_prompt_engines.contains(id));
        let long: Vec<UpstreamId> = long.cloned().collect();
        if !long.is_empty() {
            return Ok(long);
        }
        match self.owner_for_long_prompt(view, Millis::new(u64::MAX)) {
            Some(better) => Err(GrantDenial::NotOwner {
                better: Some(better),
            }),
            None => Ok(fitting),
        }
    }
}

fn model_call(request: &GrantRequest) -> Option<&ModelCall> {
    match &request.spec.target {
        CallTarget::Model(call) => Some(call),
        CallTarget::Service(_) => None,
    }
}

/// Tokens of the prompt and the longest allowed answer.
pub(super) fn total_tokens(request: &GrantRequest) -> Tokens {
    let call = model_call(request);
    call.map_or(Tokens::ZERO, |call| {
        call.prompt_tokens + call.max_output_tokens
    })
}

fn prompt_tokens_of(request: &GrantRequest) -> Tokens {
    model_call(request).map_or(Tokens::ZERO, |call| call.prompt_tokens)
}

/// The resources that a request requires, according to its model's configuration.
pub(super) fn requirements_of(
    view: &View<'_>,
    output_lengths: &OutputLengths,
    request: &GrantRequest,
) -> Requirements {
    let Some(call) = model_call(request) else {
        return Requirements {
            kv_bytes: KvBytes::ZERO,
            prompt_tokens: Tokens::ZERO,
            cached_tokens: Tokens::ZERO,
            max_output_tokens: Tokens::ZERO,
            output_tokens: Tokens::ZERO,
        };
    };
    let config = request
        .model
        .as_ref()
        .and_then(|m| view.config.models.get(m));
    let per_token = config.map_or(KvBytes::ZERO, |config| config.kv_bytes_per_token);
    let remaining_output_tokens = call.max_output_tokens.saturating_sub(request.offset_tokens);
    Requirements {
        kv_bytes: (call.prompt_tokens + call.max_output_tokens).kv_bytes(per_token),
        prompt_tokens: call.prompt_tokens + request.offset_tokens,
        cached_tokens: Tokens::ZERO,
        max_output_tokens: remaining_output_tokens,
        output_tokens: output_lengths
            .expected_tokens(request.model.as_ref(), remaining_output_tokens),
    }
}

impl UpstreamAccount {
    fn accepts_target(&self, target: &CallTarget) -> bool {
        match (&self.config.kind, target) {
            (UpstreamKind::Engine(_), CallTarget::Model(_)) => true,
            (UpstreamKind::Service(name), CallTarget::Service(call)) => *name == call.service,
            _ => false,
        }
    }

    pub(super) fn has_model(&self, request: &GrantRequest) -> bool {
        let Some(call) = model_call(request) else {
            return true;
        };
        let (Some(model), Some(report)) = (&request.model, &self.report) else {
            return false;
        };
        report.models.get(model).is_some_and(|adapters| {
            call.adapter
                .as_ref()
                .is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// Longest prompt that the upstream takes with the call's longest answer; none for a call of a
    /// plain service.
    fn max_prompt(&self, view: &View<'_>, request: &GrantRequest) -> Option<Tokens> {
        let call = model_call(request)?;
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token.get().max(1);
        let capacity_tokens = Tokens::new(self.kv_total().get() / per_token);
        Some(
            capacity_tokens
                .min(model.context_tokens)
                .saturating_sub(call.max_output_tokens),
        )
    }

    /// Estimated time to first token of a request that is granted at `now`.
    pub(super) fn first_token_estimate(
        &self,
        now: Time,
        level: PriorityLevel,
        prompt_tokens: Tokens,
    ) -> Millis {
        self.backlog.wait_for(now, level) + self.prefill_estimate(prompt_tokens)
    }

    /// Estimated time of a call after its prefill.
    pub(super) fn run_estimate(&self, output_tokens: Tokens) -> Millis {
        match &self.config.kind {
            UpstreamKind::Engine(_) => self.decode_estimate(output_tokens),
            UpstreamKind::Service(_) => Millis::new(EXPECTED_SERVICE_CALL_MS),
        }
    }
}
