//! The handler of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use rand::Rng;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::call::Call;
use super::relay::Relay;
use super::response::Body;
use super::response::full_body;
use super::response::refusal_reply;
use super::send::ANSWER_LIMIT_BYTES;
use super::send::Answer;
use super::send::AttemptOutcome;
use super::send::send_attempt;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::dispatch::Attempt;
use crate::dispatch::Dispatcher;
use crate::dispatch::Purpose;
use crate::telemetry::Metrics;
use redwingrill_codes::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_routing::CallerLimits;
use redwingrill_routing::Configuration;
use redwingrill_routing::HeadDialect;
use redwingrill_routing::RequestFacts;
use redwingrill_routing::Route;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_transport::Pool;

/// The time that a caller waits if it does not say.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The pause that a caller is told while the node has no configuration.
const NOT_READY_PAUSE_MS: u64 = 500;

/// A request with less time left is given up rather than sent.
const LEAST_LEFT: Duration = Duration::from_millis(5);

/// The part of its target that a repeatable request waits for the first upstream, in percent.
const FIRST_WAIT_PERCENT: u32 = 60;

/// What the handler is made with.
#[derive(Clone)]
pub struct GatewayContext {
    /// Reads and writes heads.
    pub dialect: Arc<dyn HeadDialect>,
    /// What the node believes.
    pub beliefs: watch::Receiver<Arc<ClusterView>>,
    /// The way to the dispatch task.
    pub dispatcher: Dispatcher,
    /// Connections to upstreams.
    pub pool: Pool,
    /// The relays of streams.
    pub relays: TaskTracker,
    /// Counters.
    pub metrics: Metrics,
}

/// Serves callers' requests. Clones share all state.
#[derive(Clone)]
pub struct Gateway {
    parts: Arc<GatewayContext>,
}

/// How a request is answered, with the words of its log line.
struct Ended {
    response: Response<Body>,
    code: ResultCode,
}

/// Whether a request moved on from an upstream that is late.
enum Moved {
    To(Attempt),
    No(AttemptOutcome),
}

impl Gateway {
    /// Makes the handler.
    pub fn new(parts: GatewayContext) -> Self {
        Self { parts: Arc::new(parts) }
    }

    /// Returns whether requests can be routed.
    pub fn is_configured(&self) -> bool {
        self.parts.beliefs.borrow().configuration.is_some()
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        let beliefs = self.parts.beliefs.borrow();
        beliefs.configuration.as_ref().map_or_else(CallerLimits::default, |known| *known.limits())
    }

