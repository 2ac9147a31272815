//! The times and bounds of a quarantine.

/// How long a part is held, which is the longest lease of the platform. After it the part may be
/// tried again.
pub const QUARANTINE_MS: u64 = 600_000;

/// How long a suspect attempt counts.
pub(super) const EVIDENCE_AGE_LIMIT_MS: u64 = 60_000;

/// The generations at which a part is quarantined, and those of a part with a completed answer on
/// record.
pub(super) const GENERATIONS: usize = 3;
pub(super) const CLEARED_GENERATIONS: usize = 5;

/// How long after a completed answer a part is not quarantined: a part that crashes engines has
/// none, while a sound one among engines that end by turns has one now and then.
pub(super) const CLEARED_MS: u64 = 30_000;

/// The distinct requests that a quarantine rests on, at least.
pub(super) const REQUESTS: usize = 2;

/// How long after a break the attempt of the next generation is sent, at least: breaks of one
/// moment are seen at slightly different times, and their ages are rounded up by the transit of
/// digests.
pub(super) const GENERATION_GAP_MS: u64 = 150;

/// Breaks at one engine within this time have one cause.
pub(super) const SAME_BREAK_MS: u64 = 1_000;

/// An engine lived on if it completed an answer this long after a break.
pub(super) const SURVIVAL_MARGIN_MS: u64 = 300;

/// How often the digest of a node repeats a piece of evidence to each other node.
pub(super) const REPEATED_ROUNDS: u64 = 10;

/// The time that the other nodes have to report completed answers of a part, beyond the two rounds
/// of digests that a report takes.
pub(super) const HEARING_MARGIN_MS: u64 = 300;

/// How long reports of peers that a part is quarantined are ignored after the store lifted it.
pub(super) const LIFTED_MS: u64 = 30_000;

/// The maximum delay between two counts.
pub(super) const COUNT_PERIOD_MS: u64 = 50;

/// The bounds of tables and digests.
pub(super) const SUSPECTS_LIMIT: usize = 1_024;
pub(super) const COMPLETED_LIMIT: usize = 4_096;
pub(super) const SPANS_LIMIT: usize = 2_048;
pub(super) const HELD_LIMIT: usize = 256;
pub(super) const PARTS_PER_ATTEMPT_LIMIT: usize = 32;
pub(super) const DIGEST_PARTS_LIMIT: usize = 128;
pub(super) const DIGEST_SUSPECTS_LIMIT: usize = 24;
pub(super) const DIGEST_COMPLETED_LIMIT: usize = 32;
pub(super) const DIGEST_SPANS_LIMIT: usize = 16;
pub(super) const DIGEST_HELD_LIMIT: usize = 16;

/// The lines about new evidence in a second.
pub(super) const SUSPECT_EVENTS_PER_S: usize = 10;
