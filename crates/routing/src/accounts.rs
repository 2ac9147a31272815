//! Client accounts.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The index of an account in the configuration's list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct AccountIndex(pub usize);

/// Identifies an account among nodes: a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AccountTag(pub u64);

impl AccountTag {
    /// Returns the tag of an account.
    pub fn of(account: &str) -> Self {
        Self(xxh3_64(account.as_bytes()))
    }
}

/// What an account's quota counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the prompt tokens and the maximum of output tokens that it declares.
    Tokens {
        /// The tokens of a request that declares none.
        undeclared_tokens: u64,
    },
}

/// The quota of an account over the whole fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AccountQuota {
    /// The sustained rate in units per second; above zero.
    pub rate_per_s: u64,
    /// The units that may be used at once beyond the rate.
    pub burst: u64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl AccountQuota {
    /// Returns the units of a request that declares these tokens, if any.
    pub fn cost(&self, declared_tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { undeclared_tokens } => declared_tokens.unwrap_or(undeclared_tokens),
        }
    }
}

/// One client account.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClientAccount {
    /// The name, unique in a configuration.
    pub name: String,
    /// The keys that callers may present.
    pub keys: Vec<String>,
    /// Takes precedence over the priority of a route; zero is the most urgent.
    pub priority: Option<u8>,
    /// Whether the account's cached prompt parts are kept apart from those of all other accounts.
    pub is_isolated: bool,
    /// The quota; `None` if the account is not limited.
    pub quota: Option<AccountQuota>,
}
