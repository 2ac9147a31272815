//! Handling of calls from peers.

use std::future::Future;

use crate::PeerConnection;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;

/// Handles the calls of peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Responds to an exchange. `caller` can be used to call the peer back.
    fn exchange(
        &self,
        caller: &PeerConnection,
        link: LinkId,
        frame: Frame,
    ) -> impl Future<Output = ExchangeResponse> + Send;

    /// Starts the next exchange on a link now.
    fn nudge(&self, link: LinkId) -> impl Future<Output = ()> + Send;

    /// Returns the encoded manifest of the configuration in force, if there is one.
    fn manifest(&self) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Returns the configuration chunk with a hash, if it is available.
    fn chunk(&self, hash: [u8; 32]) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Executes a ledger request. None means that the request was not executed.
    fn ledger(&self, request: Vec<u8>) -> impl Future<Output = Option<Vec<u8>>> + Send;
}
