//! Ports that decode and encode the platform's header names and data formats.

use http::HeaderMap;
use snafu::Snafu;

use crate::AttemptMetadata;
use crate::Configuration;
use crate::RequestMetadata;
use crate::ResponseMetadata;
use crate::Upstream;
use crate::WeightsVersion;
use crate::WriteOrder;

/// Why external data could not be decoded.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
#[snafu(display("{what}: {reason}"))]
pub struct DecodeError {
    /// What was decoded.
    pub what: String,
    /// Why decoding failed.
    pub reason: String,
}

/// Encodes and decodes request and response heads.
pub trait HeadCodec: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if a required field is missing or malformed.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, DecodeError>;

    /// Removes hop-by-hop headers and headers that callers may not set.
    fn sanitize_request(&self, headers: &mut HeaderMap);

    /// Adds the headers of one attempt for the upstream to those that the caller sent.
    fn encode_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata);

    /// Decodes the head of an upstream's response.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Removes hop-by-hop headers of the upstream's connection.
    fn sanitize_response(&self, headers: &mut HeaderMap);
}

/// The kind of a store item.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ItemKind<'a> {
    /// The configuration.
    Configuration,
    /// The target version of a model's weights.
    TargetVersion,
    /// A live upstream with this identity.
    Upstream(&'a str),
    /// An item of the router itself, with the part of the key after the router's prefix.
    Own(&'a str),
    /// Any other item.
    Foreign,
}

/// Decodes the items of the store.
pub trait ItemCodec: Send + Sync + 'static {
    /// Returns the kind of an item from its key.
    fn kind_of<'a>(&self, key: &'a str) -> ItemKind<'a>;

    /// Returns the full key of one of the router's own items.
    fn own_key(&self, suffix: &str) -> String;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the value is invalid; the previous configuration stays in force.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Decodes a live upstream.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the entry does not describe a usable upstream.
    fn decode_upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, DecodeError>;

    /// Returns the place of a write among those of its writer; `None` if the value does not state
    /// one, so that only the order of the store is known.
    fn write_order(&self, key: &str, value: &[u8]) -> Option<WriteOrder>;

    /// Decodes the target version of a model's weights.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the entry does not contain a version.
    fn decode_target_version(&self, value: &[u8]) -> Result<(String, WeightsVersion), DecodeError>;
}
