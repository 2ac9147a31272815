//! The gossip overlay: selection of peers, and of the nodes that watch each engine.
//!
//! Every node computes both from its member table by hashing, without communication. Each node
//! selects its successor on the ring of its failure domain and one node outside the domain, so a
//! node has four links on average, independent of the fleet size. The ring of each domain is
//! connected, and the first nodes of each domain link it to the next domain, so the whole graph is
//! connected, also across regions. The other outside links are selected by rendezvous hashing with
//! a rotation number, so that the distance between two nodes does not stay large for long.

mod peers;
mod rendezvous;
mod watchers;

pub use peers::choose_peers;
pub use rendezvous::score;
pub use watchers::WatchPlan;
pub use watchers::watchers_per_engine;