    /// Serves one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived_ms = now_ms();
        let facts = match self.parts.dialect.read_request(request.headers()) {
            Ok(facts) => facts,
            Err(e) => {
                info!("event=request_ended request_id=- code=100 reason={e:?}");
                let refusal = Refusal::with_detail(ResultCode::BadRequest, e.to_string());
                return refusal_reply(&refusal, "");
            }
        };
        let beliefs = self.parts.beliefs.borrow().clone();
        let id = facts.id.clone();
        let ended = match self.admit(request, facts, &beliefs, arrived_ms).await {
            Ok(mut call) => {
                let ended = self.run(&mut call).await;
                let ended = ended.unwrap_or_else(|refusal| refused(&refusal, &id));
                self.log_end(&call, &ended);
                ended
            }
            Err(refusal) => {
                info!(
                    "event=request_ended request_id={id} code={} detail={:?} revision={}",
                    refusal.code.number(),
                    refusal.detail,
                    beliefs.complete_to.0,
                );
                refused(&refusal, &id)
            }
        };
        ended.response
    }

    /// Finds the route and the account of a request, and reads its body.
    async fn admit(
        &self,
        request: Request<Incoming>,
        mut facts: RequestFacts,
        beliefs: &ClusterView,
        arrived_ms: u64,
    ) -> Result<Call, Refusal> {
        let Some(configuration) = &beliefs.configuration else {
            return Err(Refusal::new(ResultCode::NotReady).retry_after(NOT_READY_PAUSE_MS));
        };
        let (mut head, body) = request.into_parts();
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or(head.uri.host()).unwrap_or_default();
        let path = head.uri.path();
        let route = configuration.route(host, path).cloned();
        let route = route.ok_or_else(|| {
            let detail = format!("no route for {host}{path}");
            Refusal::with_detail(ResultCode::RouteUnknown, detail)
        })?;
        let account = account_of(configuration, &route, &facts)?;
        let waits_ms = facts.deadline.map_or(DEFAULT_DEADLINE_MS, |wait| wait.as_millis() as u64);
        let waits_ms = waits_ms.min(route.timeout.as_millis() as u64);
        let deadline_ms = arrived_ms + waits_ms;
        let body = read_body(body, configuration.limits(), Duration::from_millis(waits_ms)).await?;
        self.parts.dialect.clean_request(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let service = route.choose_service(rand::rng().random()).to_owned();
        let prompt = facts.prompt.take().map(Arc::new);
        self.parts.dispatcher.count_request(&service, prompt.clone());
        let uri = origin_form(&head.uri);
        Ok(Call {
            facts,
            prompt,
            route,
            service,
            account,
            method: head.method,
            uri,
            headers: head.headers,
            body,
            arrived_ms,
            deadline_ms,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
        })
    }

    /// Sends a request until it is answered or given up.
    async fn run(&self, call: &mut Call) -> Result<Ended, Refusal> {
        let mut leg = self.assign(call).await?;
        loop {
            let index = leg.assignment().index;
            match self.attempt_or_move(call, leg).await {
                Moved::To(next) => {
                    self.note(call, "moved", "");
                    call.may_have_run_at(index);
                    leg = next;
                    continue;
                }
                Moved::No(AttemptOutcome::Answered(answer)) => {
                    call.may_have_run_at(index);
                    if let Some(ended) = self.answered(call, *answer).await? {
                        return Ok(ended);
                    }
                }
                Moved::No(AttemptOutcome::NotSent { reason }) => {
                    self.note(call, "not_sent", &reason);
                    call.tried.push(index);
                }
                Moved::No(AttemptOutcome::NotRun { status }) => {
                    self.note(call, "not_run", status.as_str());
                    call.sends += 1;
                    call.tried.push(index);
                }
                Moved::No(AttemptOutcome::Lost { reason }) => {
                    self.note(call, "lost", &reason);
                    call.may_have_run_at(index);
                    may_go_on(call, ResultCode::UpstreamFailed, "")?;
                }
                Moved::No(AttemptOutcome::Silent) => {
                    self.note(call, "silent", "");
                    call.may_have_run_at(index);
                    may_go_on(call, ResultCode::UpstreamSilent, "")?;
                }
            }
            if call.left() < LEAST_LEFT {
                return Err(out_of_time(call));
            }
            leg = self.assign(call).await?;
        }
    }

    /// Waits for an upstream's answer. A request that may be repeated and whose upstream is late
    /// moves to another one, if there is one and the bound on repeats allows it; else the wait goes
    /// on.
    async fn attempt_or_move(&self, call: &Call, leg: Attempt) -> Moved {
        let first_wait = self.first_wait(call);
        let index = leg.assignment().index;
        let (dialect, pool) = (self.parts.dialect.as_ref(), &self.parts.pool);
        let answer = send_attempt(call, leg, call.facts.last_event_id, dialect, pool);
        tokio::pin!(answer);
        if let Some(first_wait) = first_wait {
            if let Ok(answer) = tokio::time::timeout(first_wait, answer.as_mut()).await {
                return Moved::No(answer);
            }
            let mut ask = call.ask();
            ask.tried.push(index);
            if let Ok(next) = self.parts.dispatcher.choose(ask, Purpose::Move).await {
                log_assignment(call, &next);
                return Moved::To(next);
            }
        }
        Moved::No(answer.await)
    }

    /// Returns how long the first upstream's answer is awaited before another one is the better
    /// hope: until that one can still answer within the target. `None` if no other may run the
    /// request.
    fn first_wait(&self, call: &Call) -> Option<Duration> {
        let may_move = call.route.kind.may_repeat() && call.runs + 1 < call.route.attempts_limit;
        let first = call.route.target_latency * FIRST_WAIT_PERCENT / 100;
        may_move.then(|| first.min(call.left()))
    }

    async fn assign(&self, call: &Call) -> Result<Attempt, Refusal> {
        let purpose = if call.sends > 0 { Purpose::Retry } else { Purpose::First };
        let chosen = self.parts.dispatcher.choose(call.ask(), purpose).await;
        let (cause, retry_after_ms) = match chosen {
            Ok(leg) => {
                log_assignment(call, &leg);
                return Ok(leg);
            }
            Err(refused) => refused,
        };
        if call.runs > 0 {
            // The first upstream may have run it, so this is no refusal.
            let detail = format!("{cause:?}");
            return Err(Refusal::with_detail(ResultCode::UpstreamFailed, detail));
        }
        let code = match cause {
            RefusalCause::NoUpstream => ResultCode::NoUpstream,
            RefusalCause::Overloaded => ResultCode::Shed,
            RefusalCause::RepeatBudget => ResultCode::RetryBudgetSpent,
            RefusalCause::Stopping => ResultCode::Draining,
        };
        Err(Refusal::new(code).retry_after(retry_after_ms))
    }

    /// Passes an answer on. Returns `None` if another upstream is to be tried.
    async fn answered(&self, call: &mut Call, answer: Answer) -> Result<Option<Ended>, Refusal> {
        if call.route.kind.is_stream() && answer.parts.status == StatusCode::OK {
            return self.stream(call, answer).await;
        }
        let Answer { mut parts, body, mut leg } = answer;
        let whole = match body.read_all(ANSWER_LIMIT_BYTES, call.left()).await {
            Ok(whole) => whole,
            Err(e) => {
                self.note(call, "lost", &e.to_string());
                leg.end(Verdict::Failed, false);
                may_go_on(call, ResultCode::UpstreamFailed, e.to_string())?;
                return Ok(None);
            }
        };
        leg.report_prefilled();
        let is_failure = parts.status.is_server_error();
        leg.end(if is_failure { Verdict::Failed } else { Verdict::Served }, false);
        if is_failure && call.may_run_again() && call.left() > LEAST_LEFT {
            self.note(call, "failed", parts.status.as_str());
            return Ok(None);
        }
        if is_promise(parts.status) {
            // Only a stated "not run" may be passed on with such a status.
            let status = parts.status.as_str();
            return Err(Refusal::with_detail(ResultCode::UpstreamFailed, status));
        }
        self.parts.dialect.clean_reply(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        self.parts.metrics.attempt_ended(&call.service, parts.status.as_str());
        let response = Response::from_parts(parts, full_body(whole));
        Ok(Some(Ended { response, code: ResultCode::Ok }))
    }

    /// Waits for the first event of a stream and begins to relay it.
    async fn stream(&self, call: &mut Call, answer: Answer) -> Result<Option<Ended>, Refusal> {
        let wait = call.left();
        let mut relay = Relay::new(self.parts.clone(), answer, call.facts.last_event_id);
        match relay.first_events(wait).await {
            Ok(()) => {}
            Err(reason) => {
                self.note(call, "lost", &reason);
                relay.failed();
                may_go_on(call, ResultCode::UpstreamFailed, reason)?;
                return Ok(None);
            }
        }
        let took = Duration::from_millis(call.age_ms());
        self.parts.metrics.first_event(&call.route.name, took);
        let response = relay.start(call, &self.parts.relays);
        Ok(Some(Ended { response, code: ResultCode::Ok }))
    }

    fn note(&self, call: &Call, outcome: &str, reason: &str) {
        self.parts.metrics.attempt_ended(&call.service, outcome);
        info!(
            "event=leg_failed request_id={} outcome={outcome} reason={reason:?} age_ms={} runs={}",
            call.facts.id,
            call.age_ms(),
            call.runs,
        );
    }

    fn log_end(&self, call: &Call, ended: &Ended) {
        let took = Duration::from_millis(call.age_ms());
        let (code, status) = (ended.code, ended.response.status().as_u16());
        self.parts.metrics.request_ended(&call.route.name, code.info().name, took);
        info!(
            "event=request_ended request_id={} route={} code={} status={status} took_ms={} \
             sends={} runs={}",
            call.facts.id,
            call.route.name,
            code.number(),
            took.as_millis(),
            call.sends,
            call.runs,
        );
    }
}

fn refused(refusal: &Refusal, id: &str) -> Ended {
    Ended { response: refusal_reply(refusal, id), code: refusal.code }
}

/// Ends a request with an error unless another upstream may run it.
fn may_go_on(call: &Call, code: ResultCode, detail: impl Into<String>) -> Result<(), Refusal> {
    match call.may_run_again() {
        true => Ok(()),
        false => Err(Refusal::with_detail(code, detail)),
    }
}

fn out_of_time(call: &Call) -> Refusal {
    match call.runs {
        0 => Refusal::new(ResultCode::QueueTimeout),
        _ => Refusal::new(ResultCode::UpstreamSilent),
    }
}

fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn account_of(
    configuration: &Configuration,
    route: &Route,
    facts: &RequestFacts,
) -> Result<Option<redwingrill_routing::ClientAccount>, Refusal> {
    let account = facts.key.as_deref().and_then(|key| configuration.account_of(key));
    if account.is_none() && configuration.needs_key() && !route.is_anonymous {
        let code = match facts.key {
            None => ResultCode::KeyMissing,
            Some(_) => ResultCode::KeyUnknown,
        };
        return Err(Refusal::new(code));
    }
    Ok(account.cloned())
}

async fn read_body(
    mut body: Incoming,
    limits: &CallerLimits,
    wait: Duration,
) -> Result<Bytes, Refusal> {
    use hyper::body::Body as _;
    let known_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if known_bytes > limits.body_bytes {
        return Err(Refusal::new(ResultCode::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = async {
        let mut whole = BytesMut::with_capacity(known_bytes);
        while let Some(frame) = body.frame().await {
            let early = |_| Refusal::with_detail(ResultCode::BadRequest, "the body ended early");
            let Ok(data) = frame.map_err(early)?.into_data() else { continue };
            if whole.len() + data.len() > limits.body_bytes {
                return Err(Refusal::new(ResultCode::BodyTooLarge));
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let read = tokio::time::timeout(wait, reading).await;
    read.unwrap_or_else(|_| Err(Refusal::new(ResultCode::RequestTimeout)))
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) if uri.scheme().is_some() => http::Uri::from(path.clone()),
        _ => uri.clone(),
    }
}

fn log_assignment(call: &Call, leg: &Attempt) {
    let assignment = leg.assignment();
    let prefix = assignment.affinity.map_or(0, |key| key.0);
    let scope = assignment.scope.as_ref().map_or("-", |scope| scope.0.as_str());
    let fetch = assignment.fetch_from.map_or_else(|| "-".to_owned(), |from| from.to_string());
    info!(
        "event=assigned request_id={} route={} upstream={} scope={scope} prefix={prefix:x} \
         unread_tokens={} fetch={fetch} save={} sends={} age_ms={}",
        call.facts.id,
        call.route.name,
        assignment.upstream.id,
        assignment.unread_tokens,
        assignment.save_to.is_some(),
        call.sends,
        call.age_ms(),
    );
}
