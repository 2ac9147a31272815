//! In-memory implementations of the ports with fault injection.
//!
//! They are used by tests with paused time. The store also backs the simulated platform.

mod faults;
mod memory_instances;
mod memory_store;

pub use faults::Faults;
pub use faults::WriteFault;
pub use memory_instances::MemoryInstances;
pub use memory_store::CallCounts;
pub use memory_store::MemoryStore;
pub use memory_store::MemoryWatch;
