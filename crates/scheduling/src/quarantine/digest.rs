//! What nodes tell each other about suspect parts.
//!
//! Times are ages in milliseconds at the time of sending: clocks of nodes are not compared. An age
//! makes up for no delay on the way, so times that were received are late by it.

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;
use super::RequestTag;
use crate::fleet::UpstreamTag;

/// A suspect attempt of the sending node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SuspectDigest {
    /// Unique in one run of the node.
    pub id: u32,
    /// The engine whose connection broke.
    pub engine: UpstreamTag,
    /// The request.
    pub request: RequestTag,
    /// The age of the assignment.
    pub sent_age_ms: u32,
    /// The age of the break.
    pub broken_age_ms: u32,
    /// The shared parts of the prompt.
    pub parts: Vec<PartKey>,
}

/// The evidence and the quarantined parts of one node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// The node's own suspect attempts, newest first.
    pub suspects: Vec<SuspectDigest>,
    /// Suspected parts with the age of the node's last completed answer.
    pub completed: Vec<(PartKey, u32)>,
    /// Engines that lived on after a break, with the ages of the begin and the end of an answer.
    pub survivals: Vec<(UpstreamTag, u32, u32)>,
    /// Quarantined parts, with the rest of their time in milliseconds.
    pub quarantined: Vec<(PartKey, u32)>,
}

/// Returns the age of a time for a digest.
pub(super) fn age_ms(at_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
