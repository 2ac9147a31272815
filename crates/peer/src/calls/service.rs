//! The tarpc service. Calls are encoded by position: the order of the methods must not change.

use tarpc::context::Context;

use super::Handler;
use crate::PeerConnection;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;

/// The calls of one node to another.
#[tarpc::service]
pub(crate) trait PeerCalls {
    /// Exchanges the records and items that either side is missing.
    async fn exchange(link: LinkId, frame: Frame) -> ExchangeResponse;

    /// Asks the node that opened a link to start an exchange now.
    async fn nudge(link: LinkId);

    /// Fetches the manifest of the configuration in force.
    async fn manifest() -> Option<Vec<u8>>;

    /// Fetches the configuration chunk with a hash.
    async fn chunk(hash: [u8; 32]) -> Option<Vec<u8>>;

    /// Forwards a ledger request to the node that writes it.
    async fn ledger(request: Vec<u8>) -> Option<Vec<u8>>;
}

/// Serves the calls received on one connection.
#[derive(Clone)]
pub(crate) struct Server<H> {
    pub handler: H,
    pub connection: PeerConnection,
}

impl<H: Handler> PeerCalls for Server<H> {
    async fn exchange(self, _: Context, link: LinkId, frame: Frame) -> ExchangeResponse {
        self.handler.exchange(&self.connection, link, frame).await
    }

    async fn nudge(self, _: Context, link: LinkId) {
        self.handler.nudge(link).await;
    }

    async fn manifest(self, _: Context) -> Option<Vec<u8>> {
        self.handler.manifest().await
    }

    async fn chunk(self, _: Context, hash: [u8; 32]) -> Option<Vec<u8>> {
        self.handler.chunk(hash).await
    }

    async fn ledger(self, _: Context, request: Vec<u8>) -> Option<Vec<u8>> {
        self.handler.ledger(request).await
    }
}
