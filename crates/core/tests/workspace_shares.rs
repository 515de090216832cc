//! Decisions about shares of workspaces, and what daemons make of each other's reports.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{id, ms, node::Node, ENGINES};
use insta::assert_snapshot;
use persimmon_core::{
    dispatch::{
        DispatchAction, DispatchEvent, DispatchMessage, DispatchRecord, DispatchSettings,
        ExtensionFrame, ExtensionMessage, RawDispatchSettings,
    },
    ids::ServiceName,
    sharing::{
        fair_allocation_ms, Demand, RawSharingSettings, ShareHolder, ShareTable, SharingSettings,
        WorkReport, PRIORITIES_LEN,
    },
    units::Time,
};

/// Nominal capacity of the service in the tests.
const NOMINAL_MS_PER_S: f64 = 1_000.0;

fn service() -> ServiceName {
    id(ENGINES)
}

fn table() -> ShareTable {
    ShareTable::new(SharingSettings::try_from(RawSharingSettings::default()).unwrap())
}

/// A table after 10 s in which the large workspace was served 10 engine-seconds a second.
fn flooded() -> (Time, ShareTable) {
    let mut table = table();
    for at in 1..=100 {
        table.add_sent(Time::from_ms(at * 100), &service(), &id("large"), 1_000.0);
    }
    (Time::from_ms(10_000), table)
}

fn over(table: &ShareTable, now: Time, holder: &str, priority: u8) -> String {
    match table.over_share(now, &service(), &id(holder), priority, NOMINAL_MS_PER_S) {
        Some(over) => format!(
            "{:.0} ms of {:.0} ms, wait {}",
            over.work_ms, over.share_ms, over.wait_ms
        ),
        None => "within".into(),
    }
}

/// Guards against an allocation that is not max-min fair by weight.
#[test]
fn what_others_do_not_ask_for_is_divided_by_weight() {
    let demand = |weight, demand_ms| Demand { weight, demand_ms };
    let allocated =
        |own_weight, others: &[Demand]| fair_allocation_ms(900.0, own_weight, &mut others.to_vec());
    assert_eq!(allocated(1.0, &[]), 900.0);
    assert_eq!(allocated(1.0, &[demand(1.0, 100.0)]), 800.0);
    assert_eq!(allocated(1.0, &[demand(2.0, 5_000.0)]), 300.0);
    assert_eq!(
        allocated(1.0, &[demand(1.0, 5_000.0), demand(1.0, 100.0)]),
        400.0
    );
}

