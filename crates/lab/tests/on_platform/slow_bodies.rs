//! Requests with slow bodies.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::site::Call;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use redwingrill_lab::site_upstream::Behaviour;

/// The slots of an engine.
const SLOTS: usize = 8;

/// The time from the head of the first request to the end of its body.
const FIRST_BODY: Duration = Duration::from_millis(2_000);
/// The time from the head of the first request to the second request.
const SECOND_REQUEST: Duration = Duration::from_millis(2_100);
/// The time from the head of the first request to a free slot. A request that old is late, one as
/// old as the first one's body is not.
const FREE_SLOT: Duration = Duration::from_millis(4_250);

async fn send_slowly(node: &SiteNode, began: Instant) -> TcpStream {
    let head = format!(
        "POST /slow/2f?q=1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {KEY}\r\n\
         x-request-id: first\r\nx-deadline-ms: 15000\r\nx-model: m\r\nx-token-count: 1460,80\r\n\
         x-prompt-prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\ncontent-length: 4\r\n\r\n"
    );
    let mut caller = TcpStream::connect(node.callers).await.expect("the node listens");
    caller.write_all(head.as_bytes()).await.expect("the node reads");
    sleep_until(began + FIRST_BODY).await;
    caller.write_all(b"body").await.expect("the node reads");
    caller
}

#[tokio::test]
async fn request_with_a_slow_body_is_overtaken_by_later_ones() {
    let site = Arc::new(Site::start(1, 0).await);
    let node = Arc::new(site.node("n1").await);
    site.engines[0].set(Behaviour::IsMute);
    let ask = |id: String| -> JoinHandle<()> {
        let (site, node) = (site.clone(), node.clone());
        tokio::spawn(async move { drop(site.ask(&node, &Call::new("slow", &id)).await) })
    };
    let mut running: Vec<_> = (0..SLOTS).map(|n| ask(format!("running-{n}"))).collect();
    site.wait("the engine is full", async || site.engines[0].seen().len() == SLOTS).await;
    let began = Instant::now();
    let _first = send_slowly(&node, began).await;
    sleep_until(began + SECOND_REQUEST).await;
    running.push(ask("second".to_owned()));
    sleep_until(began + FREE_SLOT).await;
    running[0].abort();
    let all_seen = async || site.engines[0].seen().len() > SLOTS;
    site.wait("the engine gets another request", all_seen).await;
    let seen = site.engines[0].seen();
    assert_eq!(seen[SLOTS].header("x-request-id"), Some("first"));
    running.iter().for_each(JoinHandle::abort);
    sleep(Duration::from_millis(100)).await;
    let (site, node) = (Arc::into_inner(site), Arc::into_inner(node));
    let (Some(site), Some(node)) = (site, node) else { return };
    site.stop(vec![node]).await;
}
