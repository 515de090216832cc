//! Gives callers tickets: idempotency keys that work while the store is down.

use super::answer::HttpCaller;
use crate::traffic::{Caller, CallerDisconnected, Command, TrafficHub};
use persimmon_core::{
    ids::RequestId,
    request::{FinalResponse, Refusal, RefusalCode},
    Event,
};
use serde_json::json;
use std::time::Duration;

/// Longest wait for a ticket.
const WAIT: Duration = Duration::from_secs(5);

/// Asks the core for a ticket and gives it to the caller.
pub(super) fn give(
    hub: &TrafficHub,
    request: RequestId,
    caller: &mut HttpCaller,
) -> Result<(), CallerDisconnected> {
    let commands = hub.open(request);
    hub.send_event(Event::TicketRequested { request });
    let answer = commands.recv_timeout(WAIT);
    hub.close_request(request);
    match answer {
        Ok(Command::Ticket(key)) => {
            let body = json!({"key": key}).to_string();
            caller.whole(200, "application/json", &[], body.as_bytes())
        }
        Ok(Command::End(FinalResponse::Refused(refusal))) => caller.refuse(&refusal),
        _ => caller.refuse(&Refusal::not_run(
            RefusalCode::NotReady,
            "this daemon gives no ticket now: ask another daemon",
        )),
    }
}
