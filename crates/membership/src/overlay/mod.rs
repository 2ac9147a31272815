//! Which nodes exchange with which, and which node watches which engine.
//!
//! Every node computes both from the members it knows, by hashing, without a message. Each chooses
//! the next node on the ring of its failure domain and one node outside, so a node has four links
//! on average, whatever the size of the fleet. Each domain's ring is connected, and the first
//! nodes of each domain link it to the next domain, so the whole graph is connected too, across
//! regions as well. The other outside links are spread by rendezvous hashing and change with a
//! rotation number, so that no set of nodes stays far apart for long.

mod peers;
mod rendezvous;
mod watchers;

pub use peers::choose_peers;
pub use rendezvous::score;
pub use watchers::WatchPlan;
pub use watchers::watchers_per_engine;
