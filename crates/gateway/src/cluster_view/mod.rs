//! The typed view of the cluster at one revision of the store.

mod builder;
mod departures;
mod node_items;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use redwingrill_routing::Configuration;
use redwingrill_routing::Revision;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::software_versions::ServiceSoftware;
use redwingrill_scheduling::software_versions::SoftwareRecord;
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
pub use node_items::SOFTWARE_PREFIX;
pub use node_items::SoftwareItem;

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
    /// The records of software versions of this era of the store, by service.
    pub software_records: HashMap<String, SoftwareRecord>,
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

    /// Returns the number of ready engines with older weights of a model than its target version.
    pub fn outdated_engines(&self, model: &str) -> usize {
        let Some(target) = self.target_versions.get(model) else { return 0 };
        let ready = self.upstreams.iter().filter(|u| u.state == UpstreamState::Ready);
        let versions = ready.filter_map(|upstream| upstream.version_of(model));
        versions.filter(|version| *version < target.version).count()
    }

    /// Returns what is seen of the software of each service that serves streams.
    pub fn software(&self) -> HashMap<String, ServiceSoftware> {
        let Some(configuration) = &self.configuration else { return HashMap::new() };
        let mut services: HashMap<String, ServiceSoftware> = HashMap::new();
        for service in configuration.stream_services() {
            let record = self.software_records.get(service).cloned();
            let seen = ServiceSoftware { record, ..ServiceSoftware::default() };
            services.insert(service.to_owned(), seen);
        }
        for upstream in &self.upstreams {
            if let Some(seen) = services.get_mut(&upstream.service) {
                seen.listed.extend(upstream.software.clone());
            }
        }
        services
    }

    /// Returns the upstreams that may get requests: a version that the record of its service lacks
    /// is not used yet, so that other nodes can rely on the record.
    pub fn recorded_upstreams(&self) -> Vec<Arc<Upstream>> {
        let recorded = self.upstreams.iter().filter(|upstream| self.is_recorded(upstream));
        recorded.cloned().collect()
    }

    fn is_recorded(&self, upstream: &Upstream) -> bool {
        match (self.software_records.get(&upstream.service), &upstream.software) {
            (None, _) => true,
            (Some(record), Some(software)) => record.versions.contains(software),
            (Some(_), None) => false,
        }
    }

    /// Returns whether open streams of a service can have begun at several versions.
    pub fn has_several_software_versions(&self) -> bool {
        let mut listed: HashMap<&str, &Option<SoftwareVersion>> = HashMap::new();
        let is_mixed = self.upstreams.iter().any(|upstream| {
            let first = listed.entry(&upstream.service).or_insert(&upstream.software);
            **first != upstream.software
        });
        let mut records = self.software_records.values();
        let mut seen = self.software().into_values();
        is_mixed
            || records.any(|record| record.only_version().is_none())
            || seen.any(|seen| seen.record.is_none() && !seen.listed.is_empty())
    }

    /// Returns whether an engine has older weights than the target version.
    pub fn needs_target_version(&self, upstream: &Upstream) -> bool {
        upstream.models.iter().any(|(model, version)| {
            self.target_versions.get(model).is_some_and(|target| *version < target.version)
        })
    }
}
