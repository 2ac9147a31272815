//! Payloads of items and their encoding.

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
    /// The kind of the item.
    const KIND: ItemKind;

    /// Encodes the payload.
    fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("payload fields are serialisable")
    }

    /// Decodes a payload. Empty bytes decode to the default.
    ///
    /// # Errors
    ///
    /// Returns [`PayloadError`] if the bytes are malformed.
    fn decode(bytes: &[u8]) -> Result<Self, PayloadError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes).map_err(|source| PayloadError { source })
    }
}

/// The bytes are not a valid payload of the kind.
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
    /// The first bytes of the manifest's hash.
    pub manifest: [u8; 8],
}

/// The identity of an engine process and of the weights it serves, as hashes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineStart {
    /// The incarnation of the engine process.
    pub incarnation: u64,
    /// The weights version.
    pub weights: u64,
}

/// One engine that a node watches.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineWatch {
    /// The engine.
    pub engine: UpstreamKey,
    /// The last reported incarnation and weights; none before the first response and while the
    /// engine does not respond.
    pub start: Option<EngineStart>,
}

/// The engines that a node watches.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct WatchList {
    /// Changes with the list. [`EngineLevels`] refer to the list with the same tag.
    pub tag: u8,
    /// The engines.
    pub engines: Vec<EngineWatch>,
}

/// The loads of the engines of a [`WatchList`], in the same order.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct EngineLevels {
    /// The tag of the watch list.
    pub tag: u8,
    /// The loads.
    pub levels: Vec<EngineLevel>,
}

/// The token usage of one client account at a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HeavyHitter {
    /// The client account.
    pub account: AccountKey,
    /// The quantised rate in tokens per second.
    pub rate_level: u8,
}

/// The client accounts with the highest token usage at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HeavyHitters {
    /// The client accounts, highest rate first.
    pub accounts: Vec<HeavyHitter>,
}

/// The request rate of one prefix at a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HotPrefix {
    /// The first bytes of the prefix's hash.
    pub prefix: u32,
    /// The quantised request rate.
    pub rate_level: u8,
}

/// The most requested prefixes at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct HotPrefixes {
    /// The prefixes, highest rate first.
    pub prefixes: Vec<HotPrefix>,
}

/// The upstreams that a node knows to be leaving.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct LeavingUpstreams {
    /// The upstreams, in key order.
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
