//! Identifiers of requests.

use std::fmt;

/// The identifier that the router gives to one caller's request. It is random, so identifiers of
/// different nodes differ without any exchange.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct RequestId(u128);

impl RequestId {
    /// Makes a new identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the identifier of one leg of the request, as engines see it.
    pub fn attempt_id(self, number: u32) -> String {
        format!("{self}-{number}")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:032x}", self.0)
    }
}
