//! What the control thread tells a request's traffic thread.

use persimmon_core::{
    ids::{AttemptId, IdempotencyKey, RequestId},
    request::{AttemptPlan, FinalResponse},
    Action,
};

/// What the control thread tells a request's traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to its upstream.
    Start(Box<AttemptPlan>),
    /// Stop reading an attempt's answer.
    Stop(AttemptId),
    /// Give the caller its last word.
    End(FinalResponse),
    /// Give the caller its ticket.
    Ticket(IdempotencyKey),
}

/// Where an action goes.
#[derive(Clone, Debug, PartialEq)]
pub enum ActionTarget {
    /// To a request's traffic thread.
    Request(RequestId, Command),
    /// Elsewhere.
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
