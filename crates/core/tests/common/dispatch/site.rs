//! Sites of a replay: kinds of requests, engines, and delays.

use super::{
    catalog, profile,
    replay::{Kind, Phase, KINDS},
    route, streaming, ENGINES,
};
use persimmon_core::{
    catalog::{EngineProfile, RawCatalog},
    units::Tokens,
};

/// A site with its load.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) kinds: [Kind; 3],
    pub(crate) catalog: RawCatalog,
    /// Tokens in one event of a response.
    pub(crate) event_tokens: u64,
    /// Time that a message between daemons takes.
    pub(crate) delay_ms: u64,
    /// Whether the tokens prefilled in a pass are limited, rather than their time.
    pub(crate) reads_by_tokens: bool,
    /// Whether engines execute orders about reservations.
    pub(crate) answers_orders: bool,
}

impl Site {
    /// The first site.
    pub(crate) fn first() -> Self {
        Self {
            kinds: KINDS,
            catalog: catalog(1),
            event_tokens: 51,
            delay_ms: 1,
            reads_by_tokens: false,
            answers_orders: false,
        }
    }

    /// Deployment 2 of `docs/hard-load.md`: its engines and its kinds of requests with a prompt.
    pub(crate) fn hard_load() -> Self {
        let mut catalog = catalog(1);
        catalog.routes = vec![
            route("question", streaming(200), ENGINES, 300, 10_000),
            route("season", streaming(500), ENGINES, 1_500, 10_000),
            route("archive", streaming(800), ENGINES, 4_000, 15_000),
        ];
        catalog.services[0].connections_max_len = 698;
        catalog.services[0].engine = Some(EngineProfile {
            slots_len: 12,
            kv_tokens: Tokens::new(450_000),
            stride_len: 52,
            step_ms: 0.925,
            per_sequence_ms: 0.004,
            per_k_context_ms: 0.0025,
            prefill_tokens_per_ms: 256.0,
            per_m_pairs_ms: 0.0917,
            chunk_tokens: Tokens::new(2_048),
        });
        Self {
            kinds: [
                kind("question", 5_000.0, 24_000.0, 33.0, 300.0, 200.0),
                kind("season", 45_000.0, 110_000.0, 20.0, 1_500.0, 500.0),
                kind("archive", 300_000.0, 1_000_000.0, 16.0, 4_000.0, 800.0),
            ],
            catalog,
            event_tokens: 52,
            delay_ms: 10,
            reads_by_tokens: true,
            answers_orders: true,
        }
    }

    pub(crate) fn profile(&self) -> EngineProfile {
        self.catalog.services[0]
            .engine
            .clone()
            .unwrap_or_else(profile)
    }
}

/// A kind whose credit is its weight in requests without a prompt, a quarter of it if late.
fn kind(name: &'static str, mean: f64, max: f64, events: f64, target: f64, pause: f64) -> Kind {
    let worth = 1.0 + mean / 10_000.0;
    Kind {
        name,
        mean,
        spread: if mean < 10_000.0 { 0.9 } else { 0.5 },
        max,
        // Deadlines of deployment 2: 10 s, and 15 s for archives.
        timeout_ms: if mean > 100_000.0 { 15_000 } else { 10_000 },
        events,
        target,
        pause,
        worth,
        late: worth / 4.0,
    }
}

/// A third of the usual rates of deployment 2, multiplied by `factors`.
pub(crate) fn hard_load_phase(span_ms: u64, factors: [f64; 3]) -> Phase {
    let usual_per_s = [39.0, 3.57, 0.81];
    Phase {
        span_ms,
        per_s: [0, 1, 2].map(|kind| usual_per_s[kind] * factors[kind]),
    }
}

/// Bursts of long and of short prompts that follow each other without a pause.
pub(crate) fn hard_load_bursts() -> Vec<Phase> {
    let long = hard_load_phase(6_000, [0.8, 1.5, 2.5]);
    let short = hard_load_phase(6_000, [2.5, 0.8, 0.5]);
    vec![long, short, long, short]
}
