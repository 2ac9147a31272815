//! What callers send wrongly gets its numbered code, leaks nothing, and stops no other caller.

mod support;

use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::API_KEY;
use crate::support::Site;
use crate::support::call;
use redwingrill_codes::ResultCode;
use redwingrill_lab::caller::Caller;

const STREAMS: &str = "";
const REPLY_LIMIT: Duration = Duration::from_secs(10);

/// What a caller does after it has sent its bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Then {
    Wait,
    HalfClose,
}

struct Case {
    name: &'static str,
    sends: Vec<u8>,
    then: Then,
    code: ResultCode,
}

fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: router\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn authorized(path: &str, body: &[u8]) -> Vec<u8> {
    request("POST", path, &format!("authorization: Bearer {API_KEY}\r\n"), body)
}

fn completion(body: &str) -> Vec<u8> {
    authorized("/v1/chat/completions", body.as_bytes())
}

fn cases() -> Vec<Case> {
    let wait = |name, sends, code| Case { name, sends, then: Then::Wait, code };
    let key = format!("authorization: Bearer {API_KEY}\r\n");
    let too_long = format!("{key}x-padding: {}\r\n", "x".repeat(20 << 10));
    let announced = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n{key}content-length: 5000000\r\n\r\n"
    );
    let mut chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n{key}transfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..5 {
        chunked.extend_from_slice(b"100000\r\n");
        chunked.extend(std::iter::repeat_n(b' ', 1 << 20));
        chunked.extend_from_slice(b"\r\n");
    }
    let half = b"POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n".to_vec();
    let half = [half, format!("{key}content-length: 100\r\n\r\n{{\"mo").into_bytes()].concat();
    let unlisted = format!("{key}x-redwingrill-priority: gold\r\n");
    let valid = r#"{"model":"assistant","messages":[{"role":"user","content":"a"}]}"#;
    vec![
        wait("no key", request("GET", "/v1/models", "", b""), ResultCode::KeyMissing),
        wait(
            "wrong scheme",
            request("GET", "/v1/models", "authorization: Basic a\r\n", b""),
            ResultCode::KeyMissing,
        ),
        wait(
            "unknown key",
            request("GET", "/v1/models", "authorization: Bearer nobody\r\n", b""),
            ResultCode::KeyUnknown,
        ),
        wait("unknown path", authorized("/v2/nothing", b""), ResultCode::RouteUnknown),
        wait("wrong method", authorized("/v1/models", b""), ResultCode::MethodUnknown),
        wait("unknown service", authorized("/services/none/a", b""), ResultCode::ServiceUnknown),
        wait("empty body", completion(""), ResultCode::BadJson),
        wait("broken JSON", completion("{\"model\":"), ResultCode::BadJson),
        wait("JSON of another shape", completion("[1,2]"), ResultCode::BadJson),
        wait("no messages", completion(r#"{"model":"assistant"}"#), ResultCode::BadJson),
        wait(
            "messages of the wrong type",
            completion(r#"{"model":"assistant","messages":"hello"}"#),
            ResultCode::BadJson,
        ),
        wait(
            "stream of the wrong type",
            completion(r#"{"model":"assistant","messages":[{"role":"user"}],"stream":1}"#),
            ResultCode::BadJson,
        ),
        wait(
            "unknown model",
            completion(r#"{"model":"other","messages":[{"role":"user","content":"a"}]}"#),
            ResultCode::ModelUnknown,
        ),
        wait(
            "priority not allowed",
            request("POST", "/v1/chat/completions", &unlisted, valid.as_bytes()),
            ResultCode::PriorityUnknown,
        ),
        wait(
            "long headers",
            request("GET", "/v1/models", &too_long, b""),
            ResultCode::HeadersTooLarge,
        ),
        wait("announced body too large", announced.into_bytes(), ResultCode::BodyTooLarge),
        wait("chunked body too large", chunked, ResultCode::BodyTooLarge),
        wait("slow body", half.clone(), ResultCode::RequestTimeout),
        Case {
            name: "half-closed",
            sends: half,
            then: Then::HalfClose,
            code: ResultCode::BadRequest,
        },
    ]
}

async fn exchange(site: &Site, case: &Case) -> String {
    let mut stream = TcpStream::connect(site.node.address()).await.expect("the node accepts");
    // A node that refuses early may close before it has read everything.
    let _ = stream.write_all(&case.sends).await;
    if case.then == Then::HalfClose {
        stream.shutdown().await.expect("the write side closes");
    }
    let mut reply = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&reply) {
        let read = timeout(REPLY_LIMIT, stream.read(&mut buffer)).await;
        match read.unwrap_or_else(|_| panic!("{}: no reply in time", case.name)) {
            Ok(0) | Err(_) => break,
            Ok(read) => reply.extend_from_slice(&buffer[..read]),
        }
    }
    String::from_utf8(reply).expect("replies are text")
}

fn is_whole(reply: &[u8]) -> bool {
    std::str::from_utf8(reply).is_ok_and(|text| text.contains("\r\n\r\n") && text.ends_with('}'))
}

fn check(case: &Case, reply: &str) {
    let (head, body) = reply.split_once("\r\n\r\n").unwrap_or((reply, ""));
    let status = format!("HTTP/1.1 {} ", case.code.info().http_status);
    assert!(head.starts_with(&status), "{}: {reply:?}", case.name);
    let body: Value = serde_json::from_str(body).expect("the body is JSON");
    let error = &body["error"];
    assert_eq!(error["result_code"], case.code.number(), "{}: {reply}", case.name);
    assert_eq!(error["ran"], case.code.info().ran.as_str(), "{}", case.name);
    let id = error["request_id"].as_str().expect("the body names the request");
    assert!(head.contains(&format!("x-request-id: {id}")), "{}: {head}", case.name);
}

/// Waits until the node's state is as it should be: places are freed soon after a reply, not in step
/// with it.
async fn wait_for(site: &Site, holds: impl Fn(&Value) -> bool) {
    let deadline = tokio::time::Instant::now() + REPLY_LIMIT;
    loop {
        let dump = site.node.inspector().dump().await;
        if holds(&dump) {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{dump}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_get_their_code_and_harm_nobody() {
    let site = Site::start_with(2, STREAMS, "[limits]\nrequest_timeout = 400 ms\n").await;
    let caller = Caller::new();
    let cases = cases();
    for case in &cases {
        let (reply, other) = tokio::join!(exchange(&site, case), async {
            caller.complete(site.node.address(), &call("still served?", 4)).await
        });
        check(case, &reply);
        assert!(other.is_complete(), "{}: {:?}", case.name, other.ending);
    }
    caller.close().await;
    wait_for(&site, |dump| dump["dispatch"]["tickets"] == 0 && dump["open_requests"] == 0).await;
    println!("{} cases", cases.len());
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_ends_the_connection() {
    let site = Site::start_with(1, STREAMS, "[limits]\nrequest_timeout = 300 ms\n").await;
    let mut stream = TcpStream::connect(site.node.address()).await.expect("the node accepts");
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: ").await.expect("the node reads");
    let mut reply = Vec::new();
    let ended = timeout(REPLY_LIMIT, stream.read_to_end(&mut reply)).await;
    assert!(ended.is_ok(), "the connection is ended");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_up_to_the_limit_pass() {
    let site = Site::start(1, STREAMS).await;
    let question = "x".repeat((4 << 20) - 1024);
    let caller = Caller::new();
    let outcome = caller.complete(site.node.address(), &call(&question, 2)).await;
    assert!(outcome.is_complete(), "{:?}", outcome.ending);
    caller.close().await;
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_has_a_limit_of_open_connections() {
    let site = Site::start(1, STREAMS).await;
    let mut held = Vec::new();
    let models = request("GET", "/v1/models", &format!("authorization: Bearer {API_KEY}\r\n"), b"");
    let case = |code| Case { name: "models", sends: models.clone(), then: Then::Wait, code };
    for _ in 0..support::CONNECTIONS_LIMIT {
        let mut stream = TcpStream::connect(site.node.address()).await.expect("the node accepts");
        stream.write_all(&models).await.expect("the node reads");
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).await.expect("the node answers");
        assert!(buffer[..read].starts_with(b"HTTP/1.1 200"));
        held.push(stream);
    }
    let over = case(ResultCode::TooManyConnections);
    check(&over, &exchange(&site, &over).await);
    drop(held);
    wait_for(&site, |dump| dump["account_connections"] == serde_json::json!([])).await;
    let served = exchange(&site, &case(ResultCode::Ok)).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    site.stop().await;
}
