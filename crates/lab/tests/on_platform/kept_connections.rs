//! Answers that the HTTP library gives by itself, and which request of a kept connection they are for.
//!
//! The statuses 408, 421, 429 and 503 say that a request was not run and never will be, so they may come
//! from the gateway's handler only, for the request that it refuses.

use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use crate::site::configuration;

const REPLY_LIMIT: Duration = Duration::from_secs(4);

/// The time after which a connection without a whole head is closed is the sum of both.
const HEADER_TIMEOUT_MS: u64 = 300;
const IDLE_TIMEOUT_MS: u64 = 400;

const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// An answer on a connection.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Reply {
    status: u16,
    /// The request that it names; empty if it names none, as those of the library.
    id: String,
}

fn reply(status: u16, id: &str) -> Reply {
    Reply { status, id: id.to_owned() }
}

/// What a caller sends over one connection, and gets.
struct Case {
    name: &'static str,
    /// What is sent, each part after a pause.
    parts: Vec<(Duration, Vec<u8>)>,
    replies: Vec<Reply>,
    /// The requests that reach an upstream.
    run: Vec<&'static str>,
}

/// Returns the head of a request that is sent to a plain upstream.
fn head(id: &str, headers: &str) -> String {
    head_to("order", id, headers)
}

fn head_to(route: &str, id: &str, headers: &str) -> String {
    format!(
        "POST /{route}/ HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         authorization: Token {KEY}\r\nx-deadline-ms: 1500\r\n{headers}\r\n"
    )
}

/// Returns a whole request.
fn whole(id: &str) -> String {
    head(id, "content-length: 4\r\n") + "body"
}

fn at_once(text: impl Into<Vec<u8>>) -> Vec<(Duration, Vec<u8>)> {
    vec![(Duration::ZERO, text.into())]
}

/// Returns a case of a request that is run, and one after it that the library can't read.
fn unreadable(name: &'static str, id: &'static str, second: String, status: u16) -> Case {
    let parts = at_once(whole(id) + &second);
    Case { name, parts, replies: vec![reply(200, id), reply(status, "")], run: vec![id] }
}

fn unreadable_cases() -> Vec<Case> {
    let long = format!("x-padding: {}\r\n", "x".repeat(40 << 10));
    let many = "x-a: b\r\n".repeat(200);
    let target = "x".repeat(70_000);
    vec![
        unreadable("a long head", "long", head("long-2", &long), 431),
        unreadable("many headers", "many", head("many-2", &many), 431),
        unreadable("a long target", "target", format!("POST /{target} HTTP/1.1\r\n\r\n"), 431),
        unreadable("no request", "none", "nothing at all\r\n\r\n".to_owned(), 400),
        // The library closes the connection.
        Case {
            replies: vec![reply(200, "h2")],
            ..unreadable(
                "another protocol",
                "h2",
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
                400,
            )
        },
        unreadable("an unknown version", "h3", "GET / HTTP/3.0\r\n\r\n".to_owned(), 400),
        unreadable("a byte that no header has", "nul", head("nul-2", "x-a: \0\r\n"), 400),
        unreadable("a header without a name", "name", head("name-2", ": x\r\n"), 400),
        unreadable(
            "a length that is no number",
            "length",
            head("length-2", "content-length: four\r\n"),
            400,
        ),
        unreadable(
            "two lengths",
            "two",
            head("two-2", "content-length: 4\r\ncontent-length: 5\r\n") + "body",
            400,
        ),
        unreadable(
            "a coding that is not chunks",
            "coding",
            head("coding-2", "transfer-encoding: gzip\r\n"),
            400,
        ),
    ]
}

