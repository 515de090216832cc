//! Owners, routers and modelled engines of one failure domain in virtual time.

#![allow(unused_imports)]

mod engine;
mod figures;
mod workload;
mod world;

pub(crate) use engine::EngineMake;
pub(crate) use figures::Figures;
pub(crate) use persimmon_core::routing::RoutingPolicy as Policy;
pub(crate) use workload::{Arrival, Mix};
pub(crate) use world::{Asked, Fate, Setup, World};