/// Guards against a large workspace that is held back while nobody else lacks capacity, that isn't within a
/// second after others do, or that gives way to less urgent calls.
#[test]
fn capacity_is_lent_and_returned() {
    let (now, mut table) = flooded();
    let mut seen = vec![format!("alone: {}", over(&table, now, "large", 1))];
    table.add_unserved(now, &service(), &id("small"), 1, 2_000.0);
    for (name, priority) in [("more urgent", 0), ("as urgent", 1), ("less urgent", 200)] {
        seen.push(format!("{name}: {}", over(&table, now, "large", priority)));
    }
    seen.push(format!("small: {}", over(&table, now, "small", 1)));
    let later = now + ms(1_000);
    seen.push(format!(
        "a second later: {}",
        over(&table, later, "large", 1)
    ));
    assert_snapshot!(seen.join("\n"), @r"
    alone: within
    more urgent: within
    as urgent: 9294 ms of 6955 ms, wait 291ms
    less urgent: 9294 ms of 6955 ms, wait 291ms
    small: within
    a second later: within
    ");
}

/// Guards against work that counts though no upstream has run it, and against sums below zero.
#[test]
fn work_that_has_not_run_is_taken_back() {
    let (now, mut table) = flooded();
    table.add_unserved(now, &service(), &id("small"), 1, 2_000.0);
    let held = over(&table, now, "large", 1);
    table.add_sent(now, &service(), &id("large"), 5_000.0);
    assert_ne!(over(&table, now, "large", 1), held);
    table.refund(now, &service(), &id("large"), (now, 5_000.0));
    assert_eq!(over(&table, now, "large", 1), held);
    table.refund(now, &service(), &id("large"), (now, 1e9));
    assert_eq!(over(&table, now, "large", 1), "within");
}

/// Guards against reports that come too often, that leave entries out for good, or that grow without bound.
#[test]
fn reports_are_batched_and_bounded() {
    let mut table = table();
    let mut now = Time::from_ms(1_000);
    for number in 0..150 {
        let holder = id(&format!("workspace-{number}"));
        table.add_sent(now, &service(), &holder, 10.0);
    }
    assert_eq!(table.holders_len(), 65);
    let mut reported = table.take_report(now).unwrap();
    assert_eq!((reported.len(), table.take_report(now)), (96, None));
    now = table.report_due_at(now).unwrap();
    assert_eq!(now, Time::from_ms(1_200));
    reported.extend(table.take_report(now).unwrap());
    assert_eq!((reported.len(), table.report_due_at(now)), (150, None));
}

/// Guards against invalid settings that are accepted or not named.
#[test]
fn invalid_settings_are_named() {
    let refused = |change: fn(&mut RawSharingSettings)| {
        let mut raw = RawSharingSettings::default();
        change(&mut raw);
        SharingSettings::try_from(raw).unwrap_err().to_string()
    };
    let errors = [
        refused(|raw| raw.decay_ms = 100),
        refused(|raw| raw.default_weight = 0),
        refused(|raw| raw.unknown_weight = 11),
        refused(|raw| raw.weights = [(id("large"), 0)].into()),
    ];
    assert_snapshot!(errors.join("\n"), @r"
    dispatch.sharing.decay_ms is 100: give 400 to 10000
    dispatch.sharing.default_weight is 0: give 1 to 1000
    dispatch.sharing.unknown_weight is 11: give 1 to 10
    dispatch.sharing.weights is 0: give 1 to 1000
    ");
}

/// A daemon with shares, and the records of a report that it gets.
fn hear(node: &mut Node, frame: ExtensionFrame) -> Vec<DispatchRecord> {
    let mut actions = Vec::new();
    let message = DispatchMessage::Extension(frame);
    let event = DispatchEvent::PeerMessage {
        vm: id("vm-1"),
        message,
    };
    node.dispatcher.handle(node.now, event, &mut actions);
    let record = |action| match action {
        DispatchAction::Log(record) => Some(*record),
        _ => None,
    };
    actions.into_iter().filter_map(record).collect()
}

/// Guards against a malformed or absurd report that changes decisions, stops the daemon, or fills its memory,
/// and against a daemon that has just started and holds calls back.
#[test]
fn a_malformed_report_changes_nothing() {
    let mut node = Node::ready(2, 2);
    let raw = RawDispatchSettings {
        sharing: Some(RawSharingSettings::default()),
        ..RawDispatchSettings::default()
    };
    let settings = DispatchSettings::try_from(raw).unwrap();
    node.step(DispatchEvent::Reload(Box::new(settings)));
    let report = |service: &str, holder: ShareHolder, sent_ms| WorkReport {
        service: id(service),
        holder,
        sent_ms,
        unserved_ms: [u32::MAX; PRIORITIES_LEN],
    };
    let frame =
        |reports| ExtensionFrame::try_from(&ExtensionMessage::WorkspaceWork(reports)).unwrap();
    let mut cut = frame(vec![report(ENGINES, id("small"), 5)]);
    cut.body = cut.body.slice(..cut.body.len() - 3);
    let records = hear(&mut node, cut);
    assert!(matches!(
        &records[..],
        [DispatchRecord::ExtensionDropped {
            member: Some(_),
            ..
        }]
    ));
    hear(
        &mut node,
        frame(vec![report("no-such-service", id("small"), 5)]),
    );
    assert_eq!(node.dispatcher.share_holders_len(), 0);
    let many = (0..1_000).map(|number| report(ENGINES, id(&format!("w-{number}")), i64::MIN));
    hear(&mut node, frame(many.collect()));
    assert_eq!(node.dispatcher.share_holders_len(), 65);
    // A workspace that has sent nothing is within its share, whatever others lack.
    assert!(matches!(
        node.call("alarm", 1_000).1[..],
        [dispatch::node::Seen::Send(_)]
    ));
}
