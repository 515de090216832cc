//! Simulation of owners, routers and engines of one failure domain, in virtual time.

#![allow(unused_imports)]

mod engine;
mod simulation;
mod statistics;
mod workload;

pub(crate) use engine::EngineParams;
pub(crate) use persimmon_core::routing::RoutingPolicy as Policy;
pub(crate) use simulation::{Outcome, RequestRecord, Setup, Simulation};
pub(crate) use statistics::Statistics;
pub(crate) use workload::{Arrival, Mix};
