//! Issues tickets to callers: idempotency keys that work while the store is down.

use super::response::HttpCaller;
use crate::traffic::{Caller, CallerDisconnected, Command, TrafficHub};
use persimmon_core::{
    ids::RequestId,
    request::{FinalResponse, Refusal, RefusalCode},
    Event,
};
use serde_json::json;
use std::time::Duration;

/// Longest wait for the core to issue a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests a ticket from the core and sends it to the caller.
pub(super) fn issue(
    hub: &TrafficHub,
    request: RequestId,
    caller: &mut HttpCaller,
) -> Result<(), CallerDisconnected> {
    let commands = hub.open(request);
    hub.send_event(Event::TicketRequested { request });
    let answer = commands.recv_timeout(TICKET_TIMEOUT);
    hub.close_request(request);
    match answer {
        Ok(Command::Ticket(key)) => {
            let body = json!({"key": key}).to_string();
            caller.send_response(200, "application/json", &[], body.as_bytes())
        }
        Ok(Command::End(FinalResponse::Refused(refusal))) => caller.refuse(&refusal),
        _ => caller.refuse(&Refusal::not_run(
            RefusalCode::NotReady,
            "this daemon gives no ticket now: ask another daemon",
        )),
    }
}
