//! Orders of owners and their execution.

use super::{batch::Batch, errors::CallRefusal, segment::Segment, serve::Shared};
use persimmon_core::{
    ids::{FencingNumber, ModelVersion, RequestId},
    units::{KvBytes, Time, Tokens},
    upstream::OrderKind,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{cmp::Ordering, net::SocketAddr, sync::Arc, thread, time::Duration};

/// Bytes of one request to the weight store.
const WEIGHTS_CHUNK_BYTES: u64 = 256 << 20;
/// Delay before a failed request to the weight store is retried.
const WEIGHTS_RETRY: Duration = Duration::from_millis(200);
/// Interval at which an order polls whether its segment is ready.
const ORDER_POLL: Duration = Duration::from_millis(2);
/// Time-out of a call between stand-ins, in seconds.
const CALL_TIMEOUT_S: u64 = 10;

/// Body of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrderBody {
    pub(crate) fencing: FencingNumber,
    pub(crate) kind: OrderKind,
}

#[derive(Debug, Deserialize)]
struct WeightsWait {
    retry_after_ms: u64,
}

/// Executes an order. Blocks until segments and imports are complete.
pub(crate) fn execute_order(shared: &Arc<Shared>, order: OrderBody) -> Result<(), CallRefusal> {
    shared.batch().check_fencing(order.fencing)?;
    match order.kind {
        OrderKind::Cancel { request } => shared.batch().cancel(request),
        OrderKind::LoadModel {
            model,
            weights_bytes,
        } => load_model(shared, model, weights_bytes),
        OrderKind::UnloadModel { model } => {
            shared.batch().models.remove(&model);
        }
        OrderKind::LoadAdapter { model, adapter } => {
            let mut batch = shared.batch();
            let adapters = batch.models.get_mut(&model);
            adapters.ok_or(CallRefusal::ModelNotLoaded)?.insert(adapter);
        }
        OrderKind::SetRole { role } => shared.batch().role = role,
        OrderKind::PrefillSegment {
            request,
            from_tokens,
            to_tokens,
        } => prefill_segment(shared, request, from_tokens, to_tokens)?,
        OrderKind::ImportKv {
            request,
            source,
            from_tokens,
            to_tokens,
        } => import_kv(shared, request, source, (from_tokens, to_tokens))?,
    }
    Ok(())
}

fn load_model(shared: &Arc<Shared>, model: ModelVersion, weights_bytes: u64) {
    let mut batch = shared.batch();
    if batch.models.contains_key(&model) || !batch.loading.insert(model.clone()) {
        return;
    }
    let incarnation = batch.incarnation;
    let weights = batch.settings.weights_address;
    drop(batch);
    let shared = shared.clone();
    thread::spawn(move || {
        if let Some(address) = weights {
            download_weights(&shared, address, weights_bytes);
        }
        let mut batch = shared.batch();
        if batch.incarnation == incarnation && batch.loading.remove(&model) {
            batch.models.entry(model).or_default();
        }
    });
}

fn download_weights(shared: &Shared, address: SocketAddr, weights_bytes: u64) {
    let mut left = weights_bytes;
    while left > 0 && !shared.is_stopped() {
        let bytes = left.min(WEIGHTS_CHUNK_BYTES);
        let answer = minreq::post(format!("http://{address}/weights/take"))
            .with_header("Connection", "close")
            .with_body(json!({"bytes": bytes}).to_string())
            .with_timeout(CALL_TIMEOUT_S)
            .send();
        let answer = answer.ok();
        if answer.as_ref().is_some_and(|a| a.status_code == 200) {
            left -= bytes;
            continue;
        }
        let wait = answer.and_then(|a| serde_json::from_slice::<WeightsWait>(a.as_bytes()).ok());
        thread::sleep(wait.map_or(WEIGHTS_RETRY, |w| Duration::from_millis(w.retry_after_ms)));
    }
}

