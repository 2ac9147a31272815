//! The stored encoding of records and pages: a format byte, then postcard.
//!
//! Fields and variants are encoded by position, so their order must not change.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::AttemptId;
use crate::FencingNumber;
use crate::Fingerprint;
use crate::KeyHash;
use crate::Outcome;
use crate::OutcomeBody;
use crate::layout::Page;
use crate::record::Record;
use crate::record::RecordState;

const FORMAT_VERSION: u8 = 1;

/// Why a stored value cannot be decoded.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum DecodeError {
    /// The format byte is unknown.
    #[snafu(display("unknown format"))]
    UnknownFormat,
    /// The value is truncated or corrupt.
    #[snafu(display("malformed value"))]
    Malformed,
}

#[derive(Serialize, Deserialize)]
enum BodyWire {
    Whole(Vec<u8>),
    TooLong(u64),
}

#[derive(Serialize, Deserialize)]
struct OutcomeWire {
    status: u16,
    headers: Vec<(String, String)>,
    body: BodyWire,
}

#[derive(Serialize, Deserialize)]
enum StateWire {
    Recorded,
    Void,
    Finished(OutcomeWire),
}

#[derive(Serialize, Deserialize)]
struct RecordWire {
    fingerprint: Fingerprint,
    attempt: AttemptId,
    fencing: FencingNumber,
    recorded_at_ms: u64,
    bound_to: Option<String>,
    taken_over: bool,
    state: StateWire,
}

#[derive(Serialize, Deserialize)]
struct PageWire {
    sealed: bool,
    opened_at_ms: u64,
    changed_at_ms: u64,
    records: Vec<(KeyHash, RecordWire)>,
    retired: Vec<u64>,
}

impl From<&Outcome> for OutcomeWire {
    fn from(outcome: &Outcome) -> Self {
        let body = match &outcome.body {
            OutcomeBody::Whole(bytes) => BodyWire::Whole(bytes.to_vec()),
            OutcomeBody::TooLong { length_bytes } => BodyWire::TooLong(*length_bytes),
        };
        Self { status: outcome.status, headers: outcome.headers.clone(), body }
    }
}

impl From<OutcomeWire> for Outcome {
    fn from(wire: OutcomeWire) -> Self {
        let body = match wire.body {
            BodyWire::Whole(bytes) => OutcomeBody::Whole(bytes.into()),
            BodyWire::TooLong(length_bytes) => OutcomeBody::TooLong { length_bytes },
        };
        Self { status: wire.status, headers: wire.headers, body }
    }
}

impl From<&Record> for RecordWire {
    fn from(record: &Record) -> Self {
        let state = match &record.state {
            RecordState::Recorded => StateWire::Recorded,
            RecordState::Void => StateWire::Void,
            RecordState::Finished(outcome) => StateWire::Finished(outcome.into()),
        };
        Self {
            fingerprint: record.fingerprint,
            attempt: record.attempt,
            fencing: record.fencing,
            recorded_at_ms: record.recorded_at_ms,
            bound_to: record.bound_to.as_deref().map(str::to_owned),
            taken_over: record.taken_over,
            state,
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Self {
        let state = match wire.state {
            StateWire::Recorded => RecordState::Recorded,
            StateWire::Void => RecordState::Void,
            StateWire::Finished(outcome) => RecordState::Finished(outcome.into()),
        };
        Self {
            fingerprint: wire.fingerprint,
            attempt: wire.attempt,
            fencing: wire.fencing,
            recorded_at_ms: wire.recorded_at_ms,
            bound_to: wire.bound_to.map(Into::into),
            taken_over: wire.taken_over,
            state,
        }
    }
}

impl From<&Page> for PageWire {
    fn from(page: &Page) -> Self {
        Self {
            sealed: page.sealed,
            opened_at_ms: page.opened_at_ms,
            changed_at_ms: page.changed_at_ms,
            records: page.records.iter().map(|(key, record)| (*key, record.into())).collect(),
            retired: page.retired.clone(),
        }
    }
}

impl TryFrom<PageWire> for Page {
    type Error = DecodeError;

    fn try_from(wire: PageWire) -> Result<Self, DecodeError> {
        if !wire.retired.is_sorted() || (!wire.sealed && !wire.retired.is_empty()) {
            return Err(DecodeError::Malformed);
        }
        let records = wire.records.into_iter().map(|(key, record)| (key, record.into())).collect();
        Ok(Self {
            sealed: wire.sealed,
            opened_at_ms: wire.opened_at_ms,
            changed_at_ms: wire.changed_at_ms,
            records,
            retired: wire.retired,
        })
    }
}

/// Encodes a record.
pub(crate) fn encode_record(record: &Record) -> Bytes {
    encode(&RecordWire::from(record))
}

/// Decodes a record.
pub(crate) fn decode_record(value: &[u8]) -> Result<Record, DecodeError> {
    decode::<RecordWire>(value).map(Record::from)
}

/// Encodes a page.
pub(crate) fn encode_page(page: &Page) -> Bytes {
    encode(&PageWire::from(page))
}

/// Decodes a page.
pub(crate) fn decode_page(value: &[u8]) -> Result<Page, DecodeError> {
    decode::<PageWire>(value)?.try_into()
}

fn encode(value: &impl Serialize) -> Bytes {
    let bytes = postcard::to_extend(value, vec![FORMAT_VERSION]);
    // Serializing plain data into memory cannot fail.
    Bytes::from(bytes.expect("plain data serializes into memory"))
}

fn decode<T: for<'a> Deserialize<'a>>(value: &[u8]) -> Result<T, DecodeError> {
    let (&format, rest) = value.split_first().ok_or(DecodeError::Malformed)?;
    if format != FORMAT_VERSION {
        return Err(DecodeError::UnknownFormat);
    }
    postcard::from_bytes(rest).map_err(|_| DecodeError::Malformed)
}
