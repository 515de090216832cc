//! Request specifications.

use persimmon_core::{
    ids::{BodyHash, RequestId},
    request::{CallTarget, ModelCall, RequestSpec, ServiceCall},
    units::{Millis, Tokens},
};

pub fn id(number: u128) -> RequestId {
    RequestId::new(number)
}

pub fn model_call(number: u128, output_tokens: u64, timeout_ms: u64) -> RequestSpec {
    let target = CallTarget::Model(ModelCall {
        model: "m".parse().expect("model"),
        adapter: None,
        prompt_tokens: Tokens::new(1_000),
        max_output_tokens: Tokens::new(output_tokens),
        prefix_blocks: Vec::new(),
        stream: true,
    });
    spec(number, target, timeout_ms)
}

/// A call of a service; `key` is empty for a call without one.
pub fn service_call(number: u128, key: &str, body: u64, timeout_ms: u64) -> RequestSpec {
    let target = CallTarget::Service(ServiceCall {
        service: "orders".parse().expect("service"),
        idempotent: false,
        key: (!key.is_empty()).then(|| key.parse().expect("key")),
        body_hash: BodyHash::new(body),
    });
    spec(number, target, timeout_ms)
}

fn spec(number: u128, target: CallTarget, timeout_ms: u64) -> RequestSpec {
    RequestSpec {
        id: id(number),
        workspace: "w".parse().expect("workspace"),
        target,
        timeout_ms: Millis::new(timeout_ms),
    }
}
