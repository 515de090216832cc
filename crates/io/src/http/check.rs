//! Parses and validates callers' requests.

use super::{
    AnswerFormat, CheckedCall, HttpLimits, ModelPayload, Payload, RawCall, RequestError,
    ServicePayload,
};
use persimmon_core::{
    ids::{AdapterName, BodyHash, IdempotencyKey, ModelName, RequestId, ServiceName, WorkspaceId},
    request::{
        count_tokens, prefix_blocks, CallTarget, ModelCall, RequestSpec, ServiceCall, BLOCK_TOKENS,
    },
    units::{Millis, Tokens},
};
use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

const WORKSPACE_HEADER: &str = "X-Workspace";
const TIMEOUT_HEADER: &str = "X-Request-Timeout-Ms";
const KEY_HEADER: &str = "Idempotency-Key";
const CONTENT_TYPE_HEADER: &str = "Content-Type";

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ChatMessage {
    /// Role of the author of the message.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: Option<ModelName>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    adapter: Option<AdapterName>,
}

/// Renders a chat as one prompt, with a line `role: content` for each message.
pub fn chat_prompt(messages: &[ChatMessage]) -> String {
    let line = |m: &ChatMessage| format!("{}: {}", m.role, m.content);
    messages.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl TryFrom<(RequestId, &RawCall, &HttpLimits)> for CheckedCall {
    type Error = RequestError;

    fn try_from(
        (id, raw, limits): (RequestId, &RawCall, &HttpLimits),
    ) -> Result<Self, RequestError> {
        let timeout_ms = timeout(raw, limits)?;
        let workspace = workspace(raw)?;
        let (target, payload) = match raw.path() {
            "/v1/chat/completions" => model_call(raw, limits, &workspace, AnswerFormat::Chat)?,
            "/v1/completions" => model_call(raw, limits, &workspace, AnswerFormat::Text)?,
            _ => service_call(raw)?,
        };
        let spec = RequestSpec {
            id,
            workspace,
            target,
            timeout_ms,
        };
        Ok(Self { spec, payload })
    }
}

/// Checks what the head of a call tells, before its body is received.
///
/// # Errors
///
/// Names the header, the path or the method that is wrong.
pub(super) fn head(raw: &RawCall, limits: &HttpLimits) -> Result<(), RequestError> {
    timeout(raw, limits)?;
    workspace(raw)?;
    match raw.path() {
        "/v1/chat/completions" | "/v1/completions" => check_post(raw),
        _ => service_call(raw).map(drop),
    }
}

fn timeout(raw: &RawCall, limits: &HttpLimits) -> Result<Millis, RequestError> {
    let Some(text) = raw.header(TIMEOUT_HEADER) else {
        return Ok(limits.default_timeout_ms);
    };
    let timeout: Millis = text
        .trim()
        .parse()
        .map_err(|error| RequestError::invalid_unit(TIMEOUT_HEADER, &error))?;
    let max = limits.max_timeout_ms;
    if timeout == Millis::ZERO || timeout > max {
        return Err(RequestError::TimeoutOutOfRange { timeout, max });
    }
    Ok(timeout)
}

fn workspace(raw: &RawCall) -> Result<WorkspaceId, RequestError> {
    let text = raw
        .header(WORKSPACE_HEADER)
        .ok_or(RequestError::MissingHeader {
            name: WORKSPACE_HEADER,
        })?;
    text.parse()
        .map_err(|error| RequestError::invalid_header(WORKSPACE_HEADER, error))
}

fn model_call(
    raw: &RawCall,
    limits: &HttpLimits,
    workspace: &WorkspaceId,
    format: AnswerFormat,
) -> Result<(CallTarget, Payload), RequestError> {
    check_post(raw)?;
    let body: CompletionBody =
        serde_json::from_slice(&raw.body).map_err(|error| RequestError::InvalidJson {
            reason: error.to_string(),
        })?;
    let prompt = prompt(&body, format)?;
    let max_output_tokens = body.max_tokens.unwrap_or(limits.default_output_tokens);
    if max_output_tokens == Tokens::ZERO {
        return Err(RequestError::ZeroMaxTokens);
    }
    let model = body.model.ok_or(RequestError::MissingModel)?;
    let call = ModelCall {
        model: model.clone(),
        adapter: body.adapter.clone(),
        prompt_tokens: count_tokens(&prompt),
        max_output_tokens,
        prefix_blocks: prefix_blocks(workspace, &prompt, BLOCK_TOKENS),
        stream: body.stream,
    };
    let payload = ModelPayload {
        model,
        adapter: body.adapter,
        prompt: prompt.into(),
        max_output_tokens,
        format,
        stream: body.stream,
    };
    Ok((CallTarget::Model(call), Payload::Model(payload)))
}

fn prompt(body: &CompletionBody, format: AnswerFormat) -> Result<String, RequestError> {
    let (field, prompt) = match format {
        AnswerFormat::Chat => ("messages", body.messages.as_deref().map(chat_prompt)),
        AnswerFormat::Text => ("prompt", body.prompt.clone()),
    };
    let prompt = prompt.filter(|prompt| count_tokens(prompt) > Tokens::ZERO);
    prompt.ok_or(RequestError::MissingPrompt { field })
}

/// A plain service call from a path `/services/<name>/...`.
fn service_call(raw: &RawCall) -> Result<(CallTarget, Payload), RequestError> {
    if raw.target.contains(|c: char| c.is_control() || c == ' ') {
        return Err(RequestError::InvalidPath);
    }
    let unknown = || RequestError::UnknownPath {
        path: raw.path().into(),
    };
    let rest = raw
        .target
        .strip_prefix(SERVICES_PREFIX)
        .ok_or_else(unknown)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service: ServiceName = name.parse()?;
    let path = match path.starts_with('/') {
        true => path.to_owned(),
        false => format!("/{path}"),
    };
    let key = idempotency_key(raw)?;
    let idempotent = key.is_none() && is_idempotent(&raw.method);
    let call = ServiceCall {
        service,
        idempotent,
        key: key.clone(),
        body_hash: body_hash(raw, &path),
    };
    let payload = ServicePayload {
        method: raw.method.clone(),
        path,
        content_type: content_type(raw)?,
        key,
        body: raw.body.clone(),
    };
    Ok((CallTarget::Service(call), Payload::Service(payload)))
}

fn idempotency_key(raw: &RawCall) -> Result<Option<IdempotencyKey>, RequestError> {
    let parsed = raw.header(KEY_HEADER).map(str::parse).transpose();
    parsed.map_err(|error| RequestError::invalid_header(KEY_HEADER, error))
}

fn content_type(raw: &RawCall) -> Result<Option<String>, RequestError> {
    match raw.header(CONTENT_TYPE_HEADER) {
        Some(value) if value.contains(|c: char| c.is_control()) => {
            Err(RequestError::invalid_header(
                CONTENT_TYPE_HEADER,
                "it holds a control character: leave it out",
            ))
        }
        value => Ok(value.map(str::to_owned)),
    }
}

fn is_idempotent(method: &str) -> bool {
    matches!(method, "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT")
}

/// Hash of method, path and body. Method and path are preceded by their lengths, so that the same
/// bytes split in another way have another hash.
fn body_hash(raw: &RawCall, path: &str) -> BodyHash {
    let mut hash = Xxh3::new();
    for part in [raw.method.as_bytes(), path.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&raw.body);
    BodyHash::new(hash.digest())
}

fn check_post(raw: &RawCall) -> Result<(), RequestError> {
    if raw.method == "POST" {
        return Ok(());
    }
    Err(RequestError::MethodNotAllowed {
        path: raw.path().into(),
        method: raw.method.clone(),
        allowed: "POST",
    })
}
