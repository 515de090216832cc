//! What daemons believe of prompt prefixes: requests in flight, retention, reports of peers, restarts, and
//! messages that can't be read.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{id, ms, node::Node, upstream, ENGINES, KEY};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        AnswerOrigin, Call, DispatchAction, DispatchEvent, DispatchMessage, DispatchRecord,
        DispatchSettings, ExtensionFrame, ExtensionKind, ExtensionMessage, PromptSize,
        RawDispatchSettings, SendOutcome, SendPlan,
    },
    ids::{CallId, Fingerprint, SendId},
    prefix::{PrefixReport, PromptPart, PromptPrefix, RawPrefixRetention, RawPrefixSettings},
    units::{Millis, Tokens},
    watch::Change,
};

const SHARED_TOKENS: u64 = 20_000;

/// A daemon with one engine.
struct Daemon {
    node: Node,
    calls_count: u64,
    /// Reports to peers that are not taken yet.
    reports: Vec<ExtensionFrame>,
}

/// What a daemon did: transmissions, beliefs in tokens, and dropped messages.
#[derive(Debug, Default)]
struct Done {
    sent: Vec<SendPlan>,
    held_tokens: Vec<u64>,
    probability_percent: u32,
    hits: Vec<bool>,
    dropped: Vec<String>,
    all: String,
}

fn settings(keep_ms: Option<u64>) -> DispatchSettings {
    let services = keep_ms.map(|keep_ms| {
        let keep_tokens = 100_000;
        (
            id(ENGINES),
            RawPrefixRetention {
                keep_ms,
                keep_tokens,
            },
        )
    });
    let raw = RawDispatchSettings {
        prefix: Some(RawPrefixSettings {
            services: services.into_iter().collect(),
        }),
        ..RawDispatchSettings::default()
    };
    DispatchSettings::try_from(raw).unwrap()
}

impl Daemon {
    fn new(vm: &str, peer: &str, settings: Option<DispatchSettings>) -> Self {
        let mut node = Node::named(vm);
        node.learn(1, 0);
        let mut daemon = Self {
            node,
            calls_count: 0,
            reports: Vec::new(),
        };
        if let Some(settings) = settings {
            daemon.step(DispatchEvent::Reload(Box::new(settings)));
        }
        daemon.step(DispatchEvent::PeerUp { vm: id(peer) });
        daemon
    }

    fn step(&mut self, event: DispatchEvent) -> Done {
        let mut actions = Vec::new();
        let now = self.node.now;
        self.node.dispatcher.handle(now, event, &mut actions);
        let mut done = Done {
            all: format!("{actions:?}"),
            ..Done::default()
        };
        for action in actions {
            match action {
                DispatchAction::Send(plan) => done.sent.push(*plan),
                DispatchAction::Notify { message, .. } => self.add_reports(message),
                DispatchAction::Log(record) => match *record {
                    DispatchRecord::PrefixUsed {
                        held_tokens,
                        probability_percent,
                        ..
                    } => {
                        done.held_tokens.push(held_tokens.get());
                        done.probability_percent = probability_percent;
                    }
                    DispatchRecord::PrefixChecked { is_hit, .. } => done.hits.push(is_hit),
                    DispatchRecord::ExtensionDropped { error, .. } => done.dropped.push(error),
                    _ => {}
                },
                _ => {}
            }
        }
        done
    }

    fn add_reports(&mut self, message: DispatchMessage) {
        match message {
            DispatchMessage::Extension(frame) if frame.kind == ExtensionKind::CACHED_PREFIXES => {
                self.reports.push(frame);
            }
            DispatchMessage::Batch(messages) => {
                messages
                    .into_iter()
                    .for_each(|message| self.add_reports(message));
            }
            _ => {}
        }
    }

