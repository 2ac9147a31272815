//! Decides how a node reacts to a manifest that it observes.
//!
//! Invariant: the manifest in force is only replaced by one of a higher generation.

use crate::Manifest;
use crate::ManifestRelation;

/// Where a manifest was observed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Origin {
    /// In the platform's store.
    Store,
    /// On a peer.
    Peer,
}

/// The reaction to an observed manifest.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// Do nothing.
    Keep,
    /// Fetch the observed manifest's chunks and put it in force.
    Adopt,
    /// Write the manifest in force back to the store, which lost it.
    WriteBack,
    /// Give the stored manifest a generation above the one in force, since it was accepted later.
    Rebase,
}

/// Decides how to react to an observed manifest. For `observed`, `None` means that the store or the
/// peer has no manifest.
pub fn decide(
    in_force: Option<&Manifest>,
    observed: Option<&Manifest>,
    origin: Origin,
) -> Decision {
    let (in_force, observed) = match (in_force, observed) {
        (None, None) => return Decision::Keep,
        (None, Some(_)) => return Decision::Adopt,
        (Some(_), None) if origin == Origin::Store => return Decision::WriteBack,
        (Some(_), None) => return Decision::Keep,
        (Some(in_force), Some(observed)) => (in_force, observed),
    };
    match (in_force.relation_of(observed), origin) {
        (ManifestRelation::Newer, _) => Decision::Adopt,
        (ManifestRelation::Older, Origin::Store) => Decision::WriteBack,
        (ManifestRelation::Forked, Origin::Store) => Decision::Rebase,
        (ManifestRelation::Same, _) | (_, Origin::Peer) => Decision::Keep,
    }
}
