//! Entry daemon against owners: denials, collection of held grants and changes of ownership.

mod entry_common;

use entry_common::{
    attempt, busy, complete, failed, granted, member, model_spec, summary_lines, EntryHarness,
};
use insta::assert_snapshot;
use persimmon_core::{
    entry::RawEntrySettings,
    ids::FencingNumber,
    message::{GrantAnswer, GrantDenial, GrantMessage, PeerMessage},
    request::UpstreamError,
    units::{Millis, Tokens},
    Action,
};

fn harness() -> EntryHarness {
    EntryHarness::new(RawEntrySettings::default())
}

/// A harness whose request 1 runs at `a` with a grant of `o1`.
fn running() -> EntryHarness {
    let mut harness = harness();
    harness.request(model_spec(1));
    harness.answer("o1", attempt(1, 0), granted("a", 1, false));
    harness
}

fn denied(denial: GrantDenial) -> GrantAnswer {
    GrantAnswer::Denied(denial)
}

fn collect(harness: &mut EntryHarness, owner: &str, upstream: &str, fencing: u64) -> Vec<Action> {
    let message = GrantMessage::Collect {
        upstreams: vec![upstream.parse().expect("upstream")],
        fencing: FencingNumber::new(fencing),
    };
    let from = member(owner, 2);
    harness.run(|entry, ctx, view| entry.on_message(ctx, view, &from, message))
}

/// Formats the `Held` messages among actions: attempts and highest fencing number.
fn held(actions: &[Action]) -> String {
    let reported = actions.iter().filter_map(|action| match action {
        Action::SendPeer {
            to,
            message: PeerMessage::Grant(GrantMessage::Held { grants, fencing }),
            ..
        } => {
            let attempts = grants.iter().map(|grant| grant.attempt.number.to_string());
            let attempts: Vec<String> = attempts.collect();
            Some(format!("{to} <- held {attempts:?} fencing {fencing}"))
        }
        _ => None,
    });
    reported.collect::<Vec<_>>().join("\n")
}

#[test]
fn new_owner_collects_held_grants_and_gets_their_release() {
    let mut harness = running();
    assert_snapshot!(held(&collect(&mut harness, "o2", "b", 9)), @"o2 <- held [] fencing 9");
    assert_snapshot!(held(&collect(&mut harness, "o2", "a", 2)), @r#"o2 <- held ["0"] fencing 2"#);
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), complete(100))), @r"
    o2 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
}

#[test]
fn collect_with_lower_fencing_number_does_not_change_the_owner() {
    let mut harness = running();
    collect(&mut harness, "o2", "a", 5);
    assert_snapshot!(held(&collect(&mut harness, "o3", "a", 4)), @r#"o3 <- held ["0"] fencing 5"#);
    assert!(
        summary_lines(&harness.ended(attempt(1, 0), complete(100))).starts_with("o2 <- release")
    );
}

#[test]
fn collect_without_open_requests_raises_the_fencing_number() {
    let mut harness = harness();
    collect(&mut harness, "o2", "a", 5);
    harness.request(model_spec(1));
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 0), granted("a", 4, false))), @r"
    o1 <- release #0 a complete false blame false cancel false tokens 0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn collect_includes_the_retained_grant_of_a_broken_stream() {
    let mut harness = running();
    harness.progress(attempt(1, 0), 7);
    harness.ended(attempt(1, 0), failed(9, UpstreamError::Broken));
    assert_snapshot!(held(&collect(&mut harness, "o2", "a", 2)), @r#"o2 <- held ["0"] fencing 2"#);
}

#[test]
fn refusal_of_too_long_prompt_names_the_largest_size_that_fits() {
    let mut harness = harness();
    harness.request(model_spec(1));
    let most = |tokens| {
        denied(GrantDenial::TooLong {
            max_prompt_tokens: Tokens::new(tokens),
        })
    };
    harness.answer("o1", attempt(1, 0), most(500));
    harness.answer("o2", attempt(1, 1), most(800));
    let actions = harness.answer("o3", attempt(1, 2), most(600));
    assert_snapshot!(summary_lines(&actions), @"end refused prompt_too_long not_run");
    assert!(format!("{actions:?}").contains("send at most 800 tokens"));
}