    fn call(&mut self, parts: &[u64]) -> Done {
        self.calls_count += 1;
        let number = self.calls_count;
        let parts = parts.iter().map(|part| PromptPart {
            id: Fingerprint::new(*part),
            tokens: Tokens::new(SHARED_TOKENS),
        });
        let prefix: PromptPrefix = parts.collect();
        let call = Call {
            id: CallId::new(number),
            request_id: format!("request-{number}").into(),
            host: "cells.example".into(),
            path: "/review/x".into(),
            key: Some(ApiKey::from(KEY)),
            deadline_ms: None,
            prompt: Some(PromptSize {
                prompt_tokens: Tokens::new(SHARED_TOKENS + 1_000),
                output_tokens: Tokens::new(100),
            }),
            fingerprints: Vec::new(),
            prefix,
            content: Fingerprint::new(number),
            body_bytes: Default::default(),
            age_ms: Millis::ZERO,
        };
        self.step(DispatchEvent::Arrived(Box::new(call)))
    }

    /// A call that ends after 1 s; its first event comes when it should.
    fn served(&mut self, parts: &[u64]) -> Vec<u64> {
        // The key lease needs a recent contact with the store.
        self.step(DispatchEvent::Tick);
        self.node.operators(false, Vec::new());
        let done = self.call(parts);
        let [SendPlan { call, send, .. }] = done.sent[..] else {
            panic!("not sent: {done:?}");
        };
        self.node.now = self.node.now + ms(1_000);
        let end = SendOutcome::Delivered;
        self.step(DispatchEvent::Ended { call, send, end });
        done.held_tokens
    }

    fn hear(&mut self, from: &str, frames: impl IntoIterator<Item = ExtensionFrame>) -> Done {
        let mut last = Done::default();
        for frame in frames {
            last = self.step(DispatchEvent::PeerMessage {
                vm: id(from),
                message: DispatchMessage::Extension(frame),
            });
        }
        last
    }

    /// Advances time; the key lease needs contacts with the store.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 1_000 {
            self.node.now = self.node.now + Millis::new(1_000);
            self.step(DispatchEvent::Tick);
            self.node.operators(false, Vec::new());
        }
    }

    fn restart_engine(&mut self) {
        let mut record = upstream(ENGINES, 1);
        record.started_unix_ms += 1;
        let changes = vec![Change::Upstream(Box::new(record))];
        self.node.upstreams(false, changes);
    }
}

fn frame(message: &ExtensionMessage) -> ExtensionFrame {
    ExtensionFrame::try_from(message).unwrap()
}

fn report(started_unix_ms: u64, send: Option<u64>, part: u64) -> ExtensionFrame {
    let part = PromptPart {
        id: Fingerprint::new(part),
        tokens: Tokens::new(SHARED_TOKENS),
    };
    let mut upstream = upstream(ENGINES, 1).incarnation();
    upstream.started_unix_ms = started_unix_ms;
    frame(&ExtensionMessage::CachedPrefixes(vec![PrefixReport {
        send: send.map(SendId::new),
        upstream,
        parts: PromptPrefix::from_iter([part]).parts().to_vec(),
        cached_tokens: Tokens::ZERO,
        used_ms: ms(0),
    }]))
}

/// Guards against a belief that outlives the last request at an upstream that keeps nothing, and against one
/// that is lost while another request with the same parts runs.
#[test]
fn a_prefix_is_held_while_a_request_uses_it() {
    let mut daemon = Daemon::new("vm-1", "vm-2", Some(settings(None)));
    let first = daemon.call(&[1]);
    assert_eq!(first.held_tokens, [0]);
    assert_eq!(daemon.served(&[1, 2]), [SHARED_TOKENS]);
    assert_eq!(daemon.served(&[1]), [SHARED_TOKENS]);
    assert_eq!(daemon.served(&[2]), [0], "another part stands before it");
    let SendPlan { call, send, .. } = first.sent[0];
    let end = SendOutcome::Delivered;
    daemon.step(DispatchEvent::Ended { call, send, end });
    assert_eq!(daemon.served(&[1]), [0]);
}

