//! The typed view of the cluster at one revision of the store.

mod builder;
mod node_items;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use redwingrill_routing::Configuration;
use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::quarantine::PartKey;

pub use builder::ClusterViewBuilder;
pub use node_items::MEMBER_PREFIX;
pub use node_items::Member;
pub use node_items::QUARANTINE_PREFIX;
pub use node_items::ROLLOUT_LEADER_KEY;
pub use node_items::RolloutLeader;

/// The configuration, upstreams and nodes that this node knows of.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The revision up to which every change of the store is included.
    pub complete_to: Revision,
    /// The configuration in force; `None` until one has been decoded.
    pub configuration: Option<Arc<Configuration>>,
    /// The live upstreams, and those that are retained for a while, sorted by identity.
    pub upstreams: Vec<Arc<Upstream>>,
    /// The target weights version of each model.
    pub target_versions: HashMap<String, WeightsVersion>,
    /// The nodes, sorted by name.
    pub members: Vec<Member>,
    /// The node that leads the roll-out.
    pub rollout_leader: Option<RolloutLeader>,
    /// The quarantined parts of prompts.
    pub quarantined: Vec<PartKey>,
}

impl ClusterView {
    /// Returns the identities of the engines that are loading new weights: those that the leader of
    /// the roll-out has commanded and that do not yet list the target version.
    pub fn loading(&self) -> HashSet<String> {
        let Some(leader) = &self.rollout_leader else { return HashSet::new() };
        let loading = leader.loading.iter();
        let upstreams =
            loading.filter_map(|id| self.upstreams.iter().find(|upstream| upstream.id == *id));
        let outdated = upstreams.filter(|upstream| self.needs_target_version(upstream));
        outdated.map(|upstream| upstream.id.clone()).collect()
    }

    /// Returns whether an engine has older weights than the target version.
    pub fn needs_target_version(&self, upstream: &Upstream) -> bool {
        upstream.models.iter().any(|(model, version)| {
            self.target_versions.get(model).is_some_and(|target| version < target)
        })
    }
}
