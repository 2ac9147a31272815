//! In-memory implementations of the ports with switchable faults.
//!
//! The fakes serve tests with paused time, and the store also backs the platform stand-in.

mod faults;
mod memory_instances;
mod memory_store;

pub use faults::Faults;
pub use faults::WriteFault;
pub use memory_instances::MemoryInstances;
pub use memory_store::CallCounts;
pub use memory_store::MemoryStore;
pub use memory_store::MemoryWatch;
