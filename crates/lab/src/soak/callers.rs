//! Callers that ask all the while, over open connections, and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio_util::sync::CancellationToken;

use super::site::Kind;
use crate::on_platform::KEY;
use crate::on_platform::Resumption;
use crate::on_platform::StreamText;
use crate::on_platform::read_stream;
use crate::on_platform::request;
use crate::site_upstream::EVENTS;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// What a caller waits at most: its deadline, which it also names.
const DEADLINE: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_secs(1);

/// The pause between the requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// How often a caller takes up a stream, and the pause before.
const RESUMPTIONS: usize = 4;
const RESUMES_AFTER_MS: std::ops::Range<u64> = 20..700;

/// How often the connection of a caller ends in the middle of a stream, and after how many events.
const CUT_SHARE: f64 = 0.3;
const CUT_AFTER: std::ops::Range<usize> = 1..5;

/// What a caller got for one request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its identity.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The attempt that began the stream that it takes up.
    pub resumes: Option<String>,
    /// The last event that the caller had received before; 0 if there was none.
    pub after: u64,
    /// `None` if there was no answer.
    pub answer: Option<Answer>,
}

impl Asked {
    /// A request that takes up nothing.
    pub fn new(id: String, kind: Kind, answer: Option<Answer>) -> Self {
        Self { id, kind, resumes: None, after: 0, answer }
    }
}

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The upstream's signature.
    pub stamp: Option<String>,
    /// The request that it says it answers.
    pub request_id: Option<String>,
    /// `None` if it was broken off.
    pub body: Option<String>,
    /// The events that came, if it is a stream.
    pub events: StreamText,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct Call {
    id: String,
    kind: Kind,
    resumes: Option<String>,
    after: u64,
    events_limit: usize,
}

impl Call {
    /// A request that takes up nothing and reads its whole answer.
    pub fn new(kind: Kind, id: String) -> Self {
        Self { id, kind, resumes: None, after: 0, events_limit: usize::MAX }
    }
}

/// Asks until `stopping`, and returns what it got.
pub(super) async fn keep_asking(
    name: usize,
    seed: u64,
    nodes: Arc<Vec<SocketAddr>>,
    pool: Pool,
    stopping: CancellationToken,
) -> Vec<Asked> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut asked = Vec::new();
    while !stopping.is_cancelled() {
        let node = *nodes.choose(&mut rng).expect("there are nodes");
        let kind = *Kind::ALL.choose(&mut rng).expect("there are kinds");
        let mut call = Call::new(kind, format!("{name}-{}", asked.len()));
        if kind == Kind::Resumable && rng.random_bool(CUT_SHARE) {
            call.events_limit = rng.random_range(CUT_AFTER);
        }
        let one = ask(&pool, node, call, Freshness::Any).await;
        let begun = one.clone();
        asked.push(one);
        if kind == Kind::Resumable {
            asked.extend(take_up(&begun, &mut rng, &nodes, &pool).await);
        }
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
    asked
}

/// Takes up a stream that was interrupted after its first event, at any node, until it is whole.
async fn take_up(
    begun: &Asked,
    rng: &mut SmallRng,
    nodes: &[SocketAddr],
    pool: &Pool,
) -> Vec<Asked> {
    let last_of = |asked: &Asked| asked.answer.as_ref().and_then(|a| a.events.last_event());
    let mut asked = Vec::new();
    let Some(mut last) = last_of(begun) else { return asked };
    while last < EVENTS && asked.len() < RESUMPTIONS {
        let pause = Duration::from_millis(rng.random_range(RESUMES_AFTER_MS));
        tokio::time::sleep(pause).await;
        let node = *nodes.choose(rng).expect("there are nodes");
        let call = Call {
            resumes: Some(begun.id.clone()),
            after: last,
            ..Call::new(begun.kind, format!("{}-{}", begun.id, asked.len() + 1))
        };
        let one = ask(pool, node, call, Freshness::New).await;
        last = last_of(&one).unwrap_or(last);
        asked.push(one);
    }
    asked
}

/// Sends one request.
pub(super) async fn ask(pool: &Pool, node: SocketAddr, call: Call, freshness: Freshness) -> Asked {
    let Call { id, kind, resumes, after, events_limit } = call;
    let timeouts = Timeouts { connect: CONNECT, head: DEADLINE };
    let request = request(kind.route(), &id, DEADLINE, Some(KEY), kind.is_stream());
    let mut request = request.body(body(&id)).expect("a request");
    if let Some(first) = &resumes {
        let resumes = HeaderValue::from_str(first).ok();
        Resumption { last_event: after, resumes }.add_to(request.headers_mut());
    }
    let part = read_stream(pool, node, request, freshness, events_limit, &timeouts).await;
    let answer = part.map(|part| {
        let text = |name: &str| {
            part.headers.get(name).and_then(|value| value.to_str().ok()).map(ToOwned::to_owned)
        };
        Answer {
            status: part.status.as_u16(),
            stamp: text("x-server-stamp"),
            request_id: text("x-request-id"),
            events: StreamText::parse(&part.body),
            body: part.is_complete.then_some(part.body),
        }
    });
    Asked { id, kind, resumes, after, answer }
}

/// Returns whether a node knows a route. The request has no key, so no upstream gets it.
pub(super) async fn knows_route(pool: &Pool, node: SocketAddr, route: &str) -> Option<bool> {
    let timeouts = Timeouts { connect: CONNECT, head: DEADLINE };
    let request = request(route, "probe", DEADLINE, None, false).body(Bytes::new());
    let request = request.expect("a request");
    let reply = pool.send(node, request, Freshness::New, &timeouts).await.ok()?;
    match reply.status() {
        StatusCode::UNAUTHORIZED => Some(true),
        StatusCode::NOT_FOUND => Some(false),
        _ => None,
    }
}

/// Returns the path and query of a kind.
pub fn target(kind: Kind) -> String {
    format!("/{}/2f?q=1", kind.route())
}

/// Returns the body of a request.
pub fn body(id: &str) -> Bytes {
    Bytes::from(format!("body of {id}"))
}
