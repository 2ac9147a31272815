//! The engine stand-in over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::Value;
use serde_json::json;

use redwingrill_lab::answer::Owner;
use redwingrill_lab::cache_store::CacheStore;
use redwingrill_lab::cache_store::CacheStoreOptions;
use redwingrill_lab::caller::Call;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::caller::Ending;
use redwingrill_lab::engine::Engine;
use redwingrill_lab::engine::EngineOptions;
use redwingrill_lab::engine::FencingMode;
use redwingrill_lab::engine::Message;
use redwingrill_lab::engine::RunningEngine;
use redwingrill_lab::engine::render;
use redwingrill_lab::faults::FaultKind;
use redwingrill_lab::faults::FaultRule;
use redwingrill_lab::faults::Step;
use redwingrill_stream::Chunk;
use redwingrill_stream::SseEvent;
use redwingrill_stream::SseParser;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const WAIT: Duration = Duration::from_secs(5);
const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: WAIT };

fn options() -> EngineOptions {
    let mut options = EngineOptions::new("e1", "m", "v1");
    options.pace.decode_us = 2_000;
    options.load_lag_ms = 0;
    options.events_lag_ms = 0;
    options.events_gap_every = 0;
    options
}

async fn engine() -> RunningEngine {
    Engine::start(options()).await.expect("a free port")
}

fn call(id: &str, tokens: u32) -> Call {
    Call { request_id: id.to_owned(), ..Call::new("m", "question", tokens) }
}

struct Reply {
    status: u16,
    headers: http::HeaderMap,
    body: Bytes,
    is_whole: bool,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    fn events(&self) -> Vec<SseEvent> {
        let mut events = Vec::new();
        SseParser::new(1 << 20).push(&self.body, &mut events).expect("events");
        events
    }
}

