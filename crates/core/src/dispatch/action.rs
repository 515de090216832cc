//! What the dispatcher wants done.

use super::{DispatchMessage, DispatchRecord, Refusal, ReserveOrder, SendPlan};
use crate::{
    catalog::CallerLimits,
    ids::{CallId, VmId},
    watch::WatchCall,
};

/// One output of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a call to an upstream and pass its answer on.
    Send(Box<SendPlan>),
    /// Pass the failure that an upstream answered with on to the caller.
    PassFailure {
        /// The call.
        call: CallId,
    },
    /// Refuse a call, or give it up. Whatever is under way for it is cut.
    Refuse {
        /// The call.
        call: CallId,
        /// The last word.
        refusal: Refusal,
    },
    /// End an answer that has begun and can't be finished, so that it does not look whole.
    AbortAnswer {
        /// The call.
        call: CallId,
    },
    /// Tell peers about work; to one of them, or to all.
    Notify {
        /// The peer; absent for all.
        to: Option<VmId>,
        /// What.
        message: DispatchMessage,
    },
    /// Give an engine an order about a reservation.
    Order(ReserveOrder),
    /// Ask the store.
    ReadStore(WatchCall),
    /// Limits of callers came into force.
    Limits(CallerLimits),
    /// Whether the daemon takes new callers.
    Ready(bool),
    /// Ask callers to open their next connections elsewhere.
    DisableKeepAlive,
    /// Close connections as soon as they are idle.
    CloseIdleConnections,
    /// Write a log line.
    Log(Box<DispatchRecord>),
    /// All is done after a stop: exit.
    Exit,
}
