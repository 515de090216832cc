//! What a plan needs to know beside the configuration.

use crate::{
    ids::{Generation, UpstreamId},
    message::Member,
};
use std::collections::BTreeMap;

/// What a plan needs to know beside the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Requests in flight, as far as known here.
    pub in_flight: BTreeMap<UpstreamId, u32>,
    /// Live members with the generation last heard from each.
    pub members: Vec<(Member, Generation)>,
}
