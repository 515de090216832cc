//! Inputs of a plan besides the configuration.

use crate::{
    ids::{Generation, UpstreamId},
    message::Member,
};
use std::collections::BTreeMap;

/// Inputs of a plan besides the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Requests in flight per upstream, for the upstreams that this daemon owns.
    pub in_flight: BTreeMap<UpstreamId, u32>,
    /// Live members with the generation last reported by each.
    pub members: Vec<(Member, Generation)>,
}