fn timeout_cases() -> Vec<Case> {
    let later = Duration::from_millis(HEADER_TIMEOUT_MS + IDLE_TIMEOUT_MS + 300);
    let half = head("late-2", "content-length: 4\r\n");
    let (first_half, second_half) = half.split_at(60);
    vec![
        Case {
            name: "a head that stays incomplete",
            parts: at_once(whole("half") + "POST /order/ HTTP/1.1\r\nhost: a\r\n"),
            replies: vec![reply(200, "half")],
            run: vec!["half"],
        },
        Case {
            name: "a first head that stays incomplete",
            parts: at_once("POST /order/ HTTP/1.1\r\nhost: a\r\n"),
            replies: Vec::new(),
            run: Vec::new(),
        },
        Case {
            name: "a head that is completed too late",
            parts: vec![
                (Duration::ZERO, (whole("late") + first_half).into()),
                (later, (second_half.to_owned() + "body").into()),
            ],
            replies: vec![reply(200, "late")],
            run: vec!["late"],
        },
        Case {
            name: "a connection that is idle for too long",
            parts: vec![(Duration::ZERO, whole("idle").into()), (later, whole("idle-2").into())],
            replies: vec![reply(200, "idle")],
            run: vec!["idle"],
        },
    ]
}

fn body_cases() -> Vec<Case> {
    let chunked = "transfer-encoding: chunked\r\n";
    let expects = "expect: 100-continue\r\ncontent-length: 4\r\n";
    let soon = Duration::from_millis(50);
    let slow_head = |id: &str, headers: &str| head(id, headers).replace("1500", "200");
    let inner = whole("inner");
    let upload = "u".repeat(150_000);
    vec![
        Case {
            name: "a chunk without a size",
            parts: at_once(whole("chunk") + &head("chunk-2", chunked) + "xyz\r\nbody\r\n"),
            replies: vec![reply(200, "chunk"), reply(400, "chunk-2")],
            run: vec!["chunk"],
        },
        Case {
            name: "a chunk without a size and a request behind it",
            parts: at_once(head("size", chunked) + "xyz\r\nbody\r\n" + &whole("size-2")),
            replies: vec![reply(400, "size")],
            run: Vec::new(),
        },
        Case {
            name: "a body that its caller is told to send",
            parts: vec![
                (Duration::ZERO, (whole("told") + &head("told-2", expects)).into()),
                (soon, b"body".to_vec()),
                (soon, whole("told-3").into()),
            ],
            replies: vec![
                reply(200, "told"),
                reply(100, ""),
                reply(200, "told-2"),
                reply(200, "told-3"),
            ],
            run: vec!["told", "told-2", "told-3"],
        },
        Case {
            name: "a body that does not come though it was asked for",
            parts: vec![
                (Duration::ZERO, slow_head("asked", expects).into()),
                (Duration::from_millis(400), ("body".to_owned() + &whole("asked-2")).into()),
            ],
            replies: vec![reply(100, ""), reply(408, "asked")],
            run: Vec::new(),
        },
        Case {
            name: "a body that comes after the answer, with a request in it",
            parts: vec![
                (
                    Duration::ZERO,
                    slow_head("slow", &format!("content-length: {}\r\n", inner.len())).into(),
                ),
                (Duration::from_millis(400), (inner.clone() + &whole("slow-2")).into()),
            ],
            replies: vec![reply(408, "slow")],
            run: Vec::new(),
        },
        Case {
            name: "a long upload that is refused at once, with a request behind it",
            parts: vec![
                (
                    Duration::ZERO,
                    head("upload", &format!("content-length: {}\r\n", upload.len())).into(),
                ),
                (soon, (upload + &whole("upload-2")).into()),
            ],
            replies: vec![reply(413, "upload")],
            run: Vec::new(),
        },
    ]
}

fn pipelined_cases() -> Vec<Case> {
    let refused = |id: &str| {
        head_to("draft", id, "x-model: m\r\nx-token-count: 4,4\r\nx-prompt-prefix: 1:4\r\n")
    };
    let unknown = |id: &str| whole(id).replace(KEY, "unknown");
    vec![
        Case {
            name: "requests in one piece",
            parts: at_once(whole("one") + &whole("one-2") + &whole("one-3")),
            replies: vec![reply(200, "one"), reply(200, "one-2"), reply(200, "one-3")],
            run: vec!["one", "one-2", "one-3"],
        },
        Case {
            name: "a refused request between two others",
            parts: at_once(whole("between") + &refused("between-2") + &whole("between-3")),
            replies: vec![reply(200, "between"), reply(503, "between-2"), reply(200, "between-3")],
            run: vec!["between", "between-3"],
        },
        Case {
            name: "an unknown key in front of a request",
            parts: at_once(unknown("key") + &whole("key-2")),
            replies: vec![reply(401, "key"), reply(200, "key-2")],
            run: vec!["key-2"],
        },
        Case {
            name: "refused requests on both sides of another",
            parts: at_once(refused("sides") + &whole("sides-2") + &refused("sides-3")),
            replies: vec![reply(503, "sides"), reply(200, "sides-2"), reply(503, "sides-3")],
            run: vec!["sides-2"],
        },
    ]
}