/// Guards against a belief that outlives the time or the memory that the settings state.
#[test]
fn a_prefix_is_kept_as_the_settings_state() {
    let mut daemon = Daemon::new("vm-1", "vm-2", Some(settings(Some(10_000))));
    assert_eq!(daemon.served(&[1]), [0]);
    assert_eq!(daemon.served(&[1]), [SHARED_TOKENS]);
    for part in 2..=6 {
        assert_eq!(daemon.served(&[part]), [0]);
    }
    assert_eq!(
        daemon.served(&[1]),
        [0],
        "100,000 tokens of others came since"
    );
    daemon.pass(10_000);
    assert_eq!(daemon.served(&[1]), [0], "older than 10 s");
}

/// Guards against beliefs that survive a restart, a late report of the ended process, a peer that is gone, a
/// message that can't be read, and reports of transmissions that this daemon does not know.
#[test]
fn restarts_malformed_reports_and_views_that_differ() {
    let mut daemon = Daemon::new("vm-1", "vm-2", Some(settings(Some(10_000))));
    assert_eq!(daemon.served(&[1]), [0]);
    daemon.restart_engine();
    daemon.hear("vm-2", [report(1, None, 1)]);
    assert_eq!(daemon.served(&[1]), [0], "the process has restarted");
    // The peer's process of the engine is a later one than the store has told this daemon of.
    daemon.hear("vm-2", [report(3, None, 7)]);
    assert_eq!(daemon.served(&[7]), [0]);
    // The transmission has ended, or was never reported.
    daemon.hear("vm-2", [report(2, Some(99), 8)]);
    assert_eq!(daemon.served(&[8]), [SHARED_TOKENS]);
    let mut cut_short = report(2, None, 9);
    cut_short.body = cut_short.body.slice(..cut_short.body.len() - 1);
    let done = daemon.hear("vm-2", [cut_short]);
    assert_eq!(done.dropped.len(), 1, "{done:?}");
    assert!(done.dropped[0].contains("kind 4 is malformed"), "{done:?}");
    assert_eq!(daemon.served(&[9]), [0]);
    let unknown = PrefixReport {
        send: None,
        upstream: upstream(ENGINES, 50).incarnation(),
        parts: Vec::new(),
        cached_tokens: Tokens::new(u64::MAX),
        used_ms: ms(u64::MAX),
    };
    daemon.hear(
        "vm-2",
        [frame(&ExtensionMessage::CachedPrefixes(vec![
            unknown;
            1_000
        ]))],
    );
    daemon.step(DispatchEvent::PeerDown { vm: id("vm-2") });
    assert_eq!(
        daemon.served(&[8]),
        [SHARED_TOKENS],
        "the engine still runs"
    );
}

/// Guards against a daemon that goes on to count on a prefix although first events come too late for it, and
/// against one that takes an event that is late for another reason as a sign.
#[test]
fn first_events_show_what_was_held() {
    let mut daemon = Daemon::new("vm-1", "vm-2", Some(settings(Some(600_000))));
    daemon.served(&[1]);
    // 181 ms without the prefix, 31 ms with it.
    for (first_ms, hits, percent) in [
        (40, vec![true], 99),
        (190, vec![false], 99),
        (900, vec![], 89),
    ] {
        daemon.served(&[2]);
        let done = daemon.call(&[1]);
        assert_eq!(done.probability_percent, percent);
        let SendPlan { call, send, .. } = done.sent[0];
        daemon.node.now = daemon.node.now + ms(first_ms);
        let seen = daemon.step(DispatchEvent::FirstByte { call, send });
        assert_eq!(seen.hits, hits, "{first_ms} ms");
        let end = SendOutcome::Delivered;
        daemon.step(DispatchEvent::Ended { call, send, end });
    }
}

