//! What a node does about a manifest that it sees.
//!
//! Invariant: the manifest in force is only ever replaced by one of a higher generation.

use crate::Manifest;
use crate::ManifestRelation;

/// Where a manifest was seen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Origin {
    /// In the platform's store.
    Store,
    /// At a peer.
    Peer,
}

/// What to do about it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// Nothing.
    Keep,
    /// Fetch it and put it in force.
    Adopt,
    /// Write the manifest in force back into the store, which lost it.
    WriteBack,
    /// Give what the store holds a generation above the one in force, since it was accepted later.
    Rebase,
}

/// Decides about what was seen; `None` stands for a store without a manifest.
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
