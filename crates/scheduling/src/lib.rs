//! Scheduling decisions of a node about requests and upstreams, without I/O.
//!
//! - [`coordination`] lets one node assign each group of engines to the prompts of all nodes.
//! - [`engine_model`] learns how long the upstreams of a service take.
//! - [`fleet`] holds the upstreams with their reported load and health.
//! - [`placement`] ranks engines for a prompt and tracks which parts are cached where.
//! - [`quarantine`] finds the parts of prompts that crash engines.
//! - [`retry_budget`] limits retries over the whole fleet.
//! - [`rollout`] decides which engines load new weights, and when.
//! - [`scheduler`] combines these: it chooses an upstream for a request, or refuses the request.
//! - [`signals`] holds what upstreams say of themselves, and limits requests accordingly.
//! - [`software_versions`] tells at which versions of their software open streams can have begun.
//! - [`stream_origins`] remembers over all nodes which version of the software began a stream.
//! - [`turns`] orders the nodes for duties that one node does for all.
//! - [`weights`] decides how long older weights may be used.
//!
//! Callers pass in the time as milliseconds of a monotonic clock, and random seeds.

pub mod coordination;
pub mod engine_model;
pub mod fleet;
pub mod placement;
pub mod quarantine;
mod recent;
mod rendezvous;
pub mod retry_budget;
pub mod rollout;
pub mod scheduler;
pub mod signals;
pub mod software_versions;
pub mod stream_origins;
pub mod turns;
pub mod weights;
