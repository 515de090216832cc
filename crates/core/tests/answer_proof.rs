//! What a response proves about its request, by what it says and what its connection had carried.

use insta::assert_snapshot;
use persimmon_core::dispatch::{
    AnswerOrigin, AnswerVerdict, ConnectionUse, ResponseClaims, StatedRequest,
};
use proptest::prelude::*;

const CONNECTIONS: [ConnectionUse; 3] = [
    ConnectionUse::New,
    ConnectionUse::Kept,
    ConnectionUse::Repeated,
];

const STATED: [StatedRequest; 3] = [
    StatedRequest::Own,
    StatedRequest::Unstated,
    StatedRequest::Other,
];

/// What responses say: name, status, and whether they are signed, say that the request was not run, are encoded, and
/// hold another head.
const RESPONSES: [(&str, u16, [bool; 4]); 16] = [
    ("success", 200, [true, false, false, false]),
    ("unsigned success", 200, [false, false, false, false]),
    ("encoded success", 200, [true, false, true, false]),
    ("success, not run", 200, [true, true, false, false]),
    ("joined success", 200, [true, false, false, true]),
    ("failure", 500, [true, false, false, false]),
    ("unsigned failure", 500, [false, false, false, false]),
    ("failure, not run", 500, [false, true, false, false]),
    ("504", 504, [true, false, false, false]),
    ("refusal", 503, [false, true, false, false]),
    ("signed refusal", 503, [true, true, false, false]),
    ("joined refusal", 503, [false, true, false, true]),
    ("503", 503, [false, false, false, false]),
    ("misdirected", 421, [false, false, false, false]),
    ("signed 421", 421, [true, false, false, false]),
    ("bad request, not run", 400, [false, true, false, false]),
];

fn verdict(claims: &ResponseClaims) -> &'static str {
    match AnswerVerdict::of(claims) {
        AnswerVerdict::Answer => "answer",
        AnswerVerdict::Refusal => "REFUSAL",
        AnswerVerdict::Unproven(doubt) => doubt.name(),
    }
}

fn claims(status: u16, flags: [bool; 4], origin: AnswerOrigin) -> ResponseClaims {
    let [is_signed, says_not_run, is_encoded, is_joined] = flags;
    ResponseClaims {
        status,
        origin,
        is_signed,
        says_not_run,
        is_encoded,
        is_joined,
    }
}

#[test]
fn a_response_proves_what_its_origin_allows() {
    let mut lines = Vec::new();
    for connection in CONNECTIONS {
        let header = STATED.map(|stated| format!("{:17}", stated.name()));
        lines.push(format!(
            "{:21} {}",
            connection.name(),
            header.concat().trim_end()
        ));
        for (name, status, flags) in RESPONSES {
            let verdicts = STATED.map(|stated| {
                let origin = AnswerOrigin { connection, stated };
                format!("{:17}", verdict(&claims(status, flags, origin)))
            });
            lines.push(format!("{name:21} {}", verdicts.concat().trim_end()));
        }
    }
    assert_snapshot!(lines.join("\n"));
}

proptest! {
    /// Guards against a request that counts as not run by a response that may be another request's (TWICE).
    #[test]
    fn only_a_first_response_or_one_with_the_requests_id_refuses(
        status in 100_u16..600,
        flags: [bool; 4],
        connection in prop::sample::select(CONNECTIONS.to_vec()),
        stated in prop::sample::select(STATED.to_vec()),
    ) {
        let claims = claims(status, flags, AnswerOrigin { connection, stated });
        if AnswerVerdict::of(&claims) == AnswerVerdict::Refusal {
            let is_first = connection == ConnectionUse::New && stated != StatedRequest::Other;
            let is_named = connection == ConnectionUse::Kept && stated == StatedRequest::Own;
            prop_assert!(is_first || is_named && !claims.is_joined);
            prop_assert!(claims.says_not_run || status == 421);
            prop_assert!(!claims.is_signed && ![200, 500, 504].contains(&status));
        }
    }
}
