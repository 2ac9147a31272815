//! The messages between the nodes that begin, own and look up streams.

use serde::Deserialize;
use serde::Serialize;

use super::Recollection;
use super::StreamKey;
use super::StreamOrigin;

/// A message between nodes.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams that the sender began and the receiver owns.
    Begun(Vec<BegunStreams>),
    /// The sender looks up a stream.
    Query(StreamKey),
    /// What the sender remembers of a stream.
    Answer {
        /// The stream.
        key: StreamKey,
        /// What it remembers.
        recollection: Recollection,
    },
}

/// Streams of one origin.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct BegunStreams {
    /// The origin.
    pub origin: StreamOrigin,
    /// The streams.
    pub keys: Vec<StreamKey>,
}
