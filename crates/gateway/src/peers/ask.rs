//! Asking a peer for news.

use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::NewsAnswer;
use super::service::PeerNewsClient;
use super::service::frames;
use redwingrill_routing::Revision;
use redwingrill_transport::Postcard;
use redwingrill_transport::enable_dead_peer_detection;

/// How long one question may take beyond its wait, connecting included.
const ASK_LIMIT: Duration = Duration::from_millis(700);

/// A connection to a peer for questions.
#[derive(Clone, Debug)]
pub struct PeerLink {
    address: SocketAddr,
    client: PeerNewsClient,
}

impl PeerLink {
    /// Connects to a peer.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
            enable_dead_peer_detection(&stream)?;
            Ok::<TcpStream, std::io::Error>(stream)
        };
        let stream = match timeout(ASK_LIMIT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                debug!("event=peer_unreachable peer={address} reason={:?}", e.to_string());
                return None;
            }
            Err(_) => {
                debug!("event=peer_unreachable peer={address} reason=timeout");
                return None;
            }
        };
        let framed = Framed::new(stream, frames());
        let transport = tarpc::serde_transport::new(framed, Postcard::default());
        let client = PeerNewsClient::new(Config::default(), transport).spawn();
        Some(Self { address, client })
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks what changed after a revision; the peer waits up to `wait` for something.
    pub async fn ask(&self, after: Revision, wait: Duration) -> Option<NewsAnswer> {
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + wait + ASK_LIMIT;
        let wait_ms = wait.as_millis() as u64;
        let asked = self.client.update_after(context, after.0, wait_ms);
        match timeout(wait + ASK_LIMIT, asked).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                let (peer, reason) = (self.address, e.to_string());
                debug!("event=peer_question_failed peer={peer} reason={reason:?}");
                None
            }
            Err(_) => {
                debug!("event=peer_question_failed peer={} reason=timeout", self.address);
                None
            }
        }
    }
}

/// Asks a peer once, over a connection of its own: an old one may have gone silent.
pub async fn ask_peer(address: SocketAddr, after: Revision) -> Option<NewsAnswer> {
    PeerLink::connect(address).await?.ask(after, Duration::ZERO).await
}
