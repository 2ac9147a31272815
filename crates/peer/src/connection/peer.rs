//! A connection to a peer, and the calls on it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use quinn::Connection;
use quinn::VarInt;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::sync::OnceCell;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::error::PeerError;
use super::traffic::Meter;
use crate::Handler;
use crate::calls::PeerCalls;
use crate::calls::PeerCallsClient;
use crate::calls::Server;
use crate::calls::transport;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;

/// Application error code of a deliberate close.
const CLOSE_CODE: VarInt = VarInt::from_u32(0);

/// A connection to a peer. Clones share the connection.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    connection: Connection,
    client: Arc<OnceCell<PeerCallsClient>>,
    tasks: TaskTracker,
}

impl PeerConnection {
    /// Starts serving the peer's calls on a new connection.
    pub(crate) fn start<H: Handler>(
        connection: Connection,
        handler: H,
        meter: Meter,
        tasks: &TaskTracker,
    ) -> Self {
        meter.opened(&connection);
        let started = Self { connection, client: Arc::default(), tasks: tasks.clone() };
        let served = started.clone();
        tasks.spawn(async move {
            served.serve(handler).await;
            meter.closed(&served.connection);
        });
        started
    }

    /// Serves each stream that the peer opens, until the connection ends.
    async fn serve<H: Handler>(&self, handler: H) {
        while let Ok((send, receive)) = self.connection.accept_bi().await {
            let server = Server { handler: handler.clone(), connection: self.clone() };
            let channel = BaseChannel::with_defaults(transport(send, receive));
            let calls = channel.execute(server.serve());
            let tasks = self.tasks.clone();
            self.tasks.spawn(calls.for_each(move |call| {
                tasks.spawn(call);
                std::future::ready(())
            }));
        }
    }

    async fn client(&self) -> Result<&PeerCallsClient, PeerError> {
        let connect = async {
            let (send, receive) = self
                .connection
                .open_bi()
                .await
                .map_err(|error| PeerError::Unreachable { reason: error.to_string() })?;
            let created = PeerCallsClient::new(client::Config::default(), transport(send, receive));
            let dispatch = created.dispatch;
            // The dispatch task ends with the connection; pending calls return its error.
            self.tasks.spawn(async move { drop(dispatch.await) });
            Ok(created.client)
        };
        self.client.get_or_try_init(|| connect).await
    }

    async fn call<T>(
        &self,
        time_limit: Duration,
        call: impl AsyncFnOnce(&PeerCallsClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let mut context = context::current();
        context.deadline = Instant::now() + time_limit;
        let response = timeout(time_limit, async {
            let client = self.client().await?;
            call(client, context).await.map_err(|error| match error {
                RpcError::DeadlineExceeded => PeerError::TimedOut,
                error => PeerError::ConnectionLost { reason: error.to_string() },
            })
        });
        response.await.unwrap_or(Err(PeerError::TimedOut))
    }

    /// Exchanges the records and items that either side is missing.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; the same applies to the other calls.
    pub async fn exchange(
        &self,
        link: LinkId,
        frame: Frame,
        time_limit: Duration,
    ) -> Result<ExchangeResponse, PeerError> {
        self.call(time_limit, async |client, context| client.exchange(context, link, frame).await)
            .await
    }

    /// Asks the peer to start the next exchange on a link now.
    pub async fn nudge(&self, link: LinkId, time_limit: Duration) -> Result<(), PeerError> {
        self.call(time_limit, async |client, context| client.nudge(context, link).await).await
    }

    /// Fetches the manifest of the configuration in force at the peer.
    pub async fn manifest(&self, time_limit: Duration) -> Result<Option<Vec<u8>>, PeerError> {
        self.call(time_limit, async |client, context| client.manifest(context).await).await
    }

    /// Fetches the configuration chunk with a hash.
    pub async fn chunk(
        &self,
        hash: [u8; 32],
        time_limit: Duration,
    ) -> Result<Option<Vec<u8>>, PeerError> {
        self.call(time_limit, async |client, context| client.chunk(context, hash).await).await
    }

    /// Forwards a ledger request to the peer.
    pub async fn ledger(
        &self,
        request: Vec<u8>,
        time_limit: Duration,
    ) -> Result<Option<Vec<u8>>, PeerError> {
        self.call(time_limit, async |client, context| client.ledger(context, request).await).await
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(CLOSE_CODE, &[]);
    }
}
