//! How long older weights may be used after a newer target version is published.
//!
//! A node that learns of a version as it is published counts the time itself. A node that starts,
//! or was suspended or without contact, learns of it later and cannot know how old it is, so the
//! store counts for it: a node that saw the publication writes a grace record under a lease that
//! ends some time before the older weights expire. While the record exists, they can be used; when
//! its lease ends, the rest of the time is known; a node that finds no record treats them as
//! expired. The load pattern: nodes are killed, started and suspended during a roll-out, one or all
//! of them, however often.
//!
//! Invariant: neither a start of a node nor a suspension extends the time for which it uses older
//! weights.

mod history;
mod recorder;

pub use history::GraceRecord;
pub use history::VersionHistory;
pub use recorder::GraceRecorder;
pub use recorder::PendingRecord;

/// The lease of a grace record in percent of the time limit. After it, a node that sees its end
/// knows the rest of the time; one that starts uses only the newest weights.
const RECORD_LEASE_PERCENT: u64 = 80;

/// Returns how long the lease of a grace record lasts, for a limit of `limit_ms`.
pub fn record_lease_ms(limit_ms: u64) -> u64 {
    limit_ms * RECORD_LEASE_PERCENT / 100
}
