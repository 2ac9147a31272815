//! The upstreams that may be chosen, what they report and how they fare.

mod health;
mod table;

pub use health::Health;
pub use health::Verdict;
pub use table::Fleet;
pub use table::FleetEntry;
pub use table::UpstreamIndex;
