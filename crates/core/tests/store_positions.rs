//! Whoever states a position of the store knows every change up to it, whatever the order in which answers, passed-on
//! changes and reports arrive.

#[path = "common/dispatch/mod.rs"]
mod dispatch;
#[path = "common/store_fleet.rs"]
mod store_fleet;

use dispatch::{batch, batch_at, ms, position, position_in};
use insta::assert_snapshot;
use persimmon_core::{
    ids::StoreEra,
    units::{Millis, Time},
    watch::{Batch, Change, StoreError, Topic, TopicWatch, WatchSettings},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use store_fleet::{StoreFleet, Trouble};

/// Age of knowledge up to which keys are accepted.
const KEY_LEASE_MS: u64 = 3_800;

fn at(now_ms: u64) -> Time {
    Time::from_ms(now_ms)
}

/// A watch that has read all entries at position 50 and has a call for changes pending.
fn watch() -> TopicWatch {
    let settings = WatchSettings {
        wait_ms: ms(800),
        pause_ms: Millis::ZERO,
        timeout_ms: ms(1_000),
    };
    let mut watch = TopicWatch::new(Topic::Operators, settings);
    watch.poll(at(0));
    watch.on_answer(at(0), &batch(50, true, Vec::new()));
    watch.poll(at(0));
    watch
}

fn change() -> Vec<Change> {
    vec![Change::DomainWithdrawn(dispatch::id("a"))]
}

/// A reader's late answer set back its report of the last change: peers took it for proof that they knew all changes and
/// accepted a revoked key for good (CONFIG, review/6).
#[test]
fn an_overtaken_answer_does_not_set_back_what_is_reported() {
    let mut watch = watch();
    assert!(watch.on_passed_on(at(100), position(50), position(54)));
    let status = watch.on_answer(at(200), &batch(51, false, change()));
    assert!(status.unwrap().overtaken);
    let unchanged = watch.unchanged().unwrap();
    assert_eq!(
        (unchanged.changed, unchanged.position),
        (position(54), position(54))
    );
}

/// Entries that were read before newer changes were passed on would undo these.
#[test]
fn overtaken_entries_are_not_applied() {
    let mut watch = watch();
    assert!(watch.on_passed_on(at(100), position(50), position(54)));
    let status = watch.on_answer(at(200), &batch(52, true, change()));
    assert!(status.unwrap().overtaken);
    assert_eq!(watch.position(), Some(position(54)));
}

/// A daemon that hears of a restore while it reads all entries reads them once more: those are of the old era.
#[test]
fn entries_of_an_era_that_the_store_has_left_are_not_used() {
    let mut watch = watch();
    watch.on_era(StoreEra::new(1), at(100));
    assert_eq!(watch.on_answer(at(200), &batch(52, true, change())), None);
    assert_eq!(watch.poll(at(300)).unwrap().after, None);
    let all = batch_at(position_in(1, 40), true, Vec::new());
    assert!(watch.on_answer(at(310), &all).unwrap().restored);
}

/// The case of the review in virtual time: the second reader's answer is late, and the last daemons hear the first reader
/// late.
#[test]
fn a_late_answer_of_one_reader_hides_no_change_from_its_followers() {
    let mut fleet = StoreFleet::new(1, 8);
    fleet.apply(&Trouble::LateAnswers {
        vm: 1,
        late_ms: 400,
        span_ms: 100,
    });
    for to in 2..8 {
        let late = Trouble::LateMessages {
            from: 0,
            to,
            late_ms: 3_000,
            span_ms: 2_000,
        };
        fleet.apply(&late);
    }
    fleet.apply(&Trouble::Catalogs { len: 5, gap_ms: 60 });
    fleet.pass(4_000);
    fleet.settle();
    fleet.untrue.truncate(3);
    assert_eq!(fleet.untrue, [""; 0]);
}

/// A gateway that had missed more changes than fit in one answer took the first answer for the latest state, told its
/// followers so, and served a key that was taken away (CONFIG, review/12).
#[test]
fn the_first_of_several_answers_is_not_the_latest_state() {
    for rows_len in [1, 2, 12] {
        let mut fleet = StoreFleet::new(1, 6);
        fleet.apply(&Trouble::AnswersMax { rows_len });
        for vm in 0..6 {
            let span_ms = 7_000;
            fleet.apply(&Trouble::CutFromStore { vm, span_ms });
        }
        let (len, gap_ms) = (26, 60);
        fleet.apply(&Trouble::Catalogs { len, gap_ms });
        fleet.pass(9_000);
        fleet.untrue.truncate(3);
        assert_eq!(fleet.untrue, [""; 0], "{rows_len} rows an answer");
        let age_ms = fleet.oldest_knowledge_ms().unwrap();
        assert!(age_ms < 2_000, "{rows_len} rows an answer: {age_ms} ms");
    }
}

/// While changes come faster than answers without rows, the latest state is still shown in time: otherwise keys of sound
/// callers would be refused.
#[test]
fn knowledge_stays_fresh_while_changes_come_in_quick_succession() {
    for (rows_len, gap_ms) in [(1, 60), (1, 5), (500, 60), (500, 5)] {
        let mut fleet = StoreFleet::new(1, 6);
        fleet.apply(&Trouble::AnswersMax { rows_len });
        let len = 4_000 / gap_ms;
        fleet.apply(&Trouble::Catalogs { len, gap_ms });
        let mut oldest_ms = 0;
        for _ in 0..400 {
            fleet.pass(10);
            oldest_ms = oldest_ms.max(fleet.oldest_knowledge_ms().unwrap());
        }
        fleet.untrue.truncate(3);
        assert_eq!(fleet.untrue, [""; 0]);
        let what = format!("{rows_len} rows an answer, a change each {gap_ms} ms");
        assert!(oldest_ms < KEY_LEASE_MS, "{what}: {oldest_ms} ms");
    }
}

/// A change that is alone costs a reader no more than one call, and a follower none.
#[test]
fn a_change_costs_few_calls() {
    let calls = |changes_len: u64| {
        let mut fleet = StoreFleet::new(1, 8);
        let before = fleet.store_calls_count();
        for _ in 0..changes_len {
            fleet.apply(&Trouble::Catalogs { len: 1, gap_ms: 1 });
            fleet.pass(3_000);
        }
        fleet.pass(60_000 - changes_len * 3_000);
        fleet.store_calls_count() - before
    };
    assert_snapshot!(
        format!("{} calls a minute, {} with ten changes", calls(0), calls(10)),
        @"208 calls a minute, 228 with ten changes"
    );
}

/// What an answer says of the store's latest state.
#[test]
fn only_some_answers_show_the_latest_state() {
    let empty = |has_rows| Batch {
        has_rows,
        ..batch(60, false, Vec::new())
    };
    let answers = [
        ("no row", 800, empty(false)),
        ("no row, at once", 10, empty(false)),
        ("a row that means nothing", 10, empty(true)),
        ("a change", 10, batch(60, false, change())),
        ("all entries", 10, batch(60, true, change())),
        ("overtaken, no row", 800, batch(50, false, Vec::new())),
        ("overtaken change", 10, batch(50, false, change())),
    ];
    let mut lines = Vec::new();
    for (name, after_ms, answer) in answers {
        let mut watch = watch();
        watch.on_answer(at(800), &batch(50, false, Vec::new()));
        watch.poll(at(800));
        watch.on_passed_on(at(805), position(50), position(55));
        watch.on_answer(at(800 + after_ms), &answer);
        let fresh_at = watch.fresh_at().unwrap().since(Time::START);
        let next = watch.poll(at(1_700)).unwrap();
        lines.push(format!(
            "{name}: as of {fresh_at}, next after {:?} held {}",
            next.after.map(|after| after.to_string()),
            next.wait_ms
        ));
    }
    assert_snapshot!(lines.join("\n"), @r#"
    no row: as of 1600ms, next after Some("0.60") held 800ms
    no row, at once: as of 800ms, next after Some("0.60") held 800ms
    a row that means nothing: as of 800ms, next after Some("0.60") held 0ms
    a change: as of 800ms, next after Some("0.60") held 0ms
    all entries: as of 800ms, next after Some("0.60") held 800ms
    overtaken, no row: as of 1600ms, next after Some("0.55") held 800ms
    overtaken change: as of 800ms, next after Some("0.55") held 0ms
    "#);
}

/// Changes after an outage come in several answers: entries that expired in it are kept in all of them.
#[test]
fn the_answers_after_an_outage_are_all_after_it() {
    let mut watch = watch();
    watch.on_answer(at(800), &batch(50, false, Vec::new()));
    watch.poll(at(800));
    watch.on_error(at(1_800), &StoreError::Refused { status: 503 });
    assert!(watch.poll(at(5_000)).is_some());
    let first = watch
        .on_answer(at(5_010), &batch(60, false, change()))
        .unwrap();
    let next = watch.poll(at(5_010)).unwrap();
    assert_eq!((first.after_outage, next.after), (true, None));
    let second = watch
        .on_answer(at(5_020), &batch(70, true, change()))
        .unwrap();
    assert!(second.after_outage);
    watch.poll(at(5_020));
    let third = watch
        .on_answer(at(5_030), &batch(70, false, Vec::new()))
        .unwrap();
    assert!(!third.after_outage);
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let vm = || 0..8_usize;
    let reader = || 0..3_usize;
    let span = || 50..3_000_u64;
    prop_oneof![
        4 => (1..6_u64, 1..120_u64).prop_map(|(len, gap_ms)| Trouble::Catalogs { len, gap_ms }),
        2 => vm().prop_map(Trouble::Domain),
        2 => vm().prop_map(Trouble::Upstream),
        1 => Just(Trouble::OtherRow),
        1 => (1..4_usize).prop_map(|rows_len| Trouble::AnswersMax { rows_len }),
        1 => (0..5_usize).prop_map(|lost_len| Trouble::Restore { lost_len }),
        1 => Just(Trouble::Compact),
        1 => span().prop_map(|span_ms| Trouble::StoreDown { span_ms }),
        2 => (reader(), span()).prop_map(|(vm, span_ms)| Trouble::CutFromStore { vm, span_ms }),
        3 => (reader(), 50..900_u64, span())
            .prop_map(|(vm, late_ms, span_ms)| Trouble::LateAnswers { vm, late_ms, span_ms }),
        3 => (vm(), vm(), 50..3_000_u64, span())
            .prop_map(|(from, to, late_ms, span_ms)| Trouble::LateMessages { from, to, late_ms, span_ms }),
        2 => (vm(), span()).prop_map(|(vm, span_ms)| Trouble::Pause { vm, span_ms }),
        1 => vm().prop_map(Trouble::Kill),
        1 => (vm(), span()).prop_map(|(vm, span_ms)| Trouble::CutFromPeers { vm, span_ms }),
        1 => Just(Trouble::Join),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 200, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Config::default() })]

    #[test]
    fn who_states_a_position_knows_every_change_up_to_it(
        seed in 0..1_000_u64,
        daemons_len in 3..8_usize,
        troubles in prop::collection::vec((trouble(), 0..400_u64), 1..20),
    ) {
        let mut fleet = StoreFleet::new(seed, daemons_len);
        for (trouble, span_ms) in &troubles {
            fleet.apply(trouble);
            fleet.pass(*span_ms);
        }
        fleet.settle();
        fleet.untrue.truncate(3);
        prop_assert_eq!(fleet.untrue, Vec::<String>::new());
    }
}
