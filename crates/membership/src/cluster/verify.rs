//! Invariant checks of the state machine.

use std::collections::BTreeSet;

use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use super::state::Cluster;
use crate::ItemKind;
use crate::Link;
use crate::MemberState;
use crate::NodeKey;
use crate::Version;

/// A violated invariant.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum Violation {
    /// The node's own record differs from its record in the member table.
    #[snafu(display("the member table has a different record of this node"))]
    OwnRecord,
    /// The node's own state is suspect or dead.
    #[snafu(display("the node's own state is {state:?}"))]
    OwnState {
        /// The state.
        state: MemberState,
    },
    /// A peer is recorded as having a newer version than the digest.
    #[snafu(display("a peer has {version:?} of {origin:?} {kind:?}, newer than the digest"))]
    PeerAhead {
        /// The origin.
        origin: NodeKey,
        /// The kind.
        kind: ItemKind,
        /// The version.
        version: Version,
    },
    /// Two outbound links have the same address.
    #[snafu(display("two outbound links to the same address"))]
    DuplicateLink,
    /// The newest known generation is below one in the digest.
    #[snafu(display("newest generation {newest} is below {stored} in the digest"))]
    Generation {
        /// The newest known generation.
        newest: u64,
        /// The generation in the digest.
        stored: u64,
    },
}

impl Cluster {
    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] found.
    pub fn verify(&self) -> Result<(), Violation> {
        self.verify_own()?;
        let outbound = self.outbound.values().map(|link| &link.link);
        let inbound = self.inbound.values().map(|link| &link.link);
        for link in outbound.chain(inbound) {
            self.verify_link(link)?;
        }
        let addresses: BTreeSet<_> = self.outbound.values().map(|link| link.address).collect();
        ensure!(addresses.len() == self.outbound.len(), DuplicateLinkSnafu);
        self.verify_generation()
    }

    fn verify_own(&self) -> Result<(), Violation> {
        let stored = self.members.get(self.key).context(OwnRecordSnafu)?;
        ensure!(*stored == self.own_record, OwnRecordSnafu);
        let state = self.own_record.state;
        ensure!(state < MemberState::Suspect, OwnStateSnafu { state });
        Ok(())
    }

    fn verify_link(&self, link: &Link) -> Result<(), Violation> {
        for (origin, kind, version) in link.known_versions() {
            let is_forgotten = !self.members.contains(origin);
            let stored = self.digest.get(origin, kind).map_or(Version::default(), |i| i.version);
            ensure!(version <= stored || is_forgotten, PeerAheadSnafu { origin, kind, version });
        }
        Ok(())
    }

    fn verify_generation(&self) -> Result<(), Violation> {
        let newest = self.newest.generation;
        for origin in self.digest.origins() {
            let in_force: Option<crate::InForce> = self.digest.payload(origin);
            let stored = in_force.map_or(0, |in_force| in_force.generation);
            ensure!(stored <= newest, GenerationSnafu { newest, stored });
        }
        Ok(())
    }
}