/// Guards against a belief in prefixes at an upstream that stops requests for lack of memory.
#[test]
fn a_request_that_breaks_off_ends_the_belief() {
    let mut daemon = Daemon::new("vm-1", "vm-2", Some(settings(Some(10_000))));
    daemon.served(&[1]);
    let SendPlan { call, send, .. } = daemon.call(&[2]).sent[0];
    let end = SendOutcome::Failed {
        status: 500,
        not_run: false,
        wrong_upstream: false,
        culprit: None,
        retry_after_ms: None,
        origin: AnswerOrigin::default(),
    };
    daemon.step(DispatchEvent::Ended { call, send, end });
    assert_eq!(daemon.served(&[1]), [0]);
}

/// Guards against a report that reaches peers which can't read it, and against a peer that learns nothing.
#[test]
fn peers_that_read_reports_learn_what_upstreams_hold() {
    let mut one = Daemon::new("vm-1", "vm-2", Some(settings(Some(10_000))));
    let mut other = Daemon::new("vm-2", "vm-1", Some(settings(Some(10_000))));
    one.served(&[1]);
    one.node.now = one.node.now + ms(500);
    one.step(DispatchEvent::Tick);
    assert!(one.reports.is_empty(), "the peer has announced nothing");
    let kinds = frame(&ExtensionMessage::Capabilities(
        ExtensionKind::READ.to_vec(),
    ));
    one.hear("vm-2", [kinds]);
    assert_eq!(one.reports.len(), 1);
    other.hear("vm-1", std::mem::take(&mut one.reports));
    assert_eq!(other.served(&[1]), [SHARED_TOKENS]);
    one.served(&[5]);
    one.pass(1_000);
    assert_eq!(one.reports.len(), 1);
    other.hear("vm-1", std::mem::take(&mut one.reports));
    assert_eq!(other.served(&[5]), [SHARED_TOKENS]);
}

/// Guards against a component that changes actions while it is off, whatever callers state and peers report.
#[test]
fn without_the_section_all_actions_are_the_same() {
    let mut plain = Daemon::new("vm-1", "vm-2", None);
    let mut stated = Daemon::new("vm-1", "vm-2", None);
    for number in 0..40 {
        stated.hear("vm-2", [report(1, Some(number), number % 3)]);
        let (one, other) = (plain.call(&[]), stated.call(&[number % 3, number]));
        assert_eq!(one.all, other.all);
        assert!(other.held_tokens.is_empty());
        for daemon in [&mut plain, &mut stated] {
            daemon.node.now = daemon.node.now + ms(90);
        }
        for plan in one.sent {
            let (call, send) = (plan.call, plan.send);
            let ends = [&mut plain, &mut stated].map(|daemon| {
                let end = SendOutcome::Delivered;
                daemon.step(DispatchEvent::Ended { call, send, end }).all
            });
            assert_eq!(ends[0], ends[1]);
        }
        let ticks = [&mut plain, &mut stated].map(|daemon| daemon.step(DispatchEvent::Tick).all);
        assert_eq!(ticks[0], ticks[1]);
    }
}

/// Guards against values that would make the table believe nothing or everything.
#[test]
fn settings_out_of_range_are_refused() {
    let refused = [(0, 1), (3_600_001, 1), (1, 0)].map(|(keep_ms, keep_tokens)| {
        let retention = RawPrefixRetention {
            keep_ms,
            keep_tokens,
        };
        let raw = RawDispatchSettings {
            prefix: Some(RawPrefixSettings {
                services: [(id(ENGINES), retention)].into(),
            }),
            ..RawDispatchSettings::default()
        };
        DispatchSettings::try_from(raw).unwrap_err().to_string()
    });
    insta::assert_snapshot!(refused.join("\n"), @r"
    dispatch.prefix.services.keep_ms is 0: give 1 to 3600000
    dispatch.prefix.services.keep_ms is 3600001: give 1 to 3600000
    dispatch.prefix.services.keep_tokens is 0: give 1 to 1000000000
    ");
    let absent = DispatchSettings::try_from(RawDispatchSettings::default()).unwrap();
    assert_eq!(absent.prefix, None);
}
