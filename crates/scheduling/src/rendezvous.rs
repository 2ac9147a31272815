//! Rendezvous hashing: nodes that know the same names derive the same order of them for a subject,
//! without messages, and a name that is added or removed moves no other one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a name for a subject; the highest score comes first.
pub(crate) fn score(subject: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), subject)
}
