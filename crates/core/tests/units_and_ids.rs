//! Parsing, formatting and serialisation of ids and units, and saturation of sizes.

use persimmon_core::{
    ids::{AttemptId, FencingNumber, Generation, ModelVersion, RequestId, UpstreamId},
    units::{KvBytes, Millis, Time, Tokens, TokensPerSecond},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::fmt::Display;

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    }
}

fn outcome<T: Display, E: Display>(parsed: Result<T, E>) -> String {
    parsed.map_or_else(
        |error| format!("refused: {error}"),
        |value| value.to_string(),
    )
}

#[test]
fn what_is_accepted_and_why_not() {
    let long = "x".repeat(129);
    let rows = [
        outcome("taichung-a-1".parse::<UpstreamId>()),
        outcome("".parse::<UpstreamId>()),
        outcome("a b".parse::<UpstreamId>()),
        outcome(long.parse::<UpstreamId>()),
        outcome("cell-advisor@1".parse::<ModelVersion>()),
        outcome("cell-advisor".parse::<ModelVersion>()),
        outcome("@1".parse::<ModelVersion>()),
        outcome("7".parse::<Generation>()),
        outcome("-7".parse::<FencingNumber>()),
        outcome("ff".parse::<RequestId>()),
        outcome("250ms".parse::<Millis>()),
        outcome("soon".parse::<Millis>()),
        outcome("1.5s".parse::<Time>()),
        outcome("0".parse::<TokensPerSecond>()),
        outcome("NaN".parse::<TokensPerSecond>()),
        outcome("12.5".parse::<TokensPerSecond>()),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn sizes_saturate() {
    let largest = Tokens::new(u64::MAX);
    assert_eq!(largest + Tokens::new(1), largest);
    assert_eq!(
        largest.kv_bytes(KvBytes::new(131_072)),
        KvBytes::new(u64::MAX)
    );
    assert_eq!(
        Time::from_us(u64::MAX) + Millis::new(1),
        Time::from_us(u64::MAX)
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parsing_never_panics(text in ".{0,200}") {
        let _ = text.parse::<UpstreamId>();
        let _ = text.parse::<ModelVersion>();
        let _ = text.parse::<RequestId>();
        let _ = text.parse::<Time>();
        let _ = text.parse::<TokensPerSecond>();
    }

    #[test]
    fn ids_and_times_round_trip(bits in any::<u128>(), number in any::<u32>(), ms in any::<u32>()) {
        let attempt = AttemptId {
            request: RequestId::new(bits),
            number: persimmon_core::ids::AttemptNumber::new(number),
        };
        let json = serde_json::to_string(&attempt).unwrap();
        prop_assert_eq!(serde_json::from_str::<AttemptId>(&json).unwrap(), attempt);
        let time = Time::from_ms(ms.into());
        prop_assert_eq!(time.to_string().parse::<Time>().unwrap(), time);
    }
}
