//! The record of a service.

use std::collections::BTreeSet;

use redwingrill_routing::SoftwareVersion;

/// The versions at which open streams of a service can have begun.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct SoftwareRecord {
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether open streams may have begun at other versions, too.
    pub may_lack_versions: bool,
}

impl SoftwareRecord {
    /// Returns the version at which every open stream began; `None` if it is not known.
    pub fn only_version(&self) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.iter();
        let first = versions.next().filter(|_| !self.may_lack_versions)?;
        versions.next().is_none().then_some(first)
    }

    /// Returns the record after a change.
    pub fn with(&self, change: &RecordChange) -> Self {
        let kept = self.versions.difference(&change.removed);
        Self {
            versions: kept.chain(&change.added).cloned().collect(),
            may_lack_versions: self.may_lack_versions && !change.is_complete,
        }
    }
}

/// A change of a record.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RecordChange {
    /// Versions that upstreams list.
    pub added: BTreeSet<SoftwareVersion>,
    /// Versions that no upstream has listed for as long as a stream can last.
    pub removed: BTreeSet<SoftwareVersion>,
    /// Whether every stream that began at a version that the record lacked has ended.
    pub is_complete: bool,
}

impl RecordChange {
    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether the change only names what no longer counts, so that it can wait.
    pub fn is_cleanup(&self) -> bool {
        self.added.is_empty()
    }
}
