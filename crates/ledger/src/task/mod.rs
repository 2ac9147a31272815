//! The task that owns a layout and speaks with the store and with peers.
//!
//! One task a node serves all services. Requests reach it as messages through a [`Ledger`] handle.
//! The task ends when all handles are gone and what they asked for is settled, so a parent can join
//! it.
//!
//! An operation goes to the home of its shard, if a peer is that home: one writer for each shard
//! fills larger batches and meets no conflicts. The home is a hint. If it does not answer in time
//! the operation is applied here as well, which the record's rules make harmless.

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
