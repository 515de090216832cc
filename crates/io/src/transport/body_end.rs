//! Checks that the body of a response is whole when it ends.

use super::{
    exchange::{connection_limits, lost, target, Outcome, Outgoing},
    reply::Reply,
    signals::Signals,
    silence::{wait_reporting_stalls, Patience},
    EventStream,
};
use http::{header, response, HeaderValue};
use hyper::body::{Body, Incoming};
use persimmon_core::dispatch::{BodyContent, BodyEnd, BodyFraming, BrokenOff, EndVerdict};

/// Transfer coding whose last chunk ends a body.
const CHUNKED: &[u8] = b"chunked";

/// What a streamed body has brought. On a streaming route, a body of another type is whole by its framing only.
pub(super) fn stream_content(
    events: &EventStream,
    framing: BodyFraming,
    has_events: bool,
) -> BodyContent {
    let has_partial = events.partial_len() > 0;
    if has_partial && framing == BodyFraming::Stated && !has_events {
        BodyContent::Opaque
    } else if has_partial {
        BodyContent::PartOfEvent
    } else if events.has_new_event() {
        BodyContent::NewEvents
    } else {
        BodyContent::NoNewEvent
    }
}

/// What marks the end of a response's body, as the HTTP library reads it.
pub(super) fn framing(head: &response::Parts, body: &Incoming) -> BodyFraming {
    let codings = head.headers.get_all(header::TRANSFER_ENCODING);
    let last = codings.iter().next_back().map(HeaderValue::as_bytes);
    let coding = last.and_then(|codings| codings.rsplit(|byte| *byte == b',').next());
    let is_chunked = coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(CHUNKED));
    if body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked {
        BodyFraming::Stated
    } else {
        BodyFraming::Connection
    }
}

/// Checks that a body which has ended is whole.
pub(super) async fn confirm_whole(
    out: &Outgoing<'_>,
    reply: &mut Reply,
    end: BodyEnd,
    signals: Signals<'_>,
) -> Result<(), Outcome> {
    let broken_off = match end.verdict() {
        EndVerdict::Whole => return Ok(()),
        EndVerdict::BrokenOff(broken_off) => broken_off,
        EndVerdict::Unconfirmed => {
            let patience = Patience::unchecked(out.plan.deadline_ms.duration());
            let target = target(out);
            let check = out.pool.has_ended(&target, connection_limits(out));
            if !wait_reporting_stalls(reply, patience, signals, check).await? {
                return Ok(());
            }
            BrokenOff::UpstreamEnded
        }
    };
    Err(lost(broken_off.name()).into())
}
