//! The task that owns a layout and calls the store and peers.
//!
//! One task per node serves all services. Requests send it messages through a [`Ledger`] handle.
//! The task ends when all handles are dropped and their operations are complete, so a parent can
//! join it.
//!
//! If a peer owns the shard of an operation, the operation is forwarded to it: a single writer per
//! shard fills larger batches and avoids conflicts. Ownership is a hint. If the owner does not
//! respond in time, the operation is applied locally as well, which is safe because operations on a
//! record are idempotent.

mod clock;
mod config;
mod handle;
mod message;
mod owners;
mod runner;
mod running;
mod state;
mod store_calls;

pub use clock::WallClock;
pub use config::LedgerConfig;
pub use handle::Ledger;
pub use handle::OutcomeWrite;
pub use owners::ForwardError;
pub use owners::LocalOwner;
pub use owners::ShardOwners;
pub use runner::LedgerTask;
pub use running::Admission;
pub use running::AdmissionRequest;
pub use state::LedgerCounters;
pub use state::LedgerState;
