//! The typed view of the cluster at one revision of the store.

mod builder;
mod departures;
mod node_items;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use redwingrill_routing::Configuration;
use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::turns::Contender;
use redwingrill_scheduling::turns::rank;
use redwingrill_scheduling::weights::GraceRecord;

pub use builder::ClusterViewBuilder;
pub use node_items::GRACE_PREFIX;
pub use node_items::GraceItem;
pub use node_items::MEMBER_PREFIX;
pub use node_items::Member;
pub use node_items::QUARANTINE_PREFIX;
pub use node_items::ROLLOUT_LEADER_KEY;
pub use node_items::RolloutLeader;

/// The target version of a model's weights.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TargetVersion {
    /// The version.
    pub version: WeightsVersion,
    /// The target version before, as far as this node knows.
    pub previous: WeightsVersion,
    /// Whether this node learned of the version as it was published. Otherwise the version was
    /// published at some time before: the node has just started, or had no contact.
    pub is_observed: bool,
}

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
    pub target_versions: HashMap<String, TargetVersion>,
    /// The grace records of each model's target versions.
    pub grace_records: HashMap<String, Vec<GraceRecord>>,
    /// The nodes, sorted by name.
    pub members: Vec<Member>,
    /// The node that leads the roll-out.
    pub rollout_leader: Option<RolloutLeader>,
    /// The quarantined parts of prompts.
    pub quarantined: Vec<PartKey>,
    /// Quarantined parts whose records vanished while the store was unavailable: only their leases
    /// ran out.
    pub lapsed_quarantines: Vec<PartKey>,
}

impl ClusterView {
    /// Returns the rank of a node among the members, in the order of turns at duties.
    pub fn rank_of(&self, node: &str) -> usize {
        rank(node, self.members.iter().map(Contender::from))
    }

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

    /// Returns whether the listed engines have more than one version of their software.
    pub fn has_several_software_versions(&self) -> bool {
        let engines = self.upstreams.iter().filter(|upstream| !upstream.models.is_empty());
        let mut versions = engines.map(|engine| &engine.software);
        versions.next().is_some_and(|first| versions.any(|other| other != first))
    }

    /// Returns the number of ready engines with older weights of a model than its target version.
    pub fn outdated_engines(&self, model: &str) -> usize {
        let Some(target) = self.target_versions.get(model) else { return 0 };
        let ready = self.upstreams.iter().filter(|u| u.state == UpstreamState::Ready);
        let versions = ready.filter_map(|upstream| upstream.version_of(model));
        versions.filter(|version| *version < target.version).count()
    }

    /// Returns whether an engine has older weights than the target version.
    pub fn needs_target_version(&self, upstream: &Upstream) -> bool {
        upstream.models.iter().any(|(model, version)| {
            self.target_versions.get(model).is_some_and(|target| *version < target.version)
        })
    }
}
