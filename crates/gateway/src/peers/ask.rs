//! Asking a peer for news.

use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::service::PeerNewsClient;
use super::service::frames;
use crate::news::BoardUpdate;
use redwingrill_routing::Revision;
use redwingrill_transport::Postcard;

/// How long one question may take, connecting included.
const ASK_LIMIT: Duration = Duration::from_millis(700);

/// Asks a peer what changed after a revision. Each question has a connection of its own: they are
/// rare, and an old connection may have gone silent.
pub async fn ask_peer(address: SocketAddr, after: Revision) -> Option<BoardUpdate> {
    let asked = timeout(ASK_LIMIT, ask(address, after)).await;
    match asked {
        Ok(Ok(update)) => update,
        Ok(Err(reason)) => {
            debug!("event=peer_question_failed peer={address} reason={reason:?}");
            None
        }
        Err(_) => {
            debug!("event=peer_question_failed peer={address} reason=timeout");
            None
        }
    }
}

async fn ask(address: SocketAddr, after: Revision) -> Result<Option<BoardUpdate>, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let framed = Framed::new(stream, frames());
    let transport = tarpc::serde_transport::new(framed, Postcard::default());
    let client = PeerNewsClient::new(Config::default(), transport).spawn();
    client.update_after(tarpc::context::current(), after.0).await.map_err(|e| e.to_string())
}
