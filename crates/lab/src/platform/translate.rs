//! From gateway messages to calls of the store port.
//!
//! The port has one compare-and-swap of one key, so only transactions of that form are taken.

use bytes::Bytes;
use snafu::Snafu;

use super::wire::Compare;
use super::wire::Comparison;
use super::wire::KeyValue;
use super::wire::Target;
use super::wire::TxnRequest;
use redwingrill_etcd::wire::Base64Bytes;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;

/// Why a request cannot be carried out.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub(super) enum Unsupported {
    #[snafu(display("key is not UTF-8"))]
    Key,
    #[snafu(display("range is neither one key nor a prefix"))]
    Range,
    #[snafu(display("transaction is no compare-and-swap of one key"))]
    Txn,
}

/// What a range covers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum Keys {
    One(String),
    Prefix(String),
}

/// A transaction that the port can carry out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum Operation {
    Swap { key: String, expected: Expected, value: Bytes, lease: Option<LeaseId> },
    Delete { key: String, expected: Revision },
}

pub(super) fn text(key: &Base64Bytes) -> Result<String, Unsupported> {
    String::from_utf8(key.0.clone()).map_err(|_| Unsupported::Key)
}

pub(super) fn keys(key: &Base64Bytes, range_end: &Base64Bytes) -> Result<Keys, Unsupported> {
    let first = text(key)?;
    if range_end.0.is_empty() {
        return Ok(Keys::One(first));
    }
    // A prefix ends where its last byte is one higher; "\0" stands for all keys.
    let is_all = range_end.0 == [0] && (first.is_empty() || key.0 == [0]);
    if is_all {
        return Ok(Keys::Prefix(String::new()));
    }
    if range_end.0 == prefix_end(&key.0) {
        Ok(Keys::Prefix(first))
    } else {
        Err(Unsupported::Range)
    }
}

fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

pub(super) fn operation(txn: &TxnRequest) -> Result<Operation, Unsupported> {
    let [compare] = txn.compare.as_slice() else { return Err(Unsupported::Txn) };
    let [success] = txn.success.as_slice() else { return Err(Unsupported::Txn) };
    let key = text(&compare.key)?;
    let expected = expected(compare)?;
    if let Some(put) = &success.request_put {
        if put.key != compare.key {
            return Err(Unsupported::Txn);
        }
        let lease = (put.lease != 0).then_some(LeaseId(put.lease));
        let value = Bytes::from(put.value.0.clone());
        return Ok(Operation::Swap { key, expected, value, lease });
    }
    let same_key = |range: &super::wire::RangeRequest| range.key == compare.key;
    match (expected, &success.request_delete_range) {
        (Expected::At(expected), Some(range)) if same_key(range) => {
            Ok(Operation::Delete { key, expected })
        }
        _ => Err(Unsupported::Txn),
    }
}

fn expected(compare: &Compare) -> Result<Expected, Unsupported> {
    if compare.result != Comparison::Equal {
        return Err(Unsupported::Txn);
    }
    match (compare.target, compare.mod_revision) {
        (Target::Mod, 0) => Ok(Expected::Absent),
        (Target::Mod, at) => {
            u64::try_from(at).map(|at| Expected::At(Revision(at))).map_err(|_| Unsupported::Txn)
        }
        (Target::Create, _) if compare.create_revision == 0 => Ok(Expected::Absent),
        (Target::Version, _) if compare.version == 0 => Ok(Expected::Absent),
        _ => Err(Unsupported::Txn),
    }
}

impl From<Entry> for KeyValue {
    fn from(entry: Entry) -> Self {
        Self {
            key: Base64Bytes(entry.key.into_bytes()),
            value: Some(Base64Bytes(entry.value.to_vec())),
            mod_revision: revision_number(entry.revision),
        }
    }
}

pub(super) fn revision_number(revision: Revision) -> i64 {
    i64::try_from(revision.0).unwrap_or(i64::MAX)
}
