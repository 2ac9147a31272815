//! Answers that begin, and end, while the request is still being written.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const WAIT: Duration = Duration::from_secs(2);

/// More than the buffers of a connection whose server reads nothing.
const UPLOAD_BYTES: usize = 8 << 20;

/// How the server ends the connection of its answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum End {
    /// By a reset.
    Reset,
    /// By a close with unread data, which resets it.
    Close,
    /// By an end in order, and a reset after it.
    InOrder,
}

async fn answer(mut socket: TcpStream, end: End, delay: Duration) {
    let mut request = [0; 512];
    let _ = socket.read(&mut request).await;
    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\ndata: a\n\n").await;
    tokio::time::sleep(delay).await;
    match end {
        End::Close => {}
        End::Reset => socket.set_zero_linger().expect("an open socket"),
        End::InOrder => {
            let _ = socket.shutdown().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// A server that ends the connection before it has read the request did not answer it, even if the
/// part that it sent is delivered and the connection ends in order.
#[tokio::test]
async fn part_of_an_early_answer_looks_complete() {
    let mut complete = Vec::new();
    for end in [End::Reset, End::Close, End::InOrder] {
        for delay_ms in [0, 0, 0, 1, 5, 30] {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4_096).expect("an option");
            socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
            let listener = socket.listen(8).expect("a listener");
            let address = listener.local_addr().expect("a bound socket");
            let server = tokio::spawn(async move {
                let (socket, _) = listener.accept().await.expect("a connection");
                answer(socket, end, Duration::from_millis(delay_ms)).await;
            });
            let pool = Pool::new();
            let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
            let request = Request::post("/").header("host", "a").body(upload).expect("a request");
            let timeouts = Timeouts { connect: WAIT, head: WAIT };
            let sent = pool.send(address, request, Freshness::Any, &timeouts).await;
            if let Ok(response) = sent
                && let Ok(body) = response.into_body().read_all(1 << 20, WAIT).await
            {
                complete.push((end, delay_ms, body));
            }
            server.await.expect("no panic");
            pool.close().await;
        }
    }
    assert!(complete.is_empty(), "{complete:?}");
}

/// A server may answer before it has read the request, if it reads all of it.
#[tokio::test]
async fn early_answer_whose_request_is_read_is_refused() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = vec![0; 64 << 10];
        let mut read_bytes = socket.read(&mut request).await.expect("a head");
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole").await;
        while read_bytes < UPLOAD_BYTES {
            read_bytes += socket.read(&mut request).await.expect("the request");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    let pool = Pool::new();
    let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let request = Request::post("/").header("host", "a").body(upload).expect("a request");
    let timeouts = Timeouts { connect: WAIT, head: WAIT };
    let sent = pool.send(address, request, Freshness::Any, &timeouts).await;
    let body = sent.expect("a head").into_body().read_all(1 << 20, WAIT).await;
    assert_eq!(body.expect("a whole answer"), "whole");
    server.await.expect("no panic");
    pool.close().await;
}

/// The number of a status begins at 100.
#[tokio::test]
async fn answer_with_an_impossible_status_is_passed_on() {
    for status in ["000", "099", "0", "abc", "-10"] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let server = tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 512];
            let _ = socket.read(&mut request).await;
            let head = format!("HTTP/1.1 {status} OK\r\ncontent-length: 2\r\n\r\nok");
            let _ = socket.write_all(head.as_bytes()).await;
            let _ = socket.read(&mut request).await;
        });
        let pool = Pool::new();
        let request = Request::get("/").header("host", "a").body(Bytes::new()).expect("a request");
        let timeouts = Timeouts { connect: WAIT, head: WAIT };
        let sent = pool.send(address, request, Freshness::Any, &timeouts).await;
        let error = sent.expect_err(status);
        assert!(error.may_have_been_received(), "{status}: {error}");
        drop(pool);
        server.await.expect("no panic");
    }
}

/// What a server does with the rest of a small upload, of which it has read [`READ_BYTES`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Rest {
    /// It ends its answer in order and closes after a delay in milliseconds; the system resets the
    /// connection then.
    Unread(u64),
    /// The same without an end in order.
    UnreadAtOnce,
    /// It reads the rest and closes.
    Read,
    /// It ends its answer in order, and reads until the caller ends its side.
    ReadToEnd,
}

