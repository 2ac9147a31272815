//! The ledger of calls that run at most once.
//!
//! An order is a call of a service that may not be repeated. Its caller names it with an
//! Idempotency-Key. The ledger records the order in the platform's store before the order is sent,
//! so that every node finds the record, whatever became of the node that wrote it.
//!
//! The parts, from the inside out:
//!
//! - [`record`]: what is kept of an order, and the one function that changes it;
//! - [`layout`]: where records lie in the store: one key an order, or pages shared by many. Both are
//!   state machines without I/O behind one trait;
//! - [`task`]: the task that owns a layout and speaks with the store and with peers;
//! - [`order`]: the life cycle of one order, as typestate.
//!
//! Safety rests on compare-and-swap alone. Only the attempt whose swap put its identifier into the
//! record may send, it sends once, and an attempt that gave up never sends. Homes, timeouts and
//! clocks only decide how soon an answer comes, with one exception that [`layout::paged`] states.

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
