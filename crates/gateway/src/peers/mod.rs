//! What nodes tell each other: news of the store, for those that it does not answer.

mod ask;
mod serve;
mod service;

pub use ask::ask_peer;
pub use serve::PeerServer;
