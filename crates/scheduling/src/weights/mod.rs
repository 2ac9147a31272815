//! How long older weights may be used after a newer target version is published.
//!
//! A node that runs while a version is published counts the time itself. A node that starts later
//! cannot know how old the version is, so the store counts for it: one node writes a grace record
//! under a lease that ends shortly before the older weights expire. While the record exists, they
//! can be used; when its lease ends, the rest of the time is known; a node that starts after that
//! finds no record and treats them as expired. This answers nodes that are killed and started
//! during a roll-out, one or all of them, however often.
//!
//! Invariant: a start of a node never extends the time for which it uses older weights.

mod history;
mod recorder;

pub use history::GraceRecord;
pub use history::VersionHistory;
pub use recorder::GraceRecorder;
pub use recorder::PendingRecord;

/// The part of the time limit for older weights that a grace record covers. The rest is left for
/// requests that wait at an engine before they start.
const RECORD_PERCENT: u64 = 80;

/// Returns how long the lease of a grace record lasts, for a limit of `limit_ms`.
pub fn record_ms(limit_ms: u64) -> u64 {
    limit_ms * RECORD_PERCENT / 100
}
