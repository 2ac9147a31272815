//! Request identifiers.

use std::fmt;

/// The identifier that the router assigns to a caller's request. It is random, so that nodes need no
/// coordination to keep identifiers unique.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct RequestId(u128);

impl RequestId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the identifier of an attempt of the request, as sent to engines.
    pub fn attempt_id(self, number: u32) -> String {
        format!("{self}-{number}")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:032x}", self.0)
    }
}
