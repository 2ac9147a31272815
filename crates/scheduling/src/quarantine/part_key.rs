//! The identity of a part in evidence.
//!
//! A part that crashes the engines of one model may be harmless to those of another, so the key
//! includes the service and the model. It does not include the version of the weights: a version
//! that does not cure the crash would cost another series of engines, and a quarantine ends by
//! itself.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use redwingrill_routing::DeclaredPrompt;

/// A hash of a service and a model.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct ScopeTag(pub u32);

impl ScopeTag {
    /// Returns the tag of a model of a service.
    pub fn of(service: &str, model: &str) -> Self {
        Self(xxh3_64_with_seed(model.as_bytes(), xxh3_64(service.as_bytes())) as u32)
    }
}

/// A part of prompts for a model of a service, or two parts that come together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct PartKey {
    /// The service and the model.
    pub scope: ScopeTag,
    /// The identifier of the part.
    pub part: u64,
}

impl PartKey {
    /// Returns the keys of the parts of a prompt that other requests may share.
    pub fn shared_parts(service: &str, prompt: &DeclaredPrompt) -> Vec<Self> {
        let scope = ScopeTag::of(service, &prompt.model);
        prompt.shared_parts().iter().map(|part| Self { scope, part: part.id.0 }).collect()
    }
}

impl PartKey {
    /// Returns the key of two parts of one prompt, for evidence that holds against both together and
    /// against neither alone.
    pub fn joint(self, other: Self) -> Self {
        let (low, high) = (self.part.min(other.part), self.part.max(other.part));
        Self { scope: self.scope, part: xxh3_64_with_seed(&low.to_le_bytes(), high) }
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}/{:x}", self.scope.0, self.part)
    }
}

/// The error of a text that is no part key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct InvalidPartKey;

impl FromStr for PartKey {
    type Err = InvalidPartKey;

    fn from_str(text: &str) -> Result<Self, InvalidPartKey> {
        let (scope, part) = text.split_once('/').ok_or(InvalidPartKey)?;
        let scope = u32::from_str_radix(scope, 16).map_err(|_| InvalidPartKey)?;
        let part = u64::from_str_radix(part, 16).map_err(|_| InvalidPartKey)?;
        Ok(Self { scope: ScopeTag(scope), part })
    }
}

/// A hash that identifies a request and its repeats, which have the same private part.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct RequestTag(pub u32);

impl RequestTag {
    /// Returns the tag of a request with this prompt.
    pub fn of(prompt: &DeclaredPrompt) -> Self {
        let private = prompt.parts.last().map_or(0, |part| part.id.0);
        Self(xxh3_64(&private.to_le_bytes()) as u32)
    }
}
