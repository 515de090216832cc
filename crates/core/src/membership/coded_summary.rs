//! Summaries coded in few bytes.

use crate::{
    config::Configuration,
    message::{ModelCapacity, OwnerSummary, QuantizedSummary},
    units::{KvBytes, Millis, Tokens},
};
use xxhash_rust::xxh3::xxh3_64;

/// Bits that KV memory is shifted by, so that its figure fits the code.
const KV_SHIFT_BITS: u32 = 10;

/// Bits kept below a figure's highest one.
const FRACTION_BITS: u32 = 3;

/// Highest bit of the largest figure that has a code.
const TOP_BIT: u32 = 33;

/// Codes a summary.
pub(super) fn code(summary: &OwnerSummary) -> QuantizedSummary {
    let models = summary.models.iter().map(|(version, capacity)| {
        let figures = [
            u64::from(capacity.engines),
            u64::from(capacity.free_requests),
            capacity.free_kv_bytes.get() >> KV_SHIFT_BITS,
            capacity.max_prompt_tokens.get(),
            capacity.short_wait_ms.get(),
            capacity.long_wait_ms.get(),
        ];
        (key(&version.to_string()), figures.map(coarse))
    });
    let services = summary.services.iter();
    QuantizedSummary {
        models: models.collect(),
        services: services.map(|(s, free)| (key(s.as_str()), *free)).collect(),
        busy: [summary.short_busy_permille, summary.long_busy_permille].map(|b| coarse(b.into())),
    }
}

/// The summary behind a code, as far as the configuration names what it speaks of.
pub(super) fn decode(coded: &QuantizedSummary, config: &Configuration) -> OwnerSummary {
    let models = coded.models.iter().filter_map(|(hash, codes)| {
        let versions = config
            .models
            .keys()
            .map(|version| (version.to_string(), version));
        let version = only(versions, *hash)?;
        Some((version.clone(), capacity(codes.map(value))))
    });
    let services = coded.services.iter().filter_map(|(hash, free)| {
        let names = config.services.keys();
        let service = only(names.map(|name| (name.to_string(), name)), *hash)?;
        Some((service.clone(), *free))
    });
    let [short_busy, long_busy] = coded.busy.map(|code| narrow(value(code)));
    OwnerSummary {
        models: models.collect(),
        services: services.collect(),
        short_busy_permille: short_busy,
        long_busy_permille: long_busy,
    }
}

/// The one entry with this hash; none where two share it.
fn only<T>(mut named: impl Iterator<Item = (String, T)>, hash: u16) -> Option<T> {
    let found = named.find(|(name, _)| key(name) == hash)?;
    let unique = !named.any(|(name, _)| key(&name) == hash);
    unique.then_some(found.1)
}

fn capacity(figures: [u64; 6]) -> ModelCapacity {
    let [engines, free_requests, free_kv, max_prompt, short_wait, long_wait] = figures;
    ModelCapacity {
        engines: narrow(engines),
        free_requests: narrow(free_requests),
        free_kv_bytes: KvBytes::new(free_kv << KV_SHIFT_BITS),
        max_prompt_tokens: Tokens::new(max_prompt),
        short_wait_ms: Millis::new(short_wait),
        long_wait_ms: Millis::new(long_wait),
    }
}

fn narrow(figure: u64) -> u32 {
    figure.try_into().unwrap_or(u32::MAX)
}

fn key(name: &str) -> u16 {
    xxh3_64(name.as_bytes()) as u16
}

/// A figure rounded down to its highest four bits, as one byte.
fn coarse(figure: u64) -> u8 {
    let figure = figure.min((1 << (TOP_BIT + 1)) - 1);
    let Some(top) = figure.checked_ilog2().filter(|top| *top >= FRACTION_BITS) else {
        return figure as u8;
    };
    let fraction = (figure >> (top - FRACTION_BITS)) & ((1 << FRACTION_BITS) - 1);
    ((u64::from(top - FRACTION_BITS + 1) << FRACTION_BITS) | fraction) as u8
}

/// The figure of a code.
fn value(code: u8) -> u64 {
    let (steps, fraction) = (code >> FRACTION_BITS, u64::from(code & 7));
    match steps {
        0 => fraction,
        _ => ((1 << FRACTION_BITS) | fraction) << (steps - 1),
    }
}