#[test]
fn prompt_that_fits_a_busy_owner_is_refused_for_capacity() {
    let mut harness = harness();
    harness.request(model_spec(1));
    let too_long = denied(GrantDenial::TooLong {
        max_prompt_tokens: Tokens::new(500),
    });
    harness.answer("o1", attempt(1, 0), busy());
    harness.answer("o2", attempt(1, 1), too_long.clone());
    assert_snapshot!(summary_lines(&harness.answer("o3", attempt(1, 2), too_long)), @"end refused no_capacity not_run retry_after 700ms");
}

#[test]
fn learning_owners_are_asked_again_after_their_retry_delay() {
    let mut harness = harness();
    harness.request(model_spec(1));
    for (number, owner) in ["o1", "o2", "o3"].iter().enumerate() {
        let learning = denied(GrantDenial::Learning {
            retry_after_ms: Millis::new(300),
        });
        harness.answer(owner, attempt(1, number as u32), learning);
    }
    assert_snapshot!(summary_lines(&harness.advance(299)), @"table get claims-epoch");
    assert_snapshot!(summary_lines(&harness.advance(1)), @"o1 <- request #3 from 0 avoid [] resume None");
}

#[test]
fn suggested_owner_is_asked_next() {
    let mut harness = harness();
    harness.request(model_spec(1));
    let better = Some("o3".parse().expect("VM"));
    let answer = denied(GrantDenial::NotOwner { better });
    assert_snapshot!(summary_lines(&harness.answer("o1", attempt(1, 0), answer)), @"o3 <- request #1 from 0 avoid [] resume None");
}

#[test]
fn number_of_backoffs_is_bounded() {
    let mut harness = harness();
    harness.request(model_spec(1));
    let mut asked_count = 0;
    for number in 0.. {
        let Some(owner) = ["o1", "o2", "o3"].get(number as usize % 3) else {
            break;
        };
        let answer = denied(GrantDenial::NotOwner { better: None });
        let mut actions = harness.answer(owner, attempt(1, number), answer);
        asked_count += 1;
        if number % 3 == 2 {
            actions.extend(harness.advance(1_000));
        }
        if harness.entry.open_requests() == 0 {
            assert!(
                summary_lines(&actions).starts_with("end refused no_capacity not_run retry_after")
            );
            break;
        }
        assert!(number < 100, "it never ends");
    }
    // Eleven rounds of three owners each, separated by ten backoffs.
    assert_eq!(asked_count, 33);
}

#[test]
fn complete_answer_of_a_replaced_attempt_ends_the_request() {
    let mut harness = running();
    harness.advance(2_300);
    harness.answer("o1", attempt(1, 1), granted("b", 1, false));
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 0), complete(100))), @r"
    stop #1
    o1 <- release #1 b complete false blame false cancel true tokens 100
    end complete
    ");
    assert_snapshot!(summary_lines(&harness.ended(attempt(1, 1), complete(100))), @"");
}

#[test]
fn request_without_an_owner_waits_only_for_the_takeover_time() {
    let mut harness = EntryHarness::with_owners(&[], "e1", 1, RawEntrySettings::default());
    assert_snapshot!(summary_lines(&harness.request(model_spec(1))), @"");
    let mut waited_ms = 0;
    while harness.entry.open_requests() > 0 {
        let actions = harness.advance(100);
        waited_ms += 100;
        if harness.entry.open_requests() == 0 {
            assert_snapshot!(summary_lines(&actions), @"end refused unreachable not_run retry_after 1000ms");
        }
    }
    assert_eq!(waited_ms, 2_800);
}
