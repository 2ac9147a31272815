//! The connections of the sends of one request.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::RequestConnections;
use redwingrill_transport::Timeouts;

const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(2), head: Duration::from_secs(2) };

async fn answer_all(mut socket: TcpStream) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while let Ok(len) = socket.read(&mut piece).await
        && len > 0
    {
        request.extend_from_slice(&piece[..len]);
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let _ = socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        }
    }
}

/// A copy of the answer to an earlier send would be taken for that to a later one.
#[tokio::test]
async fn two_sends_of_a_request_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer_all(socket));
        }
    });
    let pool = Pool::new();
    let request = || Request::get("/").body(Bytes::new()).expect("a request");
    let (one, other) = (RequestConnections::default(), RequestConnections::default());
    for connections in [&one, &one, &other, &one] {
        let sent = pool.send_over_unused(address, request(), &TIMEOUTS, connections).await;
        let body = sent.expect("an answer").into_body();
        body.read_all(1_024, Duration::from_secs(2)).await.expect("a whole answer");
        // The connection is idle once its task has run.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let used = one.used();
    assert_eq!(used.iter().map(|usage| usage.requests_before).collect::<Vec<_>>(), [0, 0, 0]);
    assert!(used[0] != used[1] && used[1] != used[2] && used[0] != used[2], "{used:?}");
    // A request of its own uses the one that became idle last.
    let kept = other.used();
    assert_eq!((kept[0].local_port, kept[0].requests_before), (used[1].local_port, 1));
    // Without a history of its own, a request is not kept from any connection.
    let plain = pool.send(address, request(), Freshness::Any, &TIMEOUTS).await;
    plain
        .expect("an answer")
        .into_body()
        .read_all(1_024, Duration::from_secs(2))
        .await
        .expect("whole");
    assert_eq!(pool.state()[0].idle, 3);
    pool.close().await;
    server.abort();
}
