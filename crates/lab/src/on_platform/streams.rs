//! Streams as a caller receives them, over all of its attempts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use tokio::time::Instant;

use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// What a caller says of the stream that it takes up.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Resumption {
    /// The last event that it received.
    pub last_event: u64,
    /// The attempt that brought the first event. `None` from a caller that does not send it.
    pub resumes: Option<HeaderValue>,
}

impl Resumption {
    /// Adds its headers to those of a request.
    pub fn add_to(&self, headers: &mut HeaderMap) {
        headers.insert("last-event-id", self.last_event.into());
        if let Some(resumes) = &self.resumes {
            headers.insert("resumes", resumes.clone());
        }
    }
}

/// The whole events that a caller received, in order.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct StreamText {
    events: Vec<(u64, String)>,
}

impl StreamText {
    /// Reads the whole events of a body; one that was cut does not count.
    pub fn parse(body: &str) -> Self {
        let (whole, _) = body.rsplit_once("\n\n").unwrap_or_default();
        let events = whole.split("\n\n").filter_map(|event| {
            let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
            Some((id.parse().ok()?, data.to_owned()))
        });
        Self { events: events.collect() }
    }

    /// Adds what a later attempt brought.
    pub fn append(&mut self, mut later: Self) {
        self.events.append(&mut later.events);
    }

    /// Returns the number of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.events.last().map(|(id, _)| *id)
    }

    /// Returns the numbers of the events.
    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.events.iter().map(|(id, _)| *id)
    }

    /// Returns the versions of the software that wrote the events.
    pub fn software(&self) -> BTreeSet<&str> {
        let versions = self.events.iter().filter_map(|(_, data)| data.split_once(' '));
        versions.map(|(_, version)| version).collect()
    }
}

/// What one attempt brought.
#[derive(Clone, Debug)]
pub struct StreamPart {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it was read.
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
    /// The time from the request to the head of its answer.
    pub head_after: Duration,
}

/// Sends a request and reads its answer to its end, or up to a number of events, which drops the
/// connection. `None` if there was no answer. The body may take as long as the head.
pub async fn read_stream(
    pool: &Pool,
    node: SocketAddr,
    request: Request<Bytes>,
    freshness: Freshness,
    events: usize,
    timeouts: &Timeouts,
) -> Option<StreamPart> {
    let asked = Instant::now();
    let reply = pool.send(node, request, freshness, timeouts).await.ok()?;
    let head_after = asked.elapsed();
    let (parts, mut reply) = reply.into_parts();
    let (mut body, mut is_complete) = (String::new(), false);
    let ends = Instant::now() + timeouts.head;
    while body.matches("\n\n").count() < events && !is_complete {
        match reply.next(ends.saturating_duration_since(Instant::now())).await {
            Ok(Some(piece)) => body.push_str(&String::from_utf8_lossy(&piece)),
            Ok(None) => is_complete = true,
            Err(_) => break,
        }
    }
    Some(StreamPart { status: parts.status, headers: parts.headers, body, is_complete, head_after })
}
