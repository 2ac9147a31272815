//! The client for store updates from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::StoreUpdateResponse;
use super::service::StoreUpdatesClient;
use super::service::frame_codec;
use redwingrill_routing::Revision;
use redwingrill_transport::Postcard;
use redwingrill_transport::enable_dead_peer_detection;

/// The timeout for connecting, and for a call beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A connection to a peer for calls.
#[derive(Clone, Debug)]
pub struct PeerClient {
    address: SocketAddr,
    client: StoreUpdatesClient,
}

impl PeerClient {
    /// Connects to a peer; `None` if that fails, which is logged.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            enable_dead_peer_detection(&stream)?;
            Ok::<TcpStream, std::io::Error>(stream)
        };
        let stream = match timeout(CALL_TIMEOUT, connect).await {
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
        let framed = Framed::new(stream, frame_codec());
        let transport = tarpc::serde_transport::new(framed, Postcard::default());
        let client = StoreUpdatesClient::new(Config::default(), transport).spawn();
        Some(Self { address, client })
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the changes after a revision; the peer waits up to `wait` for one. `None` if the
    /// call fails, which is logged.
    pub async fn fetch_update(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Option<StoreUpdateResponse> {
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + wait + CALL_TIMEOUT;
        let wait_ms = wait.as_millis() as u64;
        let call = self.client.updates_since(context, after.as_u64(), wait_ms);
        match timeout(wait + CALL_TIMEOUT, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                let (peer, reason) = (self.address, e.to_string());
                debug!("event=peer_call_failed peer={peer} reason={reason:?}");
                None
            }
            Err(_) => {
                debug!("event=peer_call_failed peer={} reason=timeout", self.address);
                None
            }
        }
    }
}

/// Fetches an update over a new connection, as an existing one may be dead without notice.
pub async fn fetch_peer_update(
    address: SocketAddr,
    after: Revision,
) -> Option<StoreUpdateResponse> {
    PeerClient::connect(address).await?.fetch_update(after, Duration::ZERO).await
}
