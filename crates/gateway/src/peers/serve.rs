//! Answering the questions of peers.

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

use super::NewsAnswer;
use super::service::PeerNews;
use super::service::frames;
use crate::accept::accept;
use crate::news::NewsReader;
use redwingrill_routing::Revision;
use redwingrill_transport::Postcard;
use redwingrill_transport::enable_dead_peer_detection;

/// The longest wait that a peer may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Answers peers on one listener.
#[derive(Debug)]
pub struct PeerServer {
    listener: TcpListener,
    news: NewsReader,
    tasks: TaskTracker,
}

#[derive(Clone)]
struct Answers {
    news: NewsReader,
}

impl PeerNews for Answers {
    async fn update_after(self, _: Context, revision: u64, wait_ms: u64) -> Option<NewsAnswer> {
        let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
        self.news.update_after(Revision(revision), wait).await
    }
}

impl PeerServer {
    /// Makes a server.
    pub fn new(listener: TcpListener, news: NewsReader) -> Self {
        Self { listener, news, tasks: TaskTracker::new() }
    }

    /// Runs until `stopping`, and joins the connections.
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
        let framed = Framed::new(stream, frames());
        let transport = tarpc::serde_transport::new(framed, Postcard::default());
        let answers = Answers { news: self.news.clone() };
        let requests = BaseChannel::with_defaults(transport).execute(answers.serve());
        self.tasks.spawn(async move {
            tokio::select! {
                () = requests.for_each(|answer| answer) => {}
                () = stopping.cancelled() => {}
            }
        });
    }
}
