//! The owner's estimate of cached prefixes: its own grants, cache events, gaps, resynchronisations
//! and restarts.

#[path = "common/grant_bench.rs"]
#[allow(dead_code)]
mod grant_bench;

use grant_bench::{engine, grant_request, model_spec, upstream, warm_report, OwnerHarness};
use persimmon_core::{
    ids::{BlockHash, Incarnation},
    request::CallTarget,
    upstream::{CacheBatch, CacheChange, LoadReport},
    Action,
};

fn batch(first_seq_index: u64, whole: bool, changes: &[CacheChange]) -> CacheBatch {
    CacheBatch {
        incarnation: Incarnation::new(1),
        first_seq_index,
        changes: changes.to_vec(),
        is_snapshot: whole,
    }
}

fn stored(block: u64) -> CacheChange {
    CacheChange::Stored(BlockHash::new(block))
}

struct CacheHarness {
    harness: OwnerHarness,
    requests_count: u128,
}

impl CacheHarness {
    fn new() -> Self {
        let harness = OwnerHarness::new(vec![("e1", engine("a", 100_000, 9))]);
        Self {
            harness,
            requests_count: 0,
        }
    }

    fn apply_events(&mut self, batch: CacheBatch) {
        let owner = &mut self.harness.owner;
        let id = upstream("e1");
        self.harness
            .bench
            .with(|ctx, view| owner.on_cache(ctx, view, &id, batch));
    }

    /// Predicted time to first token of a prompt of 4,000 tokens (400 ms if uncached) with these
    /// blocks.
    fn predicted_ttft(&mut self, blocks: [u64; 4]) -> String {
        self.requests_count += 1;
        let mut spec = model_spec(self.requests_count, 4_000, 100);
        if let CallTarget::Model(call) = &mut spec.target {
            call.prefix_blocks = blocks.map(BlockHash::new).to_vec();
        }
        let answer = self.harness.request(grant_request(spec));
        self.harness.release(self.requests_count, false);
        let words = answer.split(' ').skip_while(|word| *word != "ttft");
        words.take(2).collect::<Vec<_>>().join(" ")
    }

    fn polled_seq_indexes(&mut self) -> Vec<Option<u64>> {
        self.harness.bench.advance(1_000);
        let owner = &mut self.harness.owner;
        self.harness
            .bench
            .with(|ctx, view| owner.on_tick(ctx, view));
        let actions = self.harness.bench.take();
        let polls = actions.into_iter().filter_map(|action| match action {
            Action::PollCache { from_seq_index, .. } => Some(from_seq_index),
            _ => None,
        });
        polls.collect()
    }
}

#[test]
fn cache_events_gaps_and_resyncs_update_the_estimate() {
    let mut cache = CacheHarness::new();
    assert_eq!(cache.polled_seq_indexes(), [None]);
    cache.apply_events(batch(
        7,
        true,
        &[stored(1), stored(2), stored(3), stored(4)],
    ));
    assert_eq!(cache.polled_seq_indexes(), [Some(7)]);
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 3, 4]), @"ttft 0ms");
    cache.apply_events(batch(7, false, &[CacheChange::Evicted(BlockHash::new(3))]));
    assert_eq!(cache.polled_seq_indexes(), [Some(8)]);
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 3, 5]), @"ttft 200ms");
    cache.apply_events(batch(20, false, &[stored(9)]));
    assert_eq!(
        cache.polled_seq_indexes(),
        [None],
        "a gap asks for the whole cache"
    );
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 3, 5]), @"ttft 192ms");
    cache.apply_events(batch(30, true, &[stored(1)]));
    assert_eq!(cache.polled_seq_indexes(), [Some(30)]);
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 3, 5]), @"ttft 278ms");
}

#[test]
fn own_grants_count_as_cached_until_the_engine_restarts() {
    let mut cache = CacheHarness::new();
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 3, 4]), @"ttft 400ms");
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 5, 6]), @"ttft 192ms");
    let report = LoadReport {
        incarnation: Incarnation::new(2),
        ..warm_report()
    };
    cache.harness.report("e1", &report);
    insta::assert_snapshot!(cache.predicted_ttft([1, 2, 5, 6]), @"ttft 400ms");
}
