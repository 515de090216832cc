//! The assembler restores the order of chunks that are reordered, duplicated or from old attempts.

use bytes::Bytes;
use persimmon_core::{
    ids::{AttemptId, AttemptNumber, RequestId},
    stream::{AssembleError, Assembler, PushOutcome},
    units::Tokens,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn attempt(request: u128, number: u32) -> AttemptId {
    AttemptId {
        request: RequestId::new(request),
        number: AttemptNumber::new(number),
    }
}

fn chunk(request: u128, offset: u64) -> Bytes {
    format!("{request}-{offset} ").into()
}

fn push(answer: &mut Assembler, from: AttemptId, offset: u64, chunk: Bytes) -> PushOutcome {
    let pushed = answer.push(from, Tokens::new(offset), chunk);
    pushed.expect("within bounds")
}

fn config(seed: u64) -> Config {
    Config {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(6))]

    /// Chunks of two attempts and of another request, reordered and duplicated, yield the answer
    /// once.
    #[test]
    fn reordered_chunks_yield_the_whole_answer(
        len in 1u64..60,
        cut in 0u64..60,
        order in prop::collection::vec((0u64..60, 0u32..3), 0..400),
    ) {
        let cut = cut.min(len);
        let mut answer = Assembler::new(attempt(1, 0));
        let mut text = Vec::new();
        let mut pop_all = |answer: &mut Assembler| {
            while let Some((_, chunk)) = answer.pop() {
                text.extend_from_slice(&chunk);
            }
        };
        for offset in 0..cut {
            push(&mut answer, attempt(1, 0), offset, chunk(1, offset));
            pop_all(&mut answer);
        }
        prop_assert!(answer.begin(attempt(1, 1)));
        for (offset, source) in order.iter().filter(|(offset, _)| *offset < len) {
            let from = [attempt(1, 1), attempt(1, 0), attempt(2, 1)][*source as usize];
            let owner = if *source == 2 { 2 } else { 1 };
            push(&mut answer, from, *offset, chunk(owner, *offset));
            pop_all(&mut answer);
        }
        answer.finish(attempt(1, 1), Tokens::new(len)).expect("end");
        for offset in (0..len).rev() {
            push(&mut answer, attempt(1, 1), offset, chunk(1, offset));
        }
        pop_all(&mut answer);
        let whole: Vec<u8> = (0..len).flat_map(|offset| chunk(1, offset)).collect();
        prop_assert_eq!(text, whole);
        prop_assert!(answer.is_complete());
    }
}

#[test]
fn an_answer_with_a_gap_is_not_complete() {
    let mut answer = Assembler::new(attempt(1, 0));
    push(&mut answer, attempt(1, 0), 1, chunk(1, 1));
    answer.finish(attempt(1, 0), Tokens::new(2)).expect("end");
    assert_eq!(answer.pop(), None);
    assert!(!answer.is_complete());
    push(&mut answer, attempt(1, 0), 0, chunk(1, 0));
    assert_eq!(answer.pop().map(|(at, _)| at.get()), Some(0));
    assert!(!answer.is_complete());
    assert_eq!(answer.pop().map(|(at, _)| at.get()), Some(1));
    assert!(answer.is_complete());
}

#[test]
fn contradictions_end_the_attempt() {
    let mut answer = Assembler::new(attempt(1, 0));
    push(&mut answer, attempt(1, 0), 4, chunk(1, 4));
    let end = Tokens::new(3);
    let offset = Tokens::new(4);
    let low = answer.finish(attempt(1, 0), end);
    assert_eq!(low, Err(AssembleError::EndTooLow { end, offset }));
    answer.finish(attempt(1, 0), Tokens::new(5)).expect("end");
    let after = answer.push(attempt(1, 0), Tokens::new(5), chunk(1, 5));
    assert!(matches!(after, Err(AssembleError::AfterEnd { .. })));
    assert!(!answer.begin(attempt(2, 9)));
}

#[test]
fn buffered_chunks_are_bounded() {
    let mut answer = Assembler::new(attempt(1, 0));
    let mut taken = 0;
    let error = loop {
        match answer.push(attempt(1, 0), Tokens::new(taken + 1), chunk(1, taken)) {
            Ok(_) => taken += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(taken, 1024);
    let missing = Tokens::ZERO;
    assert_eq!(error, AssembleError::BufferFull { missing });
    assert_eq!(
        push(&mut answer, attempt(1, 0), 0, chunk(1, 0)),
        PushOutcome::Ready
    );
}