/// Sends what a case says and returns all answers.
async fn exchange(node: &SiteNode, case: &Case) -> Vec<Reply> {
    let caller = TcpStream::connect(node.callers).await.expect("the node listens");
    let (mut reader, mut writer) = caller.into_split();
    let write = async {
        for (pause, part) in &case.parts {
            sleep(*pause).await;
            // The node may have closed the connection.
            let _ = writer.write_all(part).await;
        }
    };
    let mut answers = Vec::new();
    let read = timeout(REPLY_LIMIT, async {
        let mut data = vec![0; 64 << 10];
        // A reset leaves what came before it.
        while let Ok(read_bytes @ 1..) = reader.read(&mut data).await {
            answers.extend_from_slice(&data[..read_bytes]);
        }
    });
    let ((), read) = tokio::join!(write, read);
    assert!(read.is_ok(), "{}: no end in time", case.name);
    parse(&answers)
}

fn parse(mut answers: &[u8]) -> Vec<Reply> {
    let mut replies = Vec::new();
    while !answers.is_empty() {
        let end = answers.windows(4).position(|window| window == b"\r\n\r\n");
        let (head, rest) = answers.split_at(end.expect("a whole head") + 4);
        let head = String::from_utf8_lossy(head).to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(field, _)| *field == name).map(|(_, value)| value.to_owned())
        };
        let length = field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let (body, rest) = rest.split_at(length);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let named = body["error"]["request_id"].as_str().map(str::to_owned);
        let id = field("x-request-id").or(named).unwrap_or_default();
        replies.push(Reply { status: status.expect("a status"), id });
        answers = rest;
    }
    replies
}

/// Guards against a status that says "not run" and comes from the library, or lands on another request
/// than the one that was refused.
#[tokio::test]
async fn answer_of_the_library_says_that_another_request_was_not_run() {
    let site = Site::start(0, 1).await;
    let mut limits: Value = serde_json::from_str(&configuration(2, &[KEY], &[])).expect("JSON");
    limits["limits"]["header_timeout_ms"] = HEADER_TIMEOUT_MS.into();
    limits["limits"]["idle_timeout_ms"] = IDLE_TIMEOUT_MS.into();
    site.store.state.put("op/config", limits.to_string());
    let node = site.node("n1").await;
    let cases: Vec<Case> = [unreadable_cases(), timeout_cases(), body_cases(), pipelined_cases()]
        .into_iter()
        .flatten()
        .collect();
    let all = join_all(cases.iter().map(|case| exchange(&node, case))).await;
    let seen: Vec<String> = site.shops[0]
        .seen()
        .iter()
        .map(|seen| seen.header("x-request-id").unwrap_or_default().to_owned())
        .collect();
    let mut wrong = Vec::new();
    for (case, replies) in cases.iter().zip(&all) {
        for Reply { status, id } in replies {
            if NOT_RUN.contains(status) && (id.is_empty() || seen.contains(id)) {
                wrong.push(format!("{}: {status} of {id:?}, which ran", case.name));
            }
        }
        if *replies != case.replies {
            wrong.push(format!("{}: {replies:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let mut expected: Vec<&str> = cases.iter().flat_map(|case| case.run.iter().copied()).collect();
    let mut seen: Vec<&str> = seen.iter().map(String::as_str).collect();
    expected.sort_unstable();
    seen.sort_unstable();
    assert_eq!(seen, expected);
    site.stop(vec![node]).await;
}
