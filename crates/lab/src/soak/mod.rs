//! Randomized faults against real daemons on the platform's protocol.
//!
//! A seed decides what strikes when: processes are stopped, paused and killed by signals, the links
//! to the store are cut, delayed and silenced by a loopback proxy, those to upstreams are silenced in
//! both directions and reset by the kernel with requests on their way, the store fails in its ways, and
//! upstreams misbehave, or say that they are limited, want a pause or leave. Engines of a new software
//! version replace others, and all processes are killed then. Callers go on all the while over open
//! connections, and take up streams that were interrupted. At the end all faults are healed, and what
//! callers and upstreams saw is checked against what the pages promise.

mod callers;
mod check;
mod late_writes;
mod link;
mod node;
mod plan;
mod release;
mod run;
mod signals;
mod site;

pub use callers::Answer;
pub use callers::Asked;
pub use callers::body;
pub use callers::target;
pub use check::Finding;
pub use check::check;
pub use link::Link;
pub use link::LinkState;
pub use plan::Fault;
pub use plan::Plan;
pub use run::SoakError;
pub use run::SoakOptions;
pub use run::SoakReport;
pub use run::run;
pub use signals::Signal;
pub use site::Kind;
