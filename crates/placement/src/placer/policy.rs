//! The placement policies.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A placement policy. All but the last are baselines for comparison.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A random available engine.
    Random,
    /// The engine with the fewest requests.
    LeastLoaded,
    /// The engine that the longest prefix before the last message hashes to.
    Affinity,
    /// The engine with the lowest cost of prefill and waiting.
    #[default]
    Redwingrill,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Random, Self::LeastLoaded, Self::Affinity, Self::Redwingrill];

    /// Returns the name used in settings and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least_loaded",
            Self::Affinity => "affinity",
            Self::Redwingrill => "redwingrill",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for an unknown policy name.
#[derive(Debug, Snafu)]
#[snafu(display("{name:?} is not one of random, least_loaded, affinity, redwingrill"))]
pub struct UnknownPolicy {
    name: String,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == name);
        found.ok_or_else(|| UnknownPolicy { name: name.to_owned() })
    }
}
