//! The registry of upstreams, and the watch of a store that fails.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{batch, id, ms, upstream, upstream_list, ENGINES};
use persimmon_core::{
    fleet::{Fleet, SnapshotKind, UpstreamRecord},
    ids::UpstreamId,
    units::{Millis, Time},
    watch::{Change, StoreError, Topic, TopicWatch, WatchSettings},
};

fn records(changes: Vec<Change>) -> Vec<UpstreamRecord> {
    let record = |change| match change {
        Change::Upstream(record) => Some(*record),
        _ => None,
    };
    changes.into_iter().filter_map(record).collect()
}

fn usable(fleet: &Fleet) -> Vec<String> {
    let service = id(ENGINES);
    let usable = fleet.usable(&service);
    usable
        .map(|upstream| upstream.record.id.to_string())
        .collect()
}

fn first() -> UpstreamId {
    id("advisor-1")
}

#[test]
fn delayed_writes_of_an_entry_are_ignored() {
    let mut fleet = Fleet::default();
    let mut record = upstream(ENGINES, 1);
    record.writes_count = 5;
    record.draining = true;
    fleet.on_record(Time::START, record.clone());
    record.writes_count = 4;
    record.draining = false;
    fleet.on_record(Time::START, record.clone());
    assert_eq!(usable(&fleet), [""; 0]);
    // A delayed write does not register a removed upstream again.
    fleet.on_removed(&first());
    fleet.on_record(Time::START, record.clone());
    assert!(fleet.get(&first()).is_none());
    // A restart under the same id does.
    record.started_unix_ms = 2;
    record.writes_count = 1;
    fleet.on_record(Time::START, record);
    assert_eq!(usable(&fleet), ["advisor-1"]);
}

#[test]
fn entries_missing_after_an_outage_are_kept_for_two_seconds() {
    let mut fleet = Fleet::default();
    let now = Time::from_ms(10_000);
    fleet.on_snapshot(now, records(upstream_list(3, 0)), SnapshotKind::Current);
    fleet.on_snapshot(now, Vec::new(), SnapshotKind::AfterOutage);
    assert_eq!(usable(&fleet).len(), 3);
    let mut returned = upstream(ENGINES, 2);
    returned.writes_count = 2;
    fleet.on_record(now + ms(1_000), returned);
    assert!(fleet.expire_missing(now + ms(1_000)).is_empty());
    assert_eq!(fleet.expire_missing(now + ms(2_000)).len(), 2);
    assert_eq!(usable(&fleet), ["advisor-2"]);
}

#[test]
fn entries_missing_without_an_outage_are_removed_at_once() {
    let mut fleet = Fleet::default();
    fleet.on_snapshot(
        Time::START,
        records(upstream_list(3, 0)),
        SnapshotKind::Current,
    );
    let gone = fleet.on_snapshot(
        Time::START,
        records(upstream_list(1, 0)),
        SnapshotKind::Current,
    );
    assert_eq!(gone.len(), 2);
    assert_eq!(usable(&fleet), ["advisor-1"]);
}

fn watch() -> TopicWatch {
    TopicWatch::new(
        Topic::Operators,
        WatchSettings {
            wait_ms: ms(1_500),
            pause_ms: Millis::ZERO,
            timeout_ms: ms(1_000),
        },
    )
}

#[test]
fn state_is_current_as_of_the_latest_time_the_answer_guarantees() {
    let mut watch = watch();
    let at = Time::from_ms;
    assert_eq!(watch.poll(at(0)).unwrap().after, None);
    watch.on_answer(at(10), &batch(7, true, Vec::new()));
    assert_eq!(watch.fresh_at(), Some(at(0)));
    // The store held the call for the whole wait time, so nothing had changed until the end of it.
    assert_eq!(watch.poll(at(10)).unwrap().wait_ms, ms(1_500));
    watch.on_answer(at(1_600), &batch(7, false, Vec::new()));
    assert_eq!(watch.fresh_at(), Some(at(1_510)));
    // The store answered early, so the state is only known to be current at the time of the call.
    watch.poll(at(1_600));
    watch.on_answer(at(1_700), &batch(7, false, Vec::new()));
    assert_eq!(watch.fresh_at(), Some(at(1_600)));
}

#[test]
fn a_failing_store_is_retried_within_half_a_second() {
    let mut watch = watch();
    let refused = StoreError::Refused { status: 503 };
    let mut now = Time::START;
    for _ in 0..10 {
        assert!(watch.poll(now).is_some());
        watch.on_error(now, &refused);
        let due = watch.next_wakeup().unwrap();
        assert!(due.since(now) <= ms(500));
        now = due;
    }
}

#[test]
fn all_entries_are_read_again_after_the_history_is_lost() {
    let mut watch = watch();
    watch.poll(Time::START);
    watch.on_answer(Time::START, &batch(7, true, Vec::new()));
    watch.poll(Time::START);
    watch.on_error(Time::START, &StoreError::HistoryGone);
    assert_eq!(watch.poll(Time::START).unwrap().after, None);
}
