//! What nodes tell each other: news of the store, for those that it does not answer, and their
//! requests at the upstreams.

mod client;
mod gossip;
mod server;
mod service;

pub use client::PeerClient;
pub use client::fetch_peer_update;
pub use gossip::Gossip;
pub use server::PeerServer;
pub use service::StoreStatus;
pub use service::StoreUpdateResponse;
