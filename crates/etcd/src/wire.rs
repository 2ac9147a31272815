//! Messages of the etcd v3 JSON gateway, as far as the router uses them.
//!
//! Keys and values are base64 text; 64-bit integers are decimal strings, and zero is left out.

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

/// Bytes that are base64 text in JSON.
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

/// A 64-bit integer that is a decimal string in JSON; plain numbers are accepted too.
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

/// Asks for a range of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range (exclusive); without it, only `key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
}

/// The keys of a range.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The entries in the order of keys.
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
    /// The store's revision at the last write.
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

/// A transaction: one of two lists of operations, by the outcome of comparisons.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// What must hold for `success` to run.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// The operations if all comparisons hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// The operations otherwise.
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
    /// For the target `MOD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<DecimalString>,
    /// For the target `CREATE`; zero stands for an absent key.
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
    /// The lease, or zero.
    #[serde(default)]
    pub lease: DecimalString,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// One answer for each operation that ran.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The answer to one operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ResponseOp {
    /// The answer to a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The header of an answer.
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

/// Names a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// The lease.
    #[serde(rename = "ID", default)]
    pub id: DecimalString,
    /// The time to live in seconds; zero or absent after it lapsed.
    #[serde(rename = "TTL", default)]
    pub ttl_s: DecimalString,
}

/// The answer to a renewal, as a streamed call wraps it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchCreate {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range (exclusive).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
    /// The first revision; zero for changes from now on.
    #[serde(default)]
    pub start_revision: DecimalString,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Set on the first message.
    #[serde(default)]
    pub created: bool,
    /// Set when the store ended the watch.
    #[serde(default)]
    pub canceled: bool,
    /// The oldest revision held, when the watch asked for an older one.
    #[serde(default)]
    pub compact_revision: DecimalString,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchEvent {
    /// `DELETE`; absent or `PUT` for a write.
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

/// Returns the end of the range of all keys with a prefix: the prefix with its last byte that is
/// not 0xff raised by one.
pub fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return Base64Bytes(end);
        }
    }
    // The published convention for "all keys from here on".
    Base64Bytes(vec![0])
}
