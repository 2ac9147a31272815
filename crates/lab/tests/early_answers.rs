//! Answers that are sent while the request is still being written, and answers without a status, on
//! the product's own interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use redwingrill::node::Node;
use redwingrill_config::Generation;
use redwingrill_config::KeyHash;
use redwingrill_config::Snapshot;
use redwingrill_config::SourceFile;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;

const API_KEY: &str = "key-of-cafe";
const REPLY_LIMIT: Duration = Duration::from_secs(15);
const UPLOAD_BYTES: usize = 96 << 10;

/// As in a network: with the segments of the loopback device the node's system takes whole uploads.
const SEGMENT_BYTES: u32 = 1_000;

/// What an upstream does with a request that has a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    /// Sends a part of an answer without length and resets the connection.
    ResetsEarly,
    /// Sends a part of an answer without length, ends the connection in order and reads nothing.
    EndsEarly,
    /// Reads the request and gives a whole answer with the status 000.
    AnswersWithoutStatus,
}

async fn answer(mut socket: TcpStream, fault: Fault, asked: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match socket.read(&mut piece).await {
            Ok(len) if len > 0 => request.extend_from_slice(&piece[..len]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
    if !head.starts_with("post ") {
        let _ = socket.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
        return;
    }
    asked.fetch_add(1, Ordering::Relaxed);
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or_default();
    let fields = format!("x-request-id: {id}\r\ncontent-type: text/event-stream\r\n");
    let body = "id: 1\ndata: {\"id\":\"a\"}\n\n";
    let early = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}");
    match fault {
        Fault::ResetsEarly => {
            let _ = socket.write_all(early.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            socket.set_zero_linger().expect("an open socket");
        }
        Fault::EndsEarly => {
            let _ = socket.write_all(early.as_bytes()).await;
            let _ = socket.shutdown().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Fault::AnswersWithoutStatus => {
            let mut read_bytes = request.len();
            while read_bytes < UPLOAD_BYTES {
                match socket.read(&mut piece).await {
                    Ok(len) if len > 0 => read_bytes += len,
                    _ => break,
                }
            }
            let length = body.len();
            let whole = format!("HTTP/1.1 000\r\n{fields}content-length: {length}\r\n\r\n{body}");
            let _ = socket.write_all(whole.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn start_upstream(fault: Fault, asked: &Arc<AtomicUsize>) -> (SocketAddr, JoinHandle<()>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("an option");
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).expect("an option");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("a bound socket");
    let asked = asked.clone();
    let task = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer(socket, fault, asked.clone()));
        }
    });
    (address, task)
}

fn snapshot(engine: SocketAddr, service: SocketAddr) -> Snapshot {
    let key_hash = KeyHash::of(API_KEY).0.map(|byte| format!("{byte:02x}")).concat();
    let text = format!(
        "[priority checks]\nlevel = 0\nfirst_token_target = 250 ms\nqueue_deadline = 60 s\n\
         [model m]\nweights_version = v1\n\
         [account cafe]\nkey_hashes = blake3:{key_hash}\npriorities = checks\n\
         connections_limit = 64\n\
         [upstream e0]\nkind = engine\naddress = {engine}\nfailure_domain = a\nmodel = m\n\
         [upstream s0]\nkind = service\naddress = {service}\nfailure_domain = a\n\
         [service shop]\nupstreams = s0\n"
    );
    let state = parse_str("site.ini", &text, &mut Names::default()).expect("the site is valid");
    Snapshot::new(Generation(1), state)
}

/// Returns all that the caller gets.
async fn upload(node: SocketAddr, path: &str, body: &[u8], is_chunked: bool) -> String {
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", body.len()),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\n{framing}\r\n\r\n",
    );
    let mut caller = TcpStream::connect(node).await.expect("the node listens");
    let mut request = head.into_bytes();
    if is_chunked {
        request.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
    }
    request.extend_from_slice(body);
    if is_chunked {
        request.extend_from_slice(b"\r\n0\r\n\r\n");
    }
    caller.write_all(&request).await.expect("the node reads");
    let mut answer = Vec::new();
    let read = timeout(REPLY_LIMIT, caller.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "no end in time");
    String::from_utf8_lossy(&answer).into_owned()
}

fn is_complete(answer: &str) -> bool {
    let is_stream = answer.to_ascii_lowercase().contains("transfer-encoding: chunked");
    answer.starts_with("HTTP/1.1 2") && (!is_stream || answer.contains("[DONE]"))
}

async fn check(fault: Fault, path: &str, body: &str, is_chunked: bool) {
    let name = format!("{fault:?} {path} chunked={is_chunked}");
    let asked = Arc::<AtomicUsize>::default();
    let (engine, engine_task) = start_upstream(fault, &asked);
    let (service, service_task) = start_upstream(fault, &asked);
    let text = "[node]\nname = entry-1\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
                peer_listen = 127.0.0.1:0\nfailure_domain = a\ndrain_notice = 0 s\n\
                [platform]\nendpoints = 127.0.0.1:1\n";
    let source = SourceFile { name: "node.ini".to_owned(), text: text.to_owned() };
    let settings = redwingrill_settings::parse(&source).expect("valid settings");
    let configuration = watch::channel(Arc::new(snapshot(engine, service))).1;
    let node = Node::with_configuration(settings, configuration);
    let node = node.serve().await.expect("free ports are bound");
    let answer = upload(node.address(), path, body.as_bytes(), is_chunked).await;
    assert!(asked.load(Ordering::Relaxed) > 0, "{name}: no upstream was asked: {answer}");
    assert!(!is_complete(&answer), "{name}: {answer}");
    engine_task.abort();
    service_task.abort();
    node.drain(std::future::ready(())).await.finish(std::future::pending()).await;
}

/// The caller must not get the part, or the answer without a status, as a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn early_or_impossible_answer_looks_complete() {
    let question = "x".repeat(UPLOAD_BYTES);
    let completion = |is_streamed: bool| {
        format!(
            r#"{{"model":"m","max_tokens":4,"stream":{is_streamed},
                "messages":[{{"role":"user","content":"{question}"}}]}}"#
        )
    };
    let paths = [
        ("/services/shop/put", question.clone()),
        ("/v1/chat/completions", completion(false)),
        ("/v1/chat/completions", completion(true)),
    ];
    let faults = [Fault::ResetsEarly, Fault::EndsEarly, Fault::AnswersWithoutStatus];
    let cases = faults.into_iter().flat_map(|fault| {
        let paths = paths.iter();
        paths.flat_map(move |(path, body)| {
            [false, true].map(|is_chunked| check(fault, path, body, is_chunked))
        })
    });
    join_all(cases).await;
}
