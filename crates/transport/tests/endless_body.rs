//! Servers whose answers do not end.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::timeout;

use redwingrill_transport::BodyTimeouts;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Each piece of the body comes in time, and so does the next one.
#[tokio::test]
async fn body_that_trickles_without_end_is_read_for_ever() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = socket.read(&mut request).await;
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while socket.write_all(b".").await.is_ok() {
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    });
    let pool = Pool::new();
    let request = Request::builder().uri("/").header("host", "a").body(Bytes::new());
    let timeouts =
        Timeouts { connect: Duration::from_millis(500), head: Duration::from_millis(500) };
    let answer = pool.send(address, request.expect("a request"), Freshness::Any, &timeouts).await;
    let begun = Instant::now();
    let limits =
        BodyTimeouts { piece: Duration::from_millis(200), whole: Duration::from_millis(400) };
    let body = answer.expect("a head").into_body().read_all(1 << 20, limits);
    let body = timeout(Duration::from_secs(3), body).await.expect("the time is limited");
    assert!(matches!(body, Err(TransportError::Silent { .. })), "{body:?}");
    assert!(begun.elapsed() >= Duration::from_millis(400));
    // The connection is closed, so the server ends.
    timeout(Duration::from_secs(2), server).await.expect("in time").expect("no panic");
    pool.close().await;
}
