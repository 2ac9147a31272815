//! Serves completion requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::CompletionRequest;
use super::relay::Completion;
use super::relay::CompletionParts;
use super::relay::Event;
use super::relay::run;
use crate::Refusal;
use crate::dispatch::Dispatcher;
use crate::dispatch::ScheduleRequest;
use crate::http::Body;
use crate::http::RequestId;
use crate::http::json_response;
use crate::telemetry::Metrics;
use crate::upstream::EngineClient;
use redwingrill_codes::ErrorBody;
use redwingrill_codes::ResultCode;
use redwingrill_config::Account;
use redwingrill_config::Snapshot;
use redwingrill_entity::AccountId;
use redwingrill_entity::PriorityId;
use redwingrill_stream::CompletionAssembler;

const PRIORITY_HEADER: &str = "x-redwingrill-priority";

/// The number of chunks that are buffered between an engine and a slow caller.
const EVENT_BUFFER_SIZE: usize = 16;

const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Serves completion requests.
#[derive(Clone, Debug)]
pub struct Completions {
    /// Admits requests and chooses engines.
    pub dispatcher: Dispatcher,
    /// The client of the engines.
    pub engines: EngineClient,
    /// Tracks the relay tasks.
    pub tasks: TaskTracker,
    /// The metrics to which durations are reported.
    pub metrics: Metrics,
}

/// The caller of a request and the configuration under which it is served.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The configuration in force when the request arrived.
    pub snapshot: &'a Arc<Snapshot>,
    /// The client account.
    pub account: AccountId,
    /// The identifier of the request.
    pub request_id: RequestId,
}

impl Completions {
    /// Serves one request.
    ///
    /// # Errors
    ///
    /// The refusal, if the response did not start.
    pub async fn serve(
        &self,
        caller: Caller<'_>,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<Response<Body>, Refusal> {
        let arrived = Instant::now();
        let request = CompletionRequest::parse(body)?;
        let snapshot = caller.snapshot;
        let model = snapshot.model(request.model()).ok_or(ResultCode::ModelUnknown)?;
        let account = snapshot.state.accounts.get(caller.account).ok_or(ResultCode::KeyUnknown)?;
        let priority_id = priority_of(headers, snapshot, account)?;
        let priority =
            snapshot.state.priorities.get(priority_id).ok_or(ResultCode::PriorityUnknown)?;
        let schedule_request = ScheduleRequest {
            snapshot,
            account: caller.account,
            priority: priority_id,
            model,
            prompt: &request.prompt(),
            max_tokens: request.max_tokens(),
        };
        let ticket = self.dispatcher.admit(&schedule_request).await?;
        let streamed = request.is_streamed();
        let model_name = request.model().to_owned();
        let (sender, events) = mpsc::channel(EVENT_BUFFER_SIZE);
        let completion = Completion::new(CompletionParts {
            request_id: caller.request_id,
            wants_usage: !streamed || request.wants_usage(),
            request,
            engines: self.engines.clone(),
            ticket,
            events: sender,
            priority: priority.level,
            cache_salt: account.name.clone(),
        });
        self.tasks.spawn(run(completion));
        let mut relay = RelayEvents { events, request_id: caller.request_id };
        let first = relay.next().await;
        self.metrics.first_token(&priority.name, arrived.elapsed());
        if streamed { Self::stream(first, relay) } else { relay.collect(first, &model_name).await }
    }

    fn stream(first: Event, relay: RelayEvents) -> Result<Response<Body>, Refusal> {
        let first = Some(check_event(first)?);
        let body = EventBody { first, relay, ended: false };
        let mut response = Response::new(body.boxed());
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        Ok(response)
    }
}

/// Returns an event, or the refusal that it carries.
fn check_event(first: Event) -> Result<Event, Refusal> {
    match first {
        Event::Failed(refusal) => Err(refusal),
        Event::Rejected { status, message } => Err(rejection(status, &message)),
        event => Ok(event),
    }
}

fn rejection(status: StatusCode, message: &str) -> Refusal {
    let detail = format!("the engine refused the request with status {status}: {message}");
    Refusal::with_detail(ResultCode::BadRequest, detail)
}

/// The receiving end of a relay's events.
struct RelayEvents {
    events: mpsc::Receiver<Event>,
    request_id: RequestId,
}

impl RelayEvents {
    async fn next(&mut self) -> Event {
        self.events.recv().await.unwrap_or_else(Self::unexpected_end)
    }

    /// Returns the event for a relay that ended without a final event.
    fn unexpected_end() -> Event {
        Event::Failed(ResultCode::Internal.into())
    }

    async fn collect(mut self, first: Event, model: &str) -> Result<Response<Body>, Refusal> {
        let mut assembled = CompletionAssembler::default();
        assembled.set_model(model);
        let mut event = check_event(first)?;
        loop {
            match event {
                Event::Chunk(chunk) => assembled.push(&chunk),
                Event::Complete(usage) => {
                    return Ok(json_response(StatusCode::OK, assembled.to_json(usage.as_ref())));
                }
                Event::Failed(_) | Event::Rejected { .. } => {
                    check_event(event)?;
                    return Err(ResultCode::Internal.into());
                }
            }
            event = self.next().await;
        }
    }
}

/// A completion as a body of server-sent events. Dropping it signals the relay that the caller has
/// disconnected.
struct EventBody {
    first: Option<Event>,
    relay: RelayEvents,
    ended: bool,
}

impl EventBody {
    fn event_bytes(&mut self, event: Event) -> Bytes {
        match event {
            Event::Chunk(chunk) => data_event(&chunk.to_json()),
            Event::Complete(_) => {
                self.ended = true;
                Bytes::from_static(END_MARKER)
            }
            Event::Failed(refusal) => self.error_event(&refusal),
            Event::Rejected { status, message } => self.error_event(&rejection(status, &message)),
        }
    }

    fn error_event(&mut self, refusal: &Refusal) -> Bytes {
        self.ended = true;
        let id = self.relay.request_id.to_string();
        data_event(&ErrorBody::new(refusal.code, &refusal.detail, &id).to_json())
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(first);
        }
        let event = self.relay.events.poll_recv(context);
        event.map(|event| event.unwrap_or_else(RelayEvents::unexpected_end))
    }
}

impl http_body::Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = ready!(self.poll_event(context));
        Poll::Ready(Some(Ok(Frame::data(self.event_bytes(event)))))
    }
}

fn data_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn priority_of(
    headers: &HeaderMap,
    snapshot: &Snapshot,
    account: &Account,
) -> Result<PriorityId, Refusal> {
    let Some(name) = headers.get(PRIORITY_HEADER) else {
        return account
            .priorities
            .first()
            .copied()
            .ok_or_else(|| ResultCode::PriorityUnknown.into());
    };
    let named = name.to_str().ok().and_then(|name| snapshot.priority(name));
    let allowed = named.filter(|id| account.priorities.contains(id));
    allowed.ok_or_else(|| ResultCode::PriorityUnknown.into())
}
