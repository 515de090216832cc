//! What owners answer, collect and take over.

mod entry_common;

use entry_common::{attempt, busy, complete, failed, granted, lines, member, model_spec, Bench};
use insta::assert_snapshot;
use persimmon_core::{
    entry::RawEntrySettings,
    ids::FencingNumber,
    message::{GrantAnswer, GrantDenial, GrantMessage, PeerMessage},
    request::UpstreamError,
    units::{Millis, Tokens},
    Action,
};

fn bench() -> Bench {
    Bench::new(RawEntrySettings::default())
}

/// A bench whose request 1 runs at `a`, granted by `o1`.
fn running() -> Bench {
    let mut bench = bench();
    bench.request(model_spec(1));
    bench.answer("o1", attempt(1, 0), granted("a", 1, false));
    bench
}

fn denied(denial: GrantDenial) -> GrantAnswer {
    GrantAnswer::Denied(denial)
}

fn collect(bench: &mut Bench, owner: &str, upstream: &str, fencing: u64) -> Vec<Action> {
    let message = GrantMessage::Collect {
        upstreams: vec![upstream.parse().expect("upstream")],
        fencing: FencingNumber::new(fencing),
    };
    let from = member(owner, 2);
    bench.run(|entry, ctx, view| entry.on_message(ctx, view, &from, message))
}

/// What was told of held grants: attempts, and the highest fencing number.
fn held(actions: &[Action]) -> String {
    let told = actions.iter().filter_map(|action| match action {
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
    told.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_new_owner_gets_the_grants_and_their_ends() {
    let mut bench = running();
    assert_snapshot!(held(&collect(&mut bench, "o2", "b", 9)), @"o2 <- held [] fencing 9");
    assert_snapshot!(held(&collect(&mut bench, "o2", "a", 2)), @r#"o2 <- held ["0"] fencing 2"#);
    assert_snapshot!(lines(&bench.ended(attempt(1, 0), complete(100))), @r"
    o2 <- release #0 a complete true blame false cancel false tokens 100
    end complete
    ");
}

#[test]
fn an_older_owner_collects_in_vain() {
    let mut bench = running();
    collect(&mut bench, "o2", "a", 5);
    assert_snapshot!(held(&collect(&mut bench, "o3", "a", 4)), @r#"o3 <- held ["0"] fencing 5"#);
    assert!(lines(&bench.ended(attempt(1, 0), complete(100))).starts_with("o2 <- release"));
}

#[test]
fn a_collect_counts_where_nothing_is_open() {
    let mut bench = bench();
    collect(&mut bench, "o2", "a", 5);
    bench.request(model_spec(1));
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 0), granted("a", 4, false))), @r"
    o1 <- release #0 a complete false blame false cancel false tokens 0
    o2 <- request #1 from 0 avoid [] resume None
    ");
}

#[test]
fn a_kept_stream_is_collected_too() {
    let mut bench = running();
    bench.progress(attempt(1, 0), 7);
    bench.ended(attempt(1, 0), failed(9, UpstreamError::Broken));
    assert_snapshot!(held(&collect(&mut bench, "o2", "a", 2)), @r#"o2 <- held ["0"] fencing 2"#);
}

#[test]
fn too_long_a_prompt_is_told_the_size_that_fits() {
    let mut bench = bench();
    bench.request(model_spec(1));
    let most = |tokens| {
        denied(GrantDenial::TooLong {
            max_prompt_tokens: Tokens::new(tokens),
        })
    };
    bench.answer("o1", attempt(1, 0), most(500));
    bench.answer("o2", attempt(1, 1), most(800));
    let actions = bench.answer("o3", attempt(1, 2), most(600));
    assert_snapshot!(lines(&actions), @"end refused prompt_too_long not_run");
    assert!(format!("{actions:?}").contains("send at most 800 tokens"));
}

#[test]
fn a_prompt_that_fits_somewhere_busy_is_not_too_long() {
    let mut bench = bench();
    bench.request(model_spec(1));
    let too_long = denied(GrantDenial::TooLong {
        max_prompt_tokens: Tokens::new(500),
    });
    bench.answer("o1", attempt(1, 0), busy());
    bench.answer("o2", attempt(1, 1), too_long.clone());
    assert_snapshot!(lines(&bench.answer("o3", attempt(1, 2), too_long)), @"end refused no_capacity not_run retry_after 700ms");
}

#[test]
fn learning_owners_are_asked_again() {
    let mut bench = bench();
    bench.request(model_spec(1));
    for (number, owner) in ["o1", "o2", "o3"].iter().enumerate() {
        let learning = denied(GrantDenial::Learning {
            retry_after_ms: Millis::new(300),
        });
        bench.answer(owner, attempt(1, number as u32), learning);
    }
    assert_snapshot!(lines(&bench.wait(299)), @"table get claims-epoch");
    assert_snapshot!(lines(&bench.wait(1)), @"o1 <- request #3 from 0 avoid [] resume None");
}

#[test]
fn a_better_owner_is_asked_next() {
    let mut bench = bench();
    bench.request(model_spec(1));
    let better = Some("o3".parse().expect("VM"));
    let answer = denied(GrantDenial::NotOwner { better });
    assert_snapshot!(lines(&bench.answer("o1", attempt(1, 0), answer)), @"o3 <- request #1 from 0 avoid [] resume None");
}

#[test]
fn pauses_end() {
    let mut bench = bench();
    bench.request(model_spec(1));
    let mut asked_count = 0;
    for number in 0.. {
        let Some(owner) = ["o1", "o2", "o3"].get(number as usize % 3) else {
            break;
        };
        let answer = denied(GrantDenial::NotOwner { better: None });
        let mut actions = bench.answer(owner, attempt(1, number), answer);
        asked_count += 1;
        if number % 3 == 2 {
            actions.extend(bench.wait(1_000));
        }
        if bench.entry.open_requests() == 0 {
            assert!(lines(&actions).starts_with("end refused no_capacity not_run retry_after"));
            break;
        }
        assert!(number < 100, "it never ends");
    }
    // Ten pauses, three owners each time.
    assert_eq!(asked_count, 33);
}

#[test]
fn a_whole_answer_of_an_abandoned_attempt_counts() {
    let mut bench = running();
    bench.wait(2_300);
    bench.answer("o1", attempt(1, 1), granted("b", 1, false));
    assert_snapshot!(lines(&bench.ended(attempt(1, 0), complete(100))), @r"
    stop #1
    o1 <- release #1 b complete false blame false cancel true tokens 100
    end complete
    ");
    assert_snapshot!(lines(&bench.ended(attempt(1, 1), complete(100))), @"");
}

#[test]
fn a_request_without_an_owner_waits_for_a_hand_over_only() {
    let mut bench = Bench::before(&[], "e1", 1, RawEntrySettings::default());
    assert_snapshot!(lines(&bench.request(model_spec(1))), @"");
    let mut waited_ms = 0;
    while bench.entry.open_requests() > 0 {
        let actions = bench.wait(100);
        waited_ms += 100;
        if bench.entry.open_requests() == 0 {
            assert_snapshot!(lines(&actions), @"end refused unreachable not_run retry_after 1000ms");
        }
    }
    assert_eq!(waited_ms, 2_800);
}
