//! Commands of the control thread to the thread of a request.

use persimmon_core::{
    ids::{AttemptId, IdempotencyKey, RequestId},
    request::{AttemptPlan, FinalResponse},
    Action,
};

/// A command of the control thread to the thread of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt at its upstream.
    Start(Box<AttemptPlan>),
    /// Stop reading the answer of an attempt.
    Stop(AttemptId),
    /// End the request with this final response to the caller.
    End(FinalResponse),
    /// Send the caller its ticket.
    Ticket(IdempotencyKey),
}

/// An action of the core, sorted by who carries it out.
#[derive(Clone, Debug, PartialEq)]
pub enum ActionTarget {
    /// A command for the thread of a request.
    Request(RequestId, Command),
    /// An action for another part of the daemon.
    Other(Action),
}

impl From<Action> for ActionTarget {
    fn from(action: Action) -> Self {
        match action {
            Action::StartAttempt(plan) => Self::Request(plan.attempt.request, Command::Start(plan)),
            Action::StopAttempt { attempt } => {
                Self::Request(attempt.request, Command::Stop(attempt))
            }
            Action::EndRequest { request, end } => Self::Request(request, Command::End(end)),
            Action::Ticket { request, key } => Self::Request(request, Command::Ticket(key)),
            other => Self::Other(other),
        }
    }
}