const READ_BYTES: usize = 64;

/// Fewer than a send buffer takes.
const SMALL_UPLOAD_BYTES: usize = 3_000;

/// The last bytes of a small upload.
const UPLOAD_END: &[u8] = b"end";

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

async fn answer_small(mut socket: TcpStream, rest: Rest) {
    let mut request = vec![0; READ_BYTES];
    let _ = socket.read_exact(&mut request).await;
    let _ = socket.write_all(HEAD).await;
    let _ = socket.write_all(b"data: a\n\n").await;
    match rest {
        Rest::Unread(delay_ms) => {
            let _ = socket.shutdown().await;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Rest::UnreadAtOnce => {}
        Rest::Read => {
            let mut request = request;
            while !request.ends_with(UPLOAD_END) {
                assert!(socket.read_buf(&mut request).await.expect("the request") > 0);
            }
        }
        Rest::ReadToEnd => {
            let _ = socket.shutdown().await;
            let mut rest = Vec::new();
            let _ = socket.read_to_end(&mut rest).await;
        }
    }
}

/// Sends a small upload and returns the answer.
async fn ask_small(rest: Rest) -> Result<Bytes, TransportError> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        answer_small(socket, rest).await;
    });
    let pool = Pool::new();
    let upload = [&[b'u'; SMALL_UPLOAD_BYTES][..], UPLOAD_END].concat();
    let request = Request::post("/").header("host", "a").body(upload.into()).expect("a request");
    let timeouts = Timeouts { connect: WAIT, head: WAIT };
    let sent = pool.send(address, request, Freshness::Any, &timeouts).await;
    let body = match sent {
        Ok(response) => response.into_body().read_all(1 << 20, WAIT).await,
        Err(e) => Err(e),
    };
    server.await.expect("the server ends as its connection does");
    pool.close().await;
    body
}

/// Guards against a part of an answer that looks complete because the send buffer took the upload
/// whole, though its server never read it and reset the connection.
#[tokio::test]
async fn part_of_an_early_answer_to_a_small_upload_looks_complete() {
    for rest in [Rest::UnreadAtOnce, Rest::Unread(0), Rest::Unread(1), Rest::Unread(20)] {
        for _ in 0..5 {
            let answer = ask_small(rest).await;
            assert!(matches!(answer, Err(TransportError::Broken { .. })), "{rest:?}: {answer:?}");
        }
    }
}

/// Guards against a whole answer that is refused, or waited for without end, because its server ends
/// the connection before the caller does.
#[tokio::test]
async fn whole_answer_without_length_to_a_small_upload_is_refused() {
    for rest in [Rest::Read, Rest::ReadToEnd] {
        for _ in 0..5 {
            let began = Instant::now();
            let answer = ask_small(rest).await;
            assert_eq!(answer.expect("a whole answer"), "data: a\n\n", "{rest:?}");
            assert!(began.elapsed() < WAIT / 4, "{rest:?}: {:?}", began.elapsed());
        }
    }
}

/// Guards against sockets that stay open because a watch was given up, or their connection was idle.
#[tokio::test]
async fn socket_of_an_ended_connection_stays_open() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let pool = Pool::new();
    let request = || Request::get("/").header("host", "a").body(Bytes::new()).expect("a request");
    let timeouts = Timeouts { connect: WAIT, head: WAIT };
    for answer in [&b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"[..], HEAD] {
        let server = async {
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 512];
            let _ = socket.read(&mut request).await;
            let _ = socket.write_all(answer).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = socket.shutdown().await;
            // Ends as the other side closes.
            timeout(WAIT, socket.read(&mut request)).await.is_ok()
        };
        let caller = async {
            let response = pool.send(address, request(), Freshness::New, &timeouts).await;
            let mut body = response.expect("a head").into_body();
            // One body ends, the other one is given up during the watch.
            while let Ok(Ok(Some(_))) = timeout(Duration::from_millis(70), body.next(WAIT)).await {}
        };
        let (is_closed, ()) = tokio::join!(server, caller);
        assert!(is_closed, "{}", String::from_utf8_lossy(answer));
    }
    pool.close().await;
}
