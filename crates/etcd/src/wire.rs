//! The messages of the etcd v3 JSON gateway that the router uses.
//!
//! Keys and values are base64 text. 64-bit integers are decimal strings, and zero is omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use redwingrill_ports::Change;
use redwingrill_ports::Entry;
use redwingrill_ports::Revision;
use redwingrill_ports::StoreError;

/// Bytes, encoded as base64 text in JSON.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Base64Bytes(pub Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

impl From<&str> for Base64Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// A 64-bit integer, encoded as a decimal string in JSON. Plain numbers are accepted as well.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct DecimalString(pub i64);

impl Serialize for DecimalString {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for DecimalString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

impl From<Revision> for DecimalString {
    fn from(revision: Revision) -> Self {
        Self(i64::try_from(revision.0).unwrap_or(i64::MAX))
    }
}

impl TryFrom<DecimalString> for Revision {
    type Error = StoreError;

    fn try_from(number: DecimalString) -> Result<Self, StoreError> {
        let revision = u64::try_from(number.0);
        let negative = |_| StoreError::Malformed { reason: "negative revision".to_owned() };
        revision.map(Self).map_err(negative)
    }
}

/// Reads or deletes a range of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range (exclusive). If absent, the range is `key` alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
}

/// The keys of a range.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The entries in key order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// One entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64Bytes,
    /// The value.
    #[serde(default)]
    pub value: Base64Bytes,
    /// The store's revision at the last write of the entry.
    #[serde(default)]
    pub mod_revision: DecimalString,
}

impl TryFrom<KeyValue> for Entry {
    type Error = StoreError;

    fn try_from(kv: KeyValue) -> Result<Self, StoreError> {
        let key = String::from_utf8(kv.key.0);
        let key = key.map_err(|e| StoreError::Malformed { reason: e.to_string() })?;
        let revision = kv.mod_revision.try_into()?;
        Ok(Self { key, value: Bytes::from(kv.value.0), revision })
    }
}

/// A transaction: runs one of two lists of operations, depending on comparisons.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// The comparisons that must all hold for `success` to run.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// The operations to run if all comparisons hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// The operations to run otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// One comparison for equality.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Base64Bytes,
    /// `MOD` or `CREATE`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// The revision of the last write, for the target `MOD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<DecimalString>,
    /// The revision of the creation, for the target `CREATE`. Zero means that the key is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<DecimalString>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestOp {
    /// Write a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Read a range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Delete a range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Writes a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Bytes,
    /// The value.
    #[serde(default)]
    pub value: Base64Bytes,
    /// The lease, or zero for none.
    #[serde(default)]
    pub lease: DecimalString,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The response header.
    #[serde(default)]
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// One response for each operation that ran.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The response to one operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResponseOp {
    /// The response to a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The header of a response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision.
    #[serde(default)]
    pub revision: DecimalString,
}

/// Grants a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// The time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: DecimalString,
}

/// Identifies a lease: a renewal request, or the response to a grant or renewal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// The identifier of the lease.
    #[serde(rename = "ID", default)]
    pub id: DecimalString,
    /// The time to live in seconds. Zero or absent after the lease expired.
    #[serde(rename = "TTL", default)]
    pub ttl_s: DecimalString,
}

/// The wrapper of each message of a streamed response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The range and the first revision to watch.
    pub create_request: WatchCreate,
}

/// The parameters of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchCreate {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range (exclusive).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
    /// The first revision. Zero means changes from now on.
    #[serde(default)]
    pub start_revision: DecimalString,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Set on the first message.
    #[serde(default)]
    pub created: bool,
    /// Set if the store ended the watch.
    #[serde(default)]
    pub canceled: bool,
    /// The oldest revision that the store retains, if the watch requested an older one.
    #[serde(default)]
    pub compact_revision: DecimalString,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchEvent {
    /// `DELETE` for a deletion; `PUT` or absent for a write.
    #[serde(rename = "type", default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// The entry.
    pub kv: KeyValue,
}

impl TryFrom<WatchEvent> for Change {
    type Error = StoreError;

    fn try_from(event: WatchEvent) -> Result<Self, StoreError> {
        let entry = Entry::try_from(event.kv)?;
        match event.kind.as_deref() {
            None | Some("PUT") => Ok(Self::Put(entry)),
            Some("DELETE") => Ok(Self::Delete { key: entry.key, revision: entry.revision }),
            Some(other) => Err(StoreError::Malformed { reason: format!("event type {other:?}") }),
        }
    }
}

/// Returns the end of the range of all keys with a prefix: the prefix up to its last byte that is
/// not 0xff, with that byte incremented.
pub fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return Base64Bytes(end);
        }
    }
    // etcd defines this range end as "all keys from `key` on".
    Base64Bytes(vec![0])
}
