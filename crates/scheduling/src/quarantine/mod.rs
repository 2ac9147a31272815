//! Parts of prompts that crash engines, and their quarantine.
//!
//! A request may carry a part that ends each engine which begins to answer it. A failure that is
//! attributed to the engine alone lets the request be retried, and its kind be sent again, until
//! few engines are left. The load is a few such requests a second at any node, no two alike, beside
//! sound requests that share their account, route and other parts, and an engine takes all requests
//! that it runs down with it: each crash accuses many parts.
//!
//! ```text
//!  connection breaks ─► suspect attempt ─► generations ─► hearing ─► quarantined ─► tried again
//!                            │  ▲              │             │
//!                            ▼  │ digests      └─ cleared by a completed answer
//! ```
//!
//! Invariants:
//! - What counts is generations: attempts at distinct engines of which each was sent after the one
//!   before had broken. A mass failure, or one engine that ends under many requests, is one.
//! - A part is not quarantined by attempts before its last completed answer, by those of one
//!   request, by those at an engine that lived on, or by those that a quarantined part explains.
//! - A part with a completed answer on record needs more generations than one without, and is not
//!   quarantined for some time after the answer.
//! - A part is quarantined by a node's own count only after the other nodes had time to report
//!   completed answers.
//! - All tables are bounded, and evidence expires.

mod digest;
mod evidence;
mod generations;
mod part_key;
mod state;
mod timing;

pub use digest::QuarantineDigest;
pub use digest::SuspectDigest;
pub use evidence::BrokenAttempt;
pub use evidence::CompletedAttempt;
pub use generations::Generations;
pub use part_key::PartKey;
pub use part_key::RequestTag;
pub use part_key::ScopeTag;
pub use state::Block;
pub use state::HeldPart;
pub use state::Quarantine;
pub use state::QuarantineEvent;
pub use state::Source;
pub use timing::QUARANTINE_MS;
