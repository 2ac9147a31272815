//! The durable record of calls that must run at most once.
//!
//! An order is a call to a service that must not be repeated. The caller identifies it with an
//! Idempotency-Key. The ledger records the order in the platform's store before sending it, so that
//! every node can find the record even if the node that wrote it fails.
//!
//! The modules, from the lowest layer up:
//!
//! - [`record`]: the record of an order and the function that applies operations to it;
//! - [`layout`]: how records are stored: one key per order, or pages of many records. Both layouts
//!   are state machines without I/O behind one trait;
//! - [`task`]: the task that owns a layout and calls the store and peers;
//! - [`order`]: the lifecycle of one order, as typestate.
//!
//! Safety depends on compare-and-swap alone. Only the attempt whose swap wrote its identifier into
//! the record may send, it sends once, and an attempt that was withdrawn never sends. Shard owners,
//! timeouts and clocks affect only latency, with one exception described in [`layout::paged`].

mod fingerprint;
mod idempotency_key;
mod ids;
mod outcome;
mod wire;

pub mod layout;
pub mod order;
pub mod record;
pub mod task;

pub use fingerprint::Fingerprint;
pub use idempotency_key::IdempotencyKey;
pub use idempotency_key::KeyError;
pub use idempotency_key::KeyTime;
pub use ids::AttemptId;
pub use ids::ClockReading;
pub use ids::FencingNumber;
pub use ids::KeyHash;
pub use ids::OrderKey;
pub use ids::ShardId;
pub use outcome::Outcome;
pub use outcome::OutcomeBody;
