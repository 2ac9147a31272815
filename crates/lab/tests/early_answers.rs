//! Answers that are sent while the request is still being written, and answers without a status, on
//! the product's own interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use redwingrill::node::Node;
use redwingrill_config::Generation;
use redwingrill_config::KeyHash;
use redwingrill_config::Snapshot;
use redwingrill_config::SourceFile;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_lab::early_upstream::EarlyFault;
use redwingrill_lab::early_upstream::EarlyUpstream;
use redwingrill_lab::early_upstream::UPLOAD_BYTES;

const API_KEY: &str = "key-of-cafe";
const REPLY_LIMIT: Duration = Duration::from_secs(15);

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

async fn check(fault: EarlyFault, path: &str, body: &str, is_chunked: bool) {
    let name = format!("{fault:?} {path} chunked={is_chunked}");
    let engine = EarlyUpstream::start(fault).expect("a free port");
    let service = EarlyUpstream::start(fault).expect("a free port");
    let text = "[node]\nname = entry-1\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
                peer_listen = 127.0.0.1:0\nfailure_domain = a\ndrain_notice = 0 s\n\
                [platform]\nendpoints = 127.0.0.1:1\n";
    let source = SourceFile { name: "node.ini".to_owned(), text: text.to_owned() };
    let settings = redwingrill_settings::parse(&source).expect("valid settings");
    let configuration = watch::channel(Arc::new(snapshot(engine.address(), service.address()))).1;
    let node = Node::with_configuration(settings, configuration);
    let node = node.serve().await.expect("free ports are bound");
    let answer = upload(node.address(), path, body.as_bytes(), is_chunked).await;
    let asked = engine.asked() + service.asked();
    assert!(asked > 0, "{name}: no upstream was asked: {answer}");
    assert!(!is_complete(&answer), "{name}: {answer}");
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
    let faults = [
        EarlyFault::Resets { after: Duration::from_millis(20) },
        EarlyFault::Ends,
        EarlyFault::AnswersWithoutStatus,
    ];
    let cases = faults.into_iter().flat_map(|fault| {
        let paths = paths.iter();
        paths.flat_map(move |(path, body)| {
            [false, true].map(|is_chunked| check(fault, path, body, is_chunked))
        })
    });
    join_all(cases).await;
}
