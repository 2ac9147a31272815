//! What the node believes of the world, typed, at one revision of the store.

mod builder;
mod node_items;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use redwingrill_routing::Configuration;
use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;

pub use builder::ClusterViewBuilder;
pub use node_items::MEMBER_PREFIX;
pub use node_items::Member;
pub use node_items::ROLLOUT_LEADER_KEY;
pub use node_items::RolloutLeader;

/// What the node believes.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Every change of the store up to here is contained.
    pub complete_to: Revision,
    /// The configuration in force; `None` until one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// The live upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
    /// The version that was named for each model.
    pub named_versions: HashMap<String, WeightsVersion>,
    /// The nodes.
    pub members: Vec<Member>,
    /// The node that holds the roll-out.
    pub rollout: Option<RolloutLeader>,
}

impl ClusterView {
    /// Returns the identities of the engines that take new weights now. The holder of the roll-out
    /// names those that it has ordered; they are done once they list the version that was named.
    pub fn loading(&self) -> HashSet<String> {
        let Some(leader) = &self.rollout else { return HashSet::new() };
        let loading = leader.loading.iter();
        let upstreams =
            loading.filter_map(|id| self.upstreams.iter().find(|upstream| upstream.id == *id));
        let outdated = upstreams.filter(|upstream| self.needs_named_version(upstream));
        outdated.map(|upstream| upstream.id.clone()).collect()
    }

    /// Returns whether an engine holds older weights than those that were named.
    pub fn needs_named_version(&self, upstream: &Upstream) -> bool {
        upstream.models.iter().any(|(model, version)| {
            self.named_versions.get(model).is_some_and(|named| version < named)
        })
    }
}