async fn send(address: SocketAddr, request: Request<Bytes>) -> Option<Reply> {
    let pool = Pool::new();
    let reply = pool.send(address, request, Freshness::New, &TIMEOUTS).await.ok()?;
    let (parts, mut body) = reply.into_parts();
    let mut read = Vec::new();
    let is_whole = loop {
        match body.next(Duration::from_millis(500)).await {
            Ok(Some(piece)) => read.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    drop(body);
    pool.close().await;
    let (status, headers) = (parts.status.as_u16(), parts.headers);
    Some(Reply { status, headers, body: Bytes::from(read), is_whole })
}

fn post(path: &str, body: &Value) -> Request<Bytes> {
    let request = Request::post(path).header("host", "e").header("x-request-id", "r1");
    request.body(Bytes::from(body.to_string())).expect("a plain request")
}

fn get(path: &str, last_event: &str) -> Request<Bytes> {
    let request = Request::get(path).header("host", "e").header("last-event-id", last_event);
    request.body(Bytes::new()).expect("a plain request")
}

fn chat(tokens: u32, stream: bool) -> Value {
    let messages = [Message::new("user", "question")];
    json!({"model": "m", "messages": messages, "max_tokens": tokens, "stream": stream})
}

#[tokio::test]
async fn answers_are_whole_and_their_callers_own() {
    let engine = engine().await;
    let caller = Caller::new();
    let calls: Vec<Call> = (0..20)
        .map(|n| Call { request_id: format!("r{n}"), ..Call::new("m", &format!("q{n}"), 5 + n) })
        .collect();
    let answers = calls.iter().map(|call| caller.complete(engine.address, call));
    for outcome in futures::future::join_all(answers).await {
        assert_eq!(outcome.ending, Ending::Complete);
    }
    caller.close().await;
    engine.stop().await;
}

#[tokio::test]
async fn whole_replies_hold_the_same_answer() {
    let engine = engine().await;
    let reply = send(engine.address, post("/v1/chat/completions", &chat(3, false))).await;
    let reply = reply.expect("a reply");
    let text = reply.json()["choices"][0]["message"]["content"].as_str().map(str::to_owned);
    let owner = Owner::of("m", &render(&[Message::new("user", "question")]));
    assert_eq!(owner.check(&text.expect("text"), 3), Ok(()));
    assert_eq!(reply.headers["x-request-id"], "r1");
    engine.stop().await;
}

#[tokio::test]
async fn whole_replies_are_cut_after_their_headers_too() {
    let engine = engine().await;
    let step = Step::Token(2);
    engine.set_faults(vec![FaultRule { kind: FaultKind::Cut, step, count: 1, delay_ms: 0 }]);
    let request = || post("/v1/chat/completions", &chat(3, false));
    assert!(send(engine.address, request()).await.is_none());
    assert_eq!(send(engine.address, request()).await.expect("a reply").status, 200);
    engine.stop().await;
}

#[tokio::test]
async fn streams_resume_after_any_event() {
    let engine = engine().await;
    let first = send(engine.address, post("/v1/chat/completions", &chat(4, true))).await;
    let events = first.expect("a reply").events();
    assert_eq!(events.len(), 7);
    for after in 0..events.len() {
        let request = get("/v1/chat/completions/r1/events", &after.to_string());
        let rest = send(engine.address, request).await.expect("a reply").events();
        assert_eq!(rest, events[after..], "after {after}");
    }
    let unknown = send(engine.address, get("/v1/chat/completions/r2/events", "0")).await;
    assert_eq!(unknown.expect("a reply").status, 404);
    engine.stop().await;
}

#[tokio::test]
async fn another_engine_continues_an_answer() {
    let (first, second) = (engine().await, engine().await);
    let owner = call("", 0).owner();
    let delivered = owner.token(0) + &owner.token(1);
    let messages = [Message::new("user", "question"), Message::new("assistant", &delivered)];
    let body = json!({
        "model": "m", "messages": messages, "max_tokens": 3, "stream": true,
        "continue_final_message": true, "add_generation_prompt": false,
    });
    let reply = send(second.address, post("/v1/chat/completions", &body)).await;
    let events = reply.expect("a reply").events();
    let chunks = events.iter().filter_map(|event| Chunk::parse(&event.data));
    let rest: String = chunks.filter_map(|c| c.content().map(str::to_owned)).collect();
    assert_eq!(owner.check(&(delivered + &rest), 5), Ok(()));
    first.stop().await;
    second.stop().await;
}

#[tokio::test]
async fn prefixes_are_imported_from_the_store_that_they_were_exported_to() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = CacheStore::start(CacheStoreOptions { listen, blocks_limit: 100 });
    let store = store.await.expect("a free port");
    let exporting = EngineOptions { export_to: Some(store.address), ..options() };
    let first = Engine::start(exporting).await.expect("a free port");
    let second = engine().await;
    let mut body = chat(1, true);
    body["messages"][0]["content"] = json!("long ".repeat(200));
    send(first.address, post("/v1/chat/completions", &body)).await.expect("a reply");
    body["kv_transfer_params"] = json!({
        "do_remote_prefill": true,
        "remote_host": store.address.ip().to_string(),
        "remote_port": store.address.port(),
    });
    let mut tries = 0;
    // Exports follow the answer, so that the first tries may find nothing; each tries a new prompt
    // only as far as the engine's own cache is concerned.
    while second.totals().imported_tokens == 0 {
        tries += 1;
        assert!(tries < 100, "nothing was imported");
        second.crash(0);
        tokio::time::sleep(Duration::from_millis(10)).await;
        send(second.address, post("/v1/chat/completions", &body)).await;
    }
    // 1,006 bytes of prompt hold three whole blocks of 64 tokens.
    assert_eq!(second.totals().imported_tokens, 3 * 64);
    first.stop().await;
    second.stop().await;
    store.stop().await;
}

#[tokio::test]
async fn cancelled_requests_are_forgotten() {
    let engine = engine().await;
    let address = engine.address;
    let long = tokio::spawn(send(address, post("/v1/chat/completions", &chat(5_000, true))));
    let cancel = || Request::delete("/v1/chat/completions/r1").header("host", "e");
    let mut tries = 0;
    loop {
        let request = cancel().body(Bytes::new()).expect("a plain request");
        let status = send(address, request).await.expect("a reply").status;
        if status == 204 {
            break;
        }
        tries += 1;
        assert!(tries < 500, "the request never arrived");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let cut = long.await.expect("no panic").expect("a reply");
    assert!(!cut.is_whole);
    let request = cancel().body(Bytes::new()).expect("a plain request");
    assert_eq!(send(address, request).await.expect("a reply").status, 404);
    assert_eq!(engine.totals().cancelled, 1);
    engine.stop().await;
}

struct FaultCase {
    kind: FaultKind,
    step: Step,
    expected: fn(&Option<Reply>) -> bool,
}

fn is_cut(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_none_or(|reply| !reply.is_whole)
}

fn has_event(reply: &Option<Reply>, matches: impl Fn(&SseEvent) -> bool) -> bool {
    reply.as_ref().is_some_and(|reply| reply.events().iter().any(matches))
}

fn is_complete(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|r| r.is_whole) && has_event(reply, |e| e.data == "[DONE]")
}

fn has_garbage(reply: &Option<Reply>) -> bool {
    has_event(reply, |e| e.data != "[DONE]" && Chunk::parse(&e.data).is_none())
}

fn is_crossed(reply: &Option<Reply>) -> bool {
    has_event(reply, |e| e.data.contains("chatcmpl-crossed"))
}

fn has_crossed_header(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|reply| reply.headers["x-request-id"] == "crossed")
}

