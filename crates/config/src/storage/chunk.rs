//! Content-addressed chunks of records.
//!
//! Sorted records are split at boundaries that the hash of a name determines, not at fixed counts:
//! adding or removing an account moves no other boundary, so one change affects one small chunk. A
//! small deployment has one or two chunks, which a starting node fetches concurrently. Invariants:
//! a chunk's hash is that of its bytes; all chunks are far below the store's limit on value sizes.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::StorageError;
use super::record::Record;

/// The average number of records in a chunk.
const RECORDS_PER_CHUNK: u64 = 64;

/// A chunk ends once it reaches this size, regardless of the boundaries by name.
const CHUNK_LIMIT_BYTES: usize = 128 << 10;

/// The BLAKE3 hash of a chunk's bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Hashes the bytes of a chunk.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A chunk with its hash.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Chunk {
    /// The hash of the bytes.
    pub hash: ChunkHash,
    /// The encoded records.
    pub bytes: Bytes,
}

/// The encoding of a chunk; the variant is the format version.
#[derive(Serialize, Deserialize)]
enum ChunkWire {
    V1(Vec<Record>),
}

/// Splits records into chunks.
pub fn split_records(records: Vec<Record>) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    let mut current: Vec<Record> = Vec::new();
    let mut current_bytes = 0;
    for record in records {
        let full = current_bytes >= CHUNK_LIMIT_BYTES;
        if !current.is_empty() && (full || is_chunk_boundary(record.name())) {
            chunks.push(encode(std::mem::take(&mut current)));
            current_bytes = 0;
        }
        current_bytes += encoded_len(&record);
        current.push(record);
    }
    if !current.is_empty() {
        chunks.push(encode(current));
    }
    chunks
}

/// Decodes the records of a chunk.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, StorageError> {
    match postcard::from_bytes(bytes) {
        Ok(ChunkWire::V1(records)) => Ok(records),
        Err(error) => Err(StorageError::Malformed { reason: format!("chunk: {error}") }),
    }
}

fn is_chunk_boundary(name: &str) -> bool {
    let hash = blake3::hash(name.as_bytes());
    let head: [u8; 8] = hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes");
    u64::from_le_bytes(head).is_multiple_of(RECORDS_PER_CHUNK)
}

fn encode(records: Vec<Record>) -> Chunk {
    let bytes = postcard::to_stdvec(&ChunkWire::V1(records)).expect("records are serializable");
    Chunk { hash: ChunkHash::of(&bytes), bytes: bytes.into() }
}

fn encoded_len(record: &Record) -> usize {
    postcard::experimental::serialized_size(record).expect("records are serializable")
}
