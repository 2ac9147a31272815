//! Callers that ask all the while, over open connections, and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio_util::sync::CancellationToken;

use super::site::Kind;
use crate::on_platform::KEY;
use crate::on_platform::request;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// What a caller waits at most: its deadline, which it also names.
const DEADLINE: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_secs(1);

const BODY_LIMIT_BYTES: usize = 1 << 20;

/// The pause between the requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// What a caller got for one request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its identity.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// `None` if there was no answer.
    pub answer: Option<Answer>,
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
        let id = format!("{name}-{}", asked.len());
        let answer = ask(&pool, node, kind, &id, Freshness::Any).await;
        asked.push(Asked { id, kind, answer });
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
    asked
}

/// Sends one request; `None` if there was no answer.
pub(super) async fn ask(
    pool: &Pool,
    node: SocketAddr,
    kind: Kind,
    id: &str,
    freshness: Freshness,
) -> Option<Answer> {
    let timeouts = Timeouts { connect: CONNECT, head: DEADLINE };
    let request = request(kind.route(), id, DEADLINE, Some(KEY), kind.is_stream());
    let request = request.body(body(id)).expect("a request");
    let reply = pool.send(node, request, freshness, &timeouts).await.ok()?;
    let (parts, body) = reply.into_parts();
    let text = |name: &str| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(ToOwned::to_owned)
    };
    let body = body.read_all(BODY_LIMIT_BYTES, DEADLINE).await.ok();
    Some(Answer {
        status: parts.status.as_u16(),
        stamp: text("x-server-stamp"),
        request_id: text("x-request-id"),
        body: body.map(|body| String::from_utf8_lossy(&body).into_owned()),
    })
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
