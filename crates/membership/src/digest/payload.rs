//! What items carry, and its encoding.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::AccountKey;
use crate::EngineLevel;
use crate::ItemKind;
use crate::UpstreamKey;

/// The payload of one kind of item.
pub trait Payload: Serialize + DeserializeOwned + Default {
    /// The kind.
    const KIND: ItemKind;

    /// Encodes the payload.
    fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a payload has no unserialisable field")
    }

    /// Decodes a payload. An empty one is the default.
    fn decode(bytes: &[u8]) -> Result<Self, PayloadError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes).map_err(|source| PayloadError { source })
    }
}

/// The bytes are no payload of the kind.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("malformed payload: {source}"))]
pub struct PayloadError {
    source: postcard::Error,
}

/// The configuration in force at a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct InForce {
    /// The generation.
    pub generation: u64,
    /// The beginning of the manifest's hash.
    pub manifest: [u8; 8],
}

/// One start of an engine and the weights it serves, as hashes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineStart {
    /// The start.
    pub incarnation: u64,
    /// The weights version.
    pub weights: u64,
}

/// One engine that a node watches.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineWatch {
    /// The engine.
    pub engine: UpstreamKey,
    /// What the engine last said that it is; none before the first answer and while it does not
    /// answer.
    pub start: Option<EngineStart>,
}

/// The engines that a node watches.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct WatchList {
    /// Changes with the list, and ties [`Levels`] to it.
    pub tag: u8,
    /// The engines.
    pub engines: Vec<EngineWatch>,
}

/// The loads of the engines of a [`WatchList`], in its order.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct EngineLevels {
    /// The tag of the watch list.
    pub tag: u8,
    /// The loads.
    pub levels: Vec<EngineLevel>,
}

/// The use of one client account at a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HeavyHitter {
    /// The client account.
    pub account: AccountKey,
    /// The quantised rate in tokens a second.
    pub rate_level: u8,
}

/// The client accounts that use the most tokens at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HeavyHitters {
    /// The accounts, largest first.
    pub accounts: Vec<HeavyHitter>,
}

/// The heat of one prefix at a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HotPrefix {
    /// The beginning of the prefix's hash.
    pub prefix: u32,
    /// The quantised rate of requests.
    pub rate_level: u8,
}

/// The prefixes that are asked for most at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HotPrefixes {
    /// The prefixes, hottest first.
    pub prefixes: Vec<HotPrefix>,
}

/// The upstreams that a node knows to be leaving.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct LeavingUpstreams {
    /// The upstreams in the order of keys.
    pub upstreams: Vec<UpstreamKey>,
}

impl Payload for InForce {
    const KIND: ItemKind = ItemKind::InForce;
}

impl Payload for WatchList {
    const KIND: ItemKind = ItemKind::WatchList;
}

impl Payload for EngineLevels {
    const KIND: ItemKind = ItemKind::EngineLevels;
}

impl Payload for HeavyHitters {
    const KIND: ItemKind = ItemKind::HeavyHitters;
}

impl Payload for HotPrefixes {
    const KIND: ItemKind = ItemKind::HotPrefixes;
}

impl Payload for LeavingUpstreams {
    const KIND: ItemKind = ItemKind::LeavingUpstreams;
}
