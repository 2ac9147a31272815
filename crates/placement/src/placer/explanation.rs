//! The explanation of a placement that is not made.

use super::cost::PlacementCost;
use super::types::Placement;
use redwingrill_entity::UpstreamId;

/// Where a prompt would be placed, and why.
#[derive(Clone, PartialEq, Debug)]
pub struct PlacementExplanation {
    /// The placement that would be made.
    pub placement: Option<Placement>,
    /// All engines of the model.
    pub engines: Vec<PlacementOption>,
}

/// One engine of a model.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PlacementOption {
    /// The engine.
    pub upstream: UpstreamId,
    /// Whether it failed the request before.
    pub is_excluded: bool,
    /// Whether it may receive the request.
    pub is_available: bool,
    /// The cost; `None` if the decision does not compare it by cost.
    pub cost: Option<PlacementCost>,
}
