//! The calls between nodes and their encoding.

mod codec;
mod handler;
mod service;

pub(crate) use codec::transport;
pub use handler::Handler;
pub(crate) use service::PeerCalls;
pub(crate) use service::PeerCallsClient;
pub(crate) use service::Server;