fn prefill_segment(
    shared: &Shared,
    request: RequestId,
    from_tokens: Tokens,
    to_tokens: Tokens,
) -> Result<(), CallRefusal> {
    let now = shared.now();
    shared
        .batch()
        .add_segment(now, request, from_tokens, to_tokens)?;
    while !shared.is_stopped() {
        match shared
            .batch()
            .segment_ready(&request, from_tokens, to_tokens)
        {
            None => return Err(CallRefusal::NotReady),
            Some(true) => return Ok(()),
            Some(false) => {}
        }
        thread::sleep(ORDER_POLL);
    }
    Err(CallRefusal::NotReady)
}

fn import_kv(
    shared: &Shared,
    request: RequestId,
    source: SocketAddr,
    (from_tokens, to_tokens): (Tokens, Tokens),
) -> Result<(), CallRefusal> {
    let (from, to) = (from_tokens.get(), to_tokens.get());
    let url = format!("http://{source}/control/kv/{request}?from={from}&to={to}");
    let answer = minreq::get(url)
        .with_header("Connection", "close")
        .with_timeout(CALL_TIMEOUT_S)
        .send()
        .map_err(|_| CallRefusal::SourceFailed)?;
    let expected = exported_kv(request, from_tokens, to_tokens);
    if answer.status_code != 200 || answer.as_bytes() != expected {
        return Err(CallRefusal::SourceFailed);
    }
    let rate = shared.batch().settings.import_tokens_per_s;
    thread::sleep(
        rate.time_for(to_tokens.saturating_sub(from_tokens))
            .duration(),
    );
    shared.batch().add_import(request, from_tokens, to_tokens);
    Ok(())
}

/// Returns the bytes that represent a segment's KV data.
pub(crate) fn exported_kv(request: RequestId, from_tokens: Tokens, to_tokens: Tokens) -> Vec<u8> {
    format!("kv {request} {from_tokens} {to_tokens}").into_bytes()
}

impl Batch {
    /// Adds a segment to prefill, unless the segment exists already.
    fn add_segment(
        &mut self,
        now: Time,
        request: RequestId,
        from_tokens: Tokens,
        to_tokens: Tokens,
    ) -> Result<(), CallRefusal> {
        if !self.settings.can_group || from_tokens.cmp(&to_tokens) != Ordering::Less {
            return Err(CallRefusal::CannotGroup);
        }
        if self
            .segment_ready(&request, from_tokens, to_tokens)
            .is_some()
        {
            return Ok(());
        }
        let tokens = to_tokens.saturating_sub(from_tokens);
        let kv = tokens.kv_bytes(self.settings.kv_bytes_per_token);
        if !self.memory.reserve(kv, now, &mut self.log) {
            return Err(CallRefusal::NoMemory);
        }
        self.segments.entry(request).or_default().push(Segment {
            from_tokens,
            to_tokens,
            kv,
            to_prefill_tokens: tokens.get() as f64,
        });
        Ok(())
    }

    /// Records a segment that was imported from another engine.
    fn add_import(&mut self, request: RequestId, from_tokens: Tokens, to_tokens: Tokens) {
        if self
            .segment_ready(&request, from_tokens, to_tokens)
            .is_some()
        {
            return;
        }
        self.segments.entry(request).or_default().push(Segment {
            from_tokens,
            to_tokens,
            kv: KvBytes::ZERO,
            to_prefill_tokens: 0.0,
        });
    }

    fn segment_ready(
        &self,
        request: &RequestId,
        from_tokens: Tokens,
        to_tokens: Tokens,
    ) -> Option<bool> {
        let mut segments = self.segments.get(request)?.iter();
        let found = segments.find(|segment| segment.has_range(from_tokens, to_tokens));
        found.map(Segment::ready)
    }

    /// Exports a segment that is ready.
    pub(crate) fn export(
        &self,
        request: RequestId,
        from_tokens: Tokens,
        to_tokens: Tokens,
    ) -> Result<Vec<u8>, CallRefusal> {
        if !self.settings.can_group {
            return Err(CallRefusal::CannotGroup);
        }
        let segments = self.segments.get(&request).map_or(&[][..], Vec::as_slice);
        let held = segments
            .iter()
            .any(|segment| segment.contains(from_tokens, to_tokens));
        match held {
            true => Ok(exported_kv(request, from_tokens, to_tokens)),
            false => Err(CallRefusal::NotReady),
        }
    }
}