fn is_refused(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|reply| reply.status == 503)
}

fn is_silent(reply: &Option<Reply>) -> bool {
    // The first events may have come before the connection went silent.
    is_cut(reply) && !is_complete(reply)
}

#[tokio::test]
async fn faults_strike_at_their_step_and_once() {
    let case = |kind, step, expected| FaultCase { kind, step, expected };
    let cases = [
        case(FaultKind::Cut, Step::Connect, is_cut),
        case(FaultKind::Garbage, Step::Connect, is_cut),
        case(FaultKind::Slow, Step::Connect, is_complete),
        case(FaultKind::Die, Step::Headers, is_cut),
        case(FaultKind::Cut, Step::Headers, is_cut),
        case(FaultKind::Slow, Step::Headers, is_complete),
        case(FaultKind::Crossed, Step::Headers, has_crossed_header),
        case(FaultKind::Refuse, Step::Headers, is_refused),
        case(FaultKind::Die, Step::Token(2), is_cut),
        case(FaultKind::Silence, Step::Token(2), is_silent),
        case(FaultKind::Cut, Step::Token(1), is_cut),
        case(FaultKind::Garbage, Step::Token(2), has_garbage),
        case(FaultKind::Crossed, Step::Token(2), is_crossed),
        case(FaultKind::Cut, Step::Last, is_cut),
        case(FaultKind::Crossed, Step::Last, is_crossed),
        case(FaultKind::Cut, Step::End, is_cut),
        case(FaultKind::Garbage, Step::End, has_garbage),
        case(FaultKind::Slow, Step::End, is_complete),
    ];
    for FaultCase { kind, step, expected } in cases {
        let engine = engine().await;
        engine.set_faults(vec![FaultRule { kind, step, count: 1, delay_ms: 10 }]);
        let request = || post("/v1/chat/completions", &chat(4, true));
        let struck = send(engine.address, request()).await;
        assert!(expected(&struck), "{kind:?} at {step:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        let next = send(engine.address, request()).await;
        assert!(is_complete(&next), "after {kind:?} at {step:?}");
        engine.stop().await;
    }
}

#[tokio::test]
async fn a_crash_loses_the_cache_and_changes_the_incarnation() {
    let engine = engine().await;
    let caller = Caller::new();
    let question = "long ".repeat(200);
    let ask = Call { request_id: "r1".to_owned(), ..Call::new("m", &question, 1) };
    let load = async || send(engine.address, get("/load", "0")).await.expect("a reply").json();
    assert_eq!(caller.complete(engine.address, &ask).await.cached_tokens, 0);
    assert!(caller.complete(engine.address, &ask).await.cached_tokens > 0);
    let before = load().await;
    assert!(before["cached_blocks"].as_u64() > Some(0));
    engine.crash(0);
    let after = load().await;
    assert_ne!(before["incarnation"], after["incarnation"]);
    assert_eq!(after["cached_blocks"], 0);
    assert_eq!(caller.complete(engine.address, &ask).await.cached_tokens, 0);
    let events = send(engine.address, get("/cache/events?after=0", "0")).await.expect("a reply");
    assert!(!events.json()["events"].as_array().expect("a list").is_empty());
    caller.close().await;
    engine.stop().await;
}

#[tokio::test]
async fn orders_with_old_fencing_numbers_are_refused_if_checked() {
    for (fencing, expected) in [(FencingMode::Checked, 409), (FencingMode::Ignored, 200)] {
        let engine = Engine::start(EngineOptions { fencing, ..options() }).await.expect("a port");
        let order =
            |number: u64| post("/orders/role", &json!({"role": "x", "fencing_number": number}));
        assert_eq!(send(engine.address, order(5)).await.expect("a reply").status, 200);
        assert_eq!(send(engine.address, order(5)).await.expect("a reply").status, 200);
        assert_eq!(send(engine.address, order(4)).await.expect("a reply").status, expected);
        engine.stop().await;
    }
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_work() {
    let engine = engine().await;
    engine.set_leaving(true);
    let reply = send(engine.address, post("/v1/chat/completions", &chat(1, true))).await;
    let reply = reply.expect("a reply");
    assert_eq!((reply.status, &reply.json()["error"]["code"]), (503, &json!("leaving")));
    engine.stop().await;
}
