//! The server for calls from peers.

use std::time::Duration;

use futures::StreamExt;
use log::debug;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::StoreUpdateResponse;
use super::service::StoreUpdates;
use super::service::frame_codec;
use crate::accept::accept;
use crate::store_sync::StoreReader;
use redwingrill_routing::Revision;
use redwingrill_transport::Postcard;
use redwingrill_transport::enable_dead_peer_detection;

/// The limit of the wait that a peer may request.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Serves peers on one listening socket.
#[derive(Debug)]
pub struct PeerServer {
    listener: TcpListener,
    reader: StoreReader,
    tasks: TaskTracker,
}

#[derive(Clone)]
struct UpdateService {
    reader: StoreReader,
}

impl StoreUpdates for UpdateService {
    async fn update_after(self, _: Context, _: u64, _: u64) -> Option<StoreUpdateResponse> {
        None
    }

    async fn changes_after(self, _: Context, _: u64, _: u64) -> Option<StoreUpdateResponse> {
        None
    }

    async fn updates_since(
        self,
        _: Context,
        revision: u64,
        wait_ms: u64,
    ) -> Option<StoreUpdateResponse> {
        let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
        self.reader.update_after(Revision::from_u64(revision), wait).await
    }
}

impl PeerServer {
    /// Creates a server.
    pub fn new(listener: TcpListener, reader: StoreReader) -> Self {
        Self { listener, reader, tasks: TaskTracker::new() }
    }

    /// Runs until `stopping` is cancelled, then joins the connections.
    pub async fn run(self, stopping: CancellationToken) {
        while let Some(stream) = accept(&self.listener, &stopping, "peer_accept_failed").await {
            self.serve(stream, stopping.clone());
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn serve(&self, stream: TcpStream, stopping: CancellationToken) {
        if let Err(e) = enable_dead_peer_detection(&stream) {
            debug!("event=peer_socket_option_failed reason={:?}", e.to_string());
        }
        let framed = Framed::new(stream, frame_codec());
        let transport = tarpc::serde_transport::new(framed, Postcard::default());
        let service = UpdateService { reader: self.reader.clone() };
        let requests = BaseChannel::with_defaults(transport).execute(service.serve());
        self.tasks.spawn(async move {
            tokio::select! {
                () = requests.for_each(|response| response) => {}
                () = stopping.cancelled() => {}
            }
        });
    }
}
