//! Compact encoding of owner summaries: names as 16-bit hashes, figures as one-byte floats.

use crate::{
    config::Configuration,
    message::{CapacitySummary, ModelCapacity, QuantizedSummary},
    units::{KvBytes, Millis, Tokens},
};
use xxhash_rust::xxh3::xxh3_64;

/// Right shift applied to KV memory sizes, so that they fit the range of a code.
const KV_SHIFT_BITS: u32 = 10;

/// Number of bits that a code keeps below the highest set bit.
const FRACTION_BITS: u32 = 3;

/// Highest bit position that a code can represent; larger figures saturate.
const TOP_BIT: u32 = 33;

/// Encodes a summary.
pub(super) fn encode(summary: &CapacitySummary) -> QuantizedSummary {
    let models = summary.models.iter().map(|(version, capacity)| {
        let figures = [
            u64::from(capacity.engines),
            u64::from(capacity.free_requests),
            capacity.free_kv_bytes.get() >> KV_SHIFT_BITS,
            capacity.max_prompt_tokens.get(),
            capacity.short_wait_ms.get(),
            capacity.long_wait_ms.get(),
        ];
        (name_hash(&version.to_string()), figures.map(compress))
    });
    let services = summary.services.iter();
    QuantizedSummary {
        models: models.collect(),
        services: services
            .map(|(s, free)| (name_hash(s.as_str()), *free))
            .collect(),
        busy: [summary.short_busy_permille, summary.long_busy_permille].map(|b| compress(b.into())),
    }
}

/// Decodes a summary. Entries whose hash matches no configured name, or more than one, are left
/// out.
pub(super) fn decode(coded: &QuantizedSummary, config: &Configuration) -> CapacitySummary {
    let models = coded.models.iter().filter_map(|(hash, codes)| {
        let versions = config
            .models
            .keys()
            .map(|version| (version.to_string(), version));
        let version = find_unique(versions, *hash)?;
        Some((version.clone(), decode_capacity(codes.map(decompress))))
    });
    let services = coded.services.iter().filter_map(|(hash, free)| {
        let names = config.services.keys();
        let service = find_unique(names.map(|name| (name.to_string(), name)), *hash)?;
        Some((service.clone(), *free))
    });
    let [short_busy, long_busy] = coded.busy.map(|code| saturate(decompress(code)));
    CapacitySummary {
        models: models.collect(),
        services: services.collect(),
        short_busy_permille: short_busy,
        long_busy_permille: long_busy,
    }
}

/// Returns the entry whose name has this hash, or `None` if no entry or more than one has it.
fn find_unique<T>(mut named: impl Iterator<Item = (String, T)>, hash: u16) -> Option<T> {
    let found = named.find(|(name, _)| name_hash(name) == hash)?;
    let unique = !named.any(|(name, _)| name_hash(&name) == hash);
    unique.then_some(found.1)
}

fn decode_capacity(figures: [u64; 6]) -> ModelCapacity {
    let [engines, free_requests, free_kv, max_prompt, short_wait, long_wait] = figures;
    ModelCapacity {
        engines: saturate(engines),
        free_requests: saturate(free_requests),
        free_kv_bytes: KvBytes::new(free_kv << KV_SHIFT_BITS),
        max_prompt_tokens: Tokens::new(max_prompt),
        short_wait_ms: Millis::new(short_wait),
        long_wait_ms: Millis::new(long_wait),
    }
}

fn saturate(figure: u64) -> u32 {
    figure.try_into().unwrap_or(u32::MAX)
}

fn name_hash(name: &str) -> u16 {
    xxh3_64(name.as_bytes()) as u16
}

/// Encodes a figure, rounded down to its four highest bits, in one byte: exponent and fraction.
fn compress(figure: u64) -> u8 {
    let figure = figure.min((1 << (TOP_BIT + 1)) - 1);
    let Some(top) = figure.checked_ilog2().filter(|top| *top >= FRACTION_BITS) else {
        return figure as u8;
    };
    let fraction = (figure >> (top - FRACTION_BITS)) & ((1 << FRACTION_BITS) - 1);
    ((u64::from(top - FRACTION_BITS + 1) << FRACTION_BITS) | fraction) as u8
}

/// Returns the figure that a code stands for.
fn decompress(code: u8) -> u64 {
    let (steps, fraction) = (code >> FRACTION_BITS, u64::from(code & 7));
    match steps {
        0 => fraction,
        _ => ((1 << FRACTION_BITS) | fraction) << (steps - 1),
    }
}
