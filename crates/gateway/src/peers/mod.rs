//! What nodes tell each other: news of the store, for those that it does not answer, and their
//! requests at the upstreams.

mod ask;
mod gossip;
mod serve;
mod service;

pub use ask::PeerLink;
pub use ask::ask_peer;
pub use gossip::Gossip;
pub use serve::PeerServer;
pub use service::NewsAnswer;
pub use service::StoreView;
