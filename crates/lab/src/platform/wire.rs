//! Messages of the etcd v3 JSON gateway, as far as a router needs them.

use serde::Deserialize;
use serde::Serialize;

use super::number;
use redwingrill_etcd::wire::Base64Bytes;

/// The header of each reply.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Header {
    /// The store's revision.
    #[serde(with = "number")]
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64Bytes,
    /// The value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Base64Bytes>,
    /// The revision of the last write.
    #[serde(with = "number")]
    pub mod_revision: i64,
}

/// Reads a key, or the keys up to `range_end`.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range, exclusive; empty for the one key.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64Bytes,
}

/// The answer to a [`RangeRequest`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct RangeReply {
    /// The header.
    pub header: Header,
    /// The entries found.
    pub kvs: Vec<KeyValue>,
    /// How many were found.
    #[serde(with = "number")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Bytes,
    /// The value.
    pub value: Base64Bytes,
    /// The lease that deletes the key, or zero.
    #[serde(with = "number")]
    pub lease: i64,
}

/// What a comparison looks at.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Deserialize)]
pub enum Target {
    /// The number of writes since the key was made.
    #[default]
    #[serde(rename = "VERSION")]
    Version,
    /// The revision at which the key was made.
    #[serde(rename = "CREATE")]
    Create,
    /// The revision of the last write.
    #[serde(rename = "MOD")]
    Mod,
    /// The value.
    #[serde(rename = "VALUE")]
    Value,
}

/// How a comparison compares.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Deserialize)]
pub enum Comparison {
    /// Equal.
    #[default]
    #[serde(rename = "EQUAL")]
    Equal,
    /// Greater.
    #[serde(rename = "GREATER")]
    Greater,
    /// Less.
    #[serde(rename = "LESS")]
    Less,
    /// Not equal.
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

/// One condition of a transaction.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Base64Bytes,
    /// What it looks at.
    pub target: Target,
    /// How it compares.
    pub result: Comparison,
    /// The number of writes to compare with.
    #[serde(with = "number")]
    pub version: i64,
    /// The first revision to compare with.
    #[serde(with = "number", alias = "createRevision")]
    pub create_revision: i64,
    /// The last revision to compare with.
    #[serde(with = "number", alias = "modRevision")]
    pub mod_revision: i64,
}

/// One operation of a transaction.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A write.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// A read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// A deletion.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<RangeRequest>,
}

/// A transaction.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// What to do if all hold.
    pub success: Vec<RequestOp>,
    /// What to do otherwise.
    pub failure: Vec<RequestOp>,
}

/// The answer to one operation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub enum ResponseOp {
    /// Of a write.
    #[serde(rename = "response_put")]
    Put {
        /// The header.
        header: Header,
    },
    /// Of a read.
    #[serde(rename = "response_range")]
    Range(RangeReply),
    /// Of a deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteReply),
}

/// The answer to a [`TxnRequest`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct TxnReply {
    /// The header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// The answers to the operations.
    pub responses: Vec<ResponseOp>,
}

/// The answer to a deletion.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct DeleteReply {
    /// The header.
    pub header: Header,
    /// How many keys were deleted.
    #[serde(with = "number")]
    pub deleted: i64,
}

/// Opens a watch.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The keys and the first revision.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The keys and the first revision of a watch.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Base64Bytes,
    /// The end of the range, exclusive.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64Bytes,
    /// The first revision, or zero for changes from now on.
    #[serde(with = "number", alias = "startRevision")]
    pub start_revision: i64,
}

/// One message of a watch.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct WatchReply {
    /// The header.
    pub header: Header,
    /// Whether the watch was just opened.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the watch ended.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The oldest revision still held, if the watch asked for an older one.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

fn is_zero(value: &i64) -> bool {
    *value == 0
}

/// The kind of a change; a write is the default and left out.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub enum EventKind {
    /// A write.
    #[serde(rename = "PUT")]
    Put,
    /// A deletion.
    #[serde(rename = "DELETE")]
    Delete,
}

/// One change.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Event {
    /// The kind.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key, with its value if it was written.
    pub kv: KeyValue,
}

/// A message of a stream.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Grants or renews a lease.
#[derive(Clone, PartialEq, Eq, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The time to live in seconds.
    #[serde(rename = "TTL", with = "number")]
    pub ttl_s: i64,
    /// The lease.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
}

/// A lease granted or renewed.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct LeaseReply {
    /// The header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
    /// The time to live in seconds; zero if the lease is gone.
    #[serde(rename = "TTL", with = "number")]
    pub ttl_s: i64,
}
