//! The fingerprint that identifies whether two requests with the same key are identical.

use serde::Deserialize;
use serde::Serialize;

/// A hash over the method, path with query, content type and body of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Hashes the parts of a request.
    pub fn of(method: &str, path_and_query: &str, content_type: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path_and_query.as_bytes(), content_type.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}
