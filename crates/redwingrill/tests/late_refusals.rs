//! Late copies of an engine's refusal on the connections of the completion API.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use redwingrill::upstream::CompletionCall;
use redwingrill::upstream::EngineClient;
use redwingrill::upstream::EngineTimeouts;
use redwingrill::upstream::StartError;
use redwingrill_transport::Pool;

const REJECTION: &str = "HTTP/1.1 400 Bad Request\r\nx-request-id: a1\r\ncontent-length: 0\r\n\r\n";

/// The engine's answer to the second attempt does not come, only another copy of the first one.
#[tokio::test]
async fn copy_of_a_rejection_answers_the_next_attempt() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        while socket.read(&mut request).await.is_ok_and(|len| len > 0) {
            let _ = socket.write_all(REJECTION.as_bytes()).await;
        }
    });
    let limit = Duration::from_secs(1);
    let timeouts = EngineTimeouts { connect: limit, first_token: limit, token: limit };
    let client = EngineClient::new(Pool::new(), timeouts);
    let start = async |attempt_id| {
        let call = CompletionCall { address, attempt_id };
        client.start(call, Bytes::from_static(b"{}")).await
    };
    let first = start("a1").await;
    assert!(matches!(first, Err(StartError::Rejected { .. })), "{first:?}: it is its own");
    let next = start("b1").await;
    assert!(!matches!(next, Err(StartError::Rejected { .. })), "{next:?}: that of another attempt");
}
