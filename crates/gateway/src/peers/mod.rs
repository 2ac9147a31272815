//! Communication between nodes: store updates, by calls over TCP, and load digests, by datagrams.

mod client;
mod decode_failures;
mod gossip;
mod server;
mod service;

pub use client::PeerClient;
pub use client::fetch_peer_update;
pub use gossip::Gossip;
pub use server::PeerServer;
pub use service::StoreStatus;
pub use service::StoreUpdateResponse;
