//! The items that nodes write to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use redwingrill_admission::limits::fleet::QuotaMember;
use redwingrill_routing::Era;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::software_versions::SoftwareRecord;
use redwingrill_scheduling::turns::Contender;
use redwingrill_scheduling::weights::GraceRecord;

/// The key prefix of members, followed by the node's name.
pub const MEMBER_PREFIX: &str = "members/";

/// The key of the roll-out's leader.
pub const ROLLOUT_LEADER_KEY: &str = "rollout/holder";

/// The key prefix of grace records, followed by the model and the version.
pub const GRACE_PREFIX: &str = "grace/";

/// The key prefix of quarantined parts, followed by the part.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// The key prefix of the records of software versions, followed by the service.
pub const SOFTWARE_PREFIX: &str = "software/";

/// A live node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The name of the node.
    pub name: String,
    /// The TCP address for calls from peers.
    pub address: SocketAddr,
    /// The UDP address for datagrams from peers.
    pub gossip: SocketAddr,
    /// The failure domain of the node.
    pub failure_domain: String,
    /// The rate of its network link in megabits per second.
    pub link_mbps: u64,
}

impl From<&Member> for GroupNode {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            failure_domain: member.failure_domain.clone(),
            link_mbps: member.link_mbps,
            address: member.gossip,
        }
    }
}

impl From<&Member> for QuotaMember {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            failure_domain: member.failure_domain.clone(),
            link_mbps: member.link_mbps,
            address: member.gossip,
        }
    }
}

impl<'a> From<&'a Member> for Contender<'a> {
    fn from(member: &'a Member) -> Self {
        Self {
            name: &member.name,
            failure_domain: &member.failure_domain,
            link_mbps: member.link_mbps,
        }
    }
}

/// The node that leads the roll-out.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RolloutLeader {
    /// The name of the node.
    pub name: String,
    /// The address for peers of its instance; no two instances have the same.
    #[serde(default)]
    pub instance: Option<SocketAddr>,
    /// Distinguishes successive leaderships of the same node.
    #[serde(rename = "tenure")]
    pub leadership_id: u64,
    /// The era of the store in which the record was written. A record of an earlier era comes from
    /// a copy, and another instance may have led since.
    #[serde(default)]
    pub era: u64,
    /// Whether the instance has waited for its predecessor and sends commands.
    #[serde(default)]
    pub has_commanded: bool,
    /// The identities of the engines that are commanded to load new weights.
    pub loading: Vec<String>,
}

/// A grace record as it lies in the store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GraceItem {
    /// The era of the store in which the record was written. One of an earlier era comes from a
    /// copy: its lease may have ended before, and does not tell the age of the version.
    #[serde(default)]
    pub era: u64,
    /// The model.
    pub model: String,
    /// The target version before.
    pub previous: u64,
    /// The target version.
    pub version: u64,
}

impl GraceItem {
    /// Creates the item of a model's record.
    pub fn new(model: &str, record: GraceRecord, era: Era) -> Self {
        let (previous, version) = (record.previous.0, record.version.0);
        Self { era: era.0, model: model.to_owned(), previous, version }
    }
}

impl From<&GraceItem> for GraceRecord {
    fn from(item: &GraceItem) -> Self {
        Self { previous: WeightsVersion(item.previous), version: WeightsVersion(item.version) }
    }
}

/// The record of a service's software versions as it lies in the store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SoftwareItem {
    /// The era of the store in which the record was written. One of an earlier era comes from a copy,
    /// which may lack versions.
    pub era: u64,
    /// The versions at which open streams can have begun.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether open streams may have begun at other versions, too.
    pub may_lack_versions: bool,
}

impl SoftwareItem {
    /// Creates the item of a record.
    pub fn new(record: SoftwareRecord, era: Era) -> Self {
        let SoftwareRecord { versions, may_lack_versions } = record;
        Self { era: era.0, versions, may_lack_versions }
    }

    /// Returns the record; `None` if it is of another era of the store than `era`.
    pub fn into_record(self, era: Era) -> Option<SoftwareRecord> {
        let Self { era: written_era, versions, may_lack_versions } = self;
        (Era(written_era) == era).then_some(SoftwareRecord { versions, may_lack_versions })
    }
}
