//! What a node does with the calls of its peers.

use std::future::Future;

use crate::PeerConnection;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;

/// Answers the calls of peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers an exchange. The connection leads back to the caller.
    fn exchange(
        &self,
        caller: &PeerConnection,
        link: LinkId,
        frame: Frame,
    ) -> impl Future<Output = ExchangeResponse> + Send;

    /// Begins the next exchange on a link now.
    fn nudge(&self, link: LinkId) -> impl Future<Output = ()> + Send;

    /// Returns the encoded manifest of the configuration in force.
    fn manifest(&self) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Returns a chunk of configuration.
    fn chunk(&self, hash: [u8; 32]) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Carries out a request of the ledger. None means that it was not carried out.
    fn ledger(&self, request: Vec<u8>) -> impl Future<Output = Option<Vec<u8>>> + Send;
}
