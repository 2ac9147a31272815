//! The client accounts that share cached prompt parts with each other.

use serde::Deserialize;
use serde::Serialize;

/// The bytes of the digest of a set of names.
const DIGEST_BYTES: usize = 16;

/// The accounts that share cached prompt parts with a request.
///
/// Invariant: a part that is found within an audience was made by the reading account itself, or by
/// one that is isolated neither in the configuration of the reader nor in that of the writer. This
/// follows from the text alone: an isolated account has an audience of its own, and the common one
/// names the accounts that it excludes. So nodes need no history, and the order of configurations does
/// not matter.
///
/// Serialized like the optional account name that earlier builds send in its place.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct CacheAudience(Option<String>);

impl CacheAudience {
    /// Returns the audience of an isolated account.
    pub fn only(account: &str) -> Self {
        // Escaped, as upstreams get the text in a header, which not every name fits into.
        let name = account.bytes().map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' => char::from(byte).to_string(),
            byte => format!("_{byte:02x}"),
        });
        Self(Some(format!("/{}", name.collect::<String>())))
    }

    /// Returns the audience of all accounts but these, in any order.
    pub fn all_but<'a>(accounts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut names: Vec<&str> = accounts.into_iter().collect();
        if names.is_empty() {
            return Self::default();
        }
        names.sort_unstable();
        names.dedup();
        let mut hasher = blake3::Hasher::new();
        for name in names {
            // The length keeps one name from spelling two.
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        let digest = digest.iter().map(|byte| format!("{byte:02x}"));
        Self(Some(format!("-{}", digest.collect::<String>())))
    }

    /// Returns the text of the audience, empty if no account is left out; texts of different
    /// audiences differ.
    pub fn as_str(&self) -> &str {
        self.0.as_deref().unwrap_or_default()
    }
}
