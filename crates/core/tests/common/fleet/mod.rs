//! Owners, routers and modelled engines of one failure domain in virtual time.

#![allow(unused_imports)]

mod engine;
mod figures;
mod workload;
mod world;

pub(crate) use engine::EngineMake;
pub(crate) use figures::Figures;
pub(crate) use workload::{Arrival, Mix};
pub(crate) use world::{Asked, Fate, Policy, Setup, World};
