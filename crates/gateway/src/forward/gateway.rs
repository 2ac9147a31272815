//! The handler of requests from callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use log::warn;
use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call::Call;
use super::caller_queue::CallerQueues;
use super::relay::Relay;
use super::response::Body;
use super::response::refusal_response;
use super::response::relayed_body;
use super::response::relayed_head;
use super::resumption::bind_to_origin;
use super::resumption::is_resumption;
use super::send::RESPONSE_LIMIT_BYTES;
use super::send::SendOutcome;
use super::send::UpstreamResponse;
use super::send::send_attempt;
use super::send_ledger::SendLedger;
use super::send_ledger::SendRefusal;
use super::send_ledger::UnknownOutcome;
use super::whole_answer::Unconfirmed;
use super::whole_answer::WholeAnswer;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::dispatch::Attempt;
use crate::dispatch::Charge;
use crate::dispatch::Dispatcher;
use crate::dispatch::Purpose;
use crate::dispatch::QuotaRefusal;
use crate::software::SoftwareReader;
use crate::telemetry::Metrics;
use redwingrill_codes::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_routing::AccountTag;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::CallerLimits;
use redwingrill_routing::Configuration;
use redwingrill_routing::HeadCodec;
use redwingrill_routing::LivenessCheck;
use redwingrill_routing::RequestMetadata;
use redwingrill_routing::Route;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::placement::AffinityKey;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Shortage;
use redwingrill_transport::BudgetedBuffer;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Framing;
use redwingrill_transport::Pool;
use redwingrill_transport::TransportError;

/// The path of health checks of services that are not configured any more.
const DEFAULT_HEALTH_PATH: &str = "/";

/// The timeout of a request that carries no deadline.
pub(super) const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// The retry-after of refusals while the node has no configuration.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// The retry-after of requests whose body does not fit into the buffers of the node.
const BUFFERS_FULL_RETRY_AFTER_MS: u64 = 500;

/// The retry-after of refusals late in a stop; it is short because other nodes have capacity.
const DRAINING_RETRY_AFTER_MS: u64 = 100;

/// The retry-after of a request that was assigned an upstream with other software.
const MISMATCH_RETRY_AFTER_MS: u64 = 500;

/// A request with less time before its deadline fails instead of being sent.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);

/// How long a retryable request waits for its upstream before it moves to another one, in percent
/// of its target latency.
const MOVE_AFTER_TARGET_PERCENT: u32 = 60;

/// The dependencies of a [`Gateway`].
#[derive(Clone)]
pub struct GatewayContext {
    /// Decodes and encodes request and response heads.
    pub head_codec: Arc<dyn HeadCodec>,
    /// The cluster view.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// The handle of the dispatch task.
    pub dispatcher: Dispatcher,
    /// Reads the records of software versions.
    pub software: SoftwareReader,
    /// The pool of connections to upstreams.
    pub pool: Pool,
    /// Asks upstreams whether they still run.
    pub liveness: Arc<dyn LivenessCheck>,
    /// What waits for callers that read slowly.
    pub caller_queues: CallerQueues,
    /// Tracks the tasks that relay streams.
    pub relays: TaskTracker,
    /// The metrics of the node.
    pub metrics: Metrics,
}

impl GatewayContext {
    /// Returns the accounts that share cached prompt parts with a request, by the configuration in
    /// force now.
    pub(super) fn cache_audience(&self, call: &Call) -> CacheAudience {
        let account = call.account.as_ref().map(|account| account.name.as_str());
        match &self.view.borrow().configuration {
            Some(configuration) => configuration.cache_audience(account),
            None => account.map_or_else(CacheAudience::default, CacheAudience::only),
        }
    }

    /// Returns the requirements of a request for the scheduler.
    pub(super) fn schedule_request(&self, call: &Call) -> ScheduleRequest {
        call.schedule_request(self.cache_audience(call))
    }

    /// Asks the dispatch task for an attempt of a request.
    pub(super) async fn choose(
        &self,
        call: &Call,
        purpose: Purpose,
    ) -> Result<Attempt, (RefusalCause, u64)> {
        self.choose_for(call, self.schedule_request(call), purpose).await
    }

    /// Asks the dispatch task for an attempt of a request with these requirements. One at an upstream
    /// with other software than the stream needs is given back: engines do not check it.
    async fn choose_for(
        &self,
        call: &Call,
        request: ScheduleRequest,
        purpose: Purpose,
    ) -> Result<Attempt, (RefusalCause, u64)> {
        let attempt = self.dispatcher.choose(request, purpose).await?;
        let upstream = &attempt.assignment().upstream;
        if call.accepts_software(upstream) {
            return Ok(attempt);
        }
        warn!(
            "event=software_mismatch request_id={} account={} upstream={} software={} needed={}",
            call.metadata.id,
            call.account_name(),
            upstream.id,
            software_name(upstream.software.as_ref()),
            software_name(call.software.as_ref()),
        );
        Err((RefusalCause::NoUpstream, MISMATCH_RETRY_AFTER_MS))
    }

    /// Returns the evidence that an upstream's answer, which was received to its last byte, is whole.
    ///
    /// # Errors
    ///
    /// See [`WholeAnswer::confirm`].
    pub(super) async fn confirm_whole(
        &self,
        framing: Framing,
        upstream: &Upstream,
        wait: Duration,
    ) -> Result<WholeAnswer, Unconfirmed> {
        let view = self.view.borrow().clone();
        let service =
            view.configuration.as_ref().and_then(|known| known.service(&upstream.service));
        let health_path = service.map_or(DEFAULT_HEALTH_PATH, |service| &service.health_path);
        WholeAnswer::confirm(framing, upstream, health_path, self.liveness.as_ref(), wait).await
    }
}

/// Handles requests from callers. Clones share all state.
#[derive(Clone)]
pub struct Gateway {
    context: Arc<GatewayContext>,
}

/// The response to a request, with the result code for the log line and the metrics.
struct Completion {
    response: Response<Body>,
    code: ResultCode,
}

/// The outcome of an attempt that may move from a slow upstream to another one.
enum AttemptOrMove {
    Moved(Box<Attempt>),
    Finished(SendOutcome),
}

impl Gateway {
    /// Creates the handler.
    pub fn new(context: GatewayContext) -> Self {
        Self { context: Arc::new(context) }
    }

    /// Returns whether a configuration is in force, so that requests can be routed.
    pub fn is_configured(&self) -> bool {
        self.context.view.borrow().configuration.is_some()
    }

    /// Returns the size and time limits for callers' requests.
    pub fn limits(&self) -> CallerLimits {
        let view = self.context.view.borrow();
        view.configuration.as_ref().map_or_else(CallerLimits::default, |known| *known.limits())
    }

    /// Returns the identifier of a request, for its log line and its refusal; empty if it has none.
    pub fn request_id(&self, request: &Request<Incoming>) -> String {
        let metadata = self.context.head_codec.decode_request(request.headers());
        metadata.map_or_else(|_| String::new(), |metadata| metadata.id)
    }

    /// Refuses a request that came too late in a stop.
    pub fn refuse_draining(&self, request: &Request<Incoming>) -> Response<Body> {
        let id = self.request_id(request);
        info!("event=request_refused_in_stop request_id={id}");
        let refusal = Refusal::new(ResultCode::Draining).retry_after(DRAINING_RETRY_AFTER_MS);
        refusal_response(&refusal, &id)
    }

    /// Fails a request that has no response at the end of a stop. An upstream may have run it.
    pub fn fail_unanswered(&self, id: &str) -> Response<Body> {
        info!("event=request_unanswered_at_end_of_stop request_id={id}");
        refusal_response(&Refusal::new(ResultCode::UpstreamSilent), id)
    }

    /// Handles one request. `connection` is cancelled if the connection has to be closed because the
    /// caller reads its stream too slowly.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &CancellationToken,
    ) -> Response<Body> {
        let arrived_ms = now_ms();
        let metadata = match self.context.head_codec.decode_request(request.headers()) {
            Ok(metadata) => metadata,
            Err(e) => {
                info!("event=request_ended request_id=- code=100 reason={e:?}");
                let refusal = Refusal::with_detail(ResultCode::BadRequest, e.to_string());
                return refusal_response(&refusal, "");
            }
        };
        let view = self.context.view.borrow().clone();
        let id = metadata.id.clone();
        let completion = match self.admit(request, metadata, &view, arrived_ms).await {
            Ok(mut call) => {
                let mut departure = DepartureLog::new(&call);
                let completion = self.charge_and_forward(&mut call, connection).await;
                departure.disarm();
                let completion =
                    completion.unwrap_or_else(|refusal| refusal_completion(&refusal, &id));
                self.log_end(&call, &completion);
                completion
            }
            Err(refusal) => {
                info!(
                    "event=request_ended request_id={id} code={} detail={:?} revision={}",
                    refusal.code.number(),
                    refusal.detail,
                    view.complete_to,
                );
                refusal_completion(&refusal, &id)
            }
        };
        completion.response
    }

    /// Finds the route and the client account of a request, and reads its body.
    async fn admit(
        &self,
        request: Request<Incoming>,
        mut metadata: RequestMetadata,
        view: &ClusterView,
        arrived_ms: u64,
    ) -> Result<Call, Refusal> {
        let Some(configuration) = &view.configuration else {
            return Err(Refusal::new(ResultCode::NotReady).retry_after(NOT_READY_RETRY_AFTER_MS));
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
        let account = authenticate(configuration, &route, &metadata)?;
        let timeout_ms =
            metadata.deadline.map_or(DEFAULT_TIMEOUT_MS, |wait| wait.as_millis() as u64);
        let timeout_ms = timeout_ms.min(route.timeout.as_millis() as u64);
        let deadline_ms = arrived_ms + timeout_ms;
        let timeout = Duration::from_millis(timeout_ms);
        let body =
            read_body(body, configuration.limits(), self.context.pool.budget(), timeout).await?;
        self.context.head_codec.sanitize_request(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let service = route.choose_service(rand::rng().random()).to_owned();
        if let Some(last_event_id) = metadata.last_event_id {
            info!(
                "event=resumption_asked request_id={} route={} resumes={:?} last_event={last_event_id}",
                metadata.id, route.name, metadata.resumes,
            );
        }
        let prompt = metadata.prompt.take().map(Arc::new);
        let uri = origin_form(&head.uri);
        let ledger = SendLedger::new(&metadata.id);
        Ok(Call {
            metadata,
            prompt,
            route,
            service,
            account,
            method: head.method,
            uri,
            headers: head.headers,
            body,
            arrived_ms,
            complete_ms: now_ms(),
            deadline_ms,
            tried: Vec::new(),
            sends: 0,
            ledger,
            software: None,
        })
    }

    /// Forwards a request if the quota of its account allows it. Only then does the request count as
    /// demand for its service.
    async fn charge_and_forward(
        &self,
        call: &mut Call,
        connection: &CancellationToken,
    ) -> Result<Completion, Refusal> {
        if is_resumption(call) {
            Box::pin(bind_to_origin(&self.context, call)).await?;
        }
        let mut charge = self.charge(call).await?;
        let (service, target) = (&call.service, call.route.target_latency);
        let tag = RouteTag::of(&call.route.name);
        self.context.dispatcher.count_request(service, tag, call.prompt.clone(), target);
        Ok(self.forward(call, &mut charge, connection).await?)
    }

    /// Charges the quota of the request's account; `None` without a quota.
    async fn charge(&self, call: &Call) -> Result<Option<Charge>, Refusal> {
        let account = call.account.as_ref();
        let Some((account, quota)) = account.and_then(|known| Some((known, known.quota?))) else {
            return Ok(None);
        };
        let tokens = quota.cost(call.metadata.declared_tokens);
        if tokens == 0 {
            return Ok(None);
        }
        let charged = self.context.dispatcher.charge(AccountTag::of(&account.name), tokens);
        let Ok(charged) = tokio::time::timeout(call.remaining(), charged).await else {
            return Err(Refusal::new(ResultCode::QueueTimeout));
        };
        let (code, limit, used_per_s, retry_after_ms) = match charged {
            Ok(charge) => {
                let outcome = if charge.is_from_allowance() { "allowance" } else { "admitted" };
                self.context.metrics.quota(&account.name, outcome, tokens);
                return Ok(Some(charge));
            }
            Err(QuotaRefusal::Exceeded { retry_after_ms, used_per_s }) => {
                (ResultCode::RateLimited, "rate", used_per_s, retry_after_ms)
            }
            Err(QuotaRefusal::Unreachable { retry_after_ms }) => {
                (ResultCode::QuotaUnreachable, "owners", 0, retry_after_ms)
            }
        };
        self.context.metrics.quota(&account.name, code.info().name, tokens);
        info!(
            "event=request_refused_by_quota request_id={} account={} limit={limit} rate_per_s={} \
             used={used_per_s} asked_tokens={tokens} retry_after_ms={retry_after_ms}",
            call.metadata.id, account.name, quota.rate_per_s,
        );
        Err(Refusal::new(code).retry_after(retry_after_ms))
    }

    /// Sends a request, with retries, until there is a response or it fails.
    async fn forward(
        &self,
        call: &mut Call,
        charge: &mut Option<Charge>,
        connection: &CancellationToken,
    ) -> Result<Completion, SendRefusal> {
        let mut attempt = self.assign(call).await?;
        loop {
            if let Some(charge) = charge {
                charge.set_may_have_run(true);
            }
            let index = attempt.assignment().index;
            match self.attempt_or_move(call, attempt).await {
                AttemptOrMove::Moved(next) => {
                    self.record_failure(call, "moved", "");
                    call.record_send(index);
                    attempt = *next;
                    continue;
                }
                AttemptOrMove::Finished(SendOutcome::Responded(upstream_response)) => {
                    call.record_send(index);
                    let handled = self.handle_response(call, *upstream_response, connection);
                    if let Some(completion) = handled.await? {
                        return Ok(completion);
                    }
                }
                AttemptOrMove::Finished(SendOutcome::NotSent { reason, not_run }) => {
                    not_run.record();
                    self.record_failure(call, "not_sent", &reason);
                    call.tried.push(index);
                }
                AttemptOrMove::Finished(SendOutcome::NotRun { status, not_run }) => {
                    not_run.record();
                    self.record_failure(call, "not_run", status.as_str());
                    call.record_send(index);
                }
                AttemptOrMove::Finished(SendOutcome::Lost { reason }) => {
                    self.record_failure(call, "lost", &reason);
                    call.record_send(index);
                    ensure_retryable(call, UnknownOutcome::Failed, reason)?;
                }
                AttemptOrMove::Finished(SendOutcome::TimedOut) => {
                    self.record_failure(call, "silent", "");
                    call.record_send(index);
                    ensure_retryable(call, UnknownOutcome::Silent, "")?;
                }
            }
            if let Some(charge) = charge {
                charge.set_may_have_run(call.possible_runs() > 0);
            }
            if call.remaining() < MIN_REMAINING_TIME {
                return Err(deadline_refusal(call));
            }
            attempt = self.assign(call).await?;
        }
    }

    /// Waits for the upstream's response. If the upstream is slow and the request may run twice, it
    /// moves to another upstream that has capacity, provided that the retry budget allows it;
    /// otherwise it keeps waiting for the first one.
    async fn attempt_or_move(&self, call: &Call, attempt: Attempt) -> AttemptOrMove {
        let move_delay = self.move_delay(call);
        let index = attempt.assignment().index;
        let outcome = send_attempt(&self.context, call, attempt, call.metadata.last_event_id);
        tokio::pin!(outcome);
        if let Some(move_delay) = move_delay {
            if let Ok(outcome) = tokio::time::timeout(move_delay, outcome.as_mut()).await {
                return AttemptOrMove::Finished(outcome);
            }
            let mut request = self.context.schedule_request(call);
            request.tried.push(index);
            if let Ok(next) = self.context.choose_for(call, request, Purpose::Move).await {
                log_assignment(call, &next);
                return AttemptOrMove::Moved(Box::new(next));
            }
        }
        AttemptOrMove::Finished(outcome.await)
    }

    /// Returns how long to wait for the first upstream before moving the request. The rest of the
    /// target latency leaves another upstream time to respond. `None` if no other upstream may run
    /// the request.
    fn move_delay(&self, call: &Call) -> Option<Duration> {
        let may_move =
            call.route.kind.allows_retry() && call.possible_runs() + 1 < call.route.attempts_limit;
        let first_wait = call.route.target_latency * MOVE_AFTER_TARGET_PERCENT / 100;
        may_move.then(|| first_wait.min(call.remaining()))
    }

    async fn assign(&self, call: &Call) -> Result<Attempt, SendRefusal> {
        let purpose = if call.sends > 0 { Purpose::Retry } else { Purpose::First };
        let chosen = self.context.choose(call, purpose).await;
        let (cause, retry_after_ms) = match chosen {
            Ok(attempt) => {
                log_assignment(call, &attempt);
                return Ok(attempt);
            }
            Err(refusal) => refusal,
        };
        if let RefusalCause::Quarantined(part) = cause {
            self.context.metrics.quarantine("refused");
            let (id, runs) = (&call.metadata.id, call.possible_runs());
            let account = call.account_name();
            info!(
                "event=request_quarantined request_id={id} account={account} part={part} runs={runs}"
            );
        }
        if let RefusalCause::TooLarge { tokens, engine_tokens } = cause {
            let (id, service, account) = (&call.metadata.id, &call.service, call.account_name());
            info!(
                "event=request_too_large request_id={id} service={service} account={account} \
                 tokens={tokens} engine_tokens={engine_tokens}"
            );
        }
        if let RefusalCause::Overloaded(shortage) = &cause {
            self.context.metrics.shortage(&call.service, shortage);
            log_shortage(call, shortage);
        }
        let Some(none_ran) = call.ledger.none_ran() else {
            return Err(SendRefusal::unknown(UnknownOutcome::Failed, format!("{cause:?}")));
        };
        let code = match cause {
            RefusalCause::NoUpstream => ResultCode::NoUpstream,
            RefusalCause::Overloaded(_) => ResultCode::Shed,
            RefusalCause::RepeatBudget => ResultCode::RetryBudgetSpent,
            RefusalCause::Stopping => ResultCode::Draining,
            RefusalCause::Quarantined(_) => ResultCode::Quarantined,
            RefusalCause::TooLarge { tokens, engine_tokens } => {
                // No engine can ever run it, so there is no use in a retry.
                let detail = format!(
                    "the prompt and its response need {tokens} tokens, an engine holds \
                     {engine_tokens}"
                );
                let refusal = Refusal::with_detail(ResultCode::RequestTooLarge, detail);
                return Err(SendRefusal::not_run(none_ran, refusal));
            }
        };
        let refusal = Refusal::new(code).retry_after(retry_after_ms);
        Err(SendRefusal::not_run(none_ran, refusal))
    }

    /// Forwards an upstream's response. Returns `None` if another upstream is to be tried.
    async fn handle_response(
        &self,
        call: &mut Call,
        upstream_response: UpstreamResponse,
        connection: &CancellationToken,
    ) -> Result<Option<Completion>, SendRefusal> {
        if call.route.kind.is_stream() && upstream_response.parts.status == StatusCode::OK {
            return self.handle_stream(call, upstream_response, connection).await;
        }
        let UpstreamResponse { parts, body, mut attempt, wants_pause } = upstream_response;
        let framing = body.framing();
        let body = match body.read_all(RESPONSE_LIMIT_BYTES, call.remaining()).await {
            Ok(body) => body,
            Err(e) => {
                self.record_failure(call, "lost", &e.to_string());
                match e {
                    TransportError::Broken { .. } => attempt.end_broken(),
                    _ => attempt.end(Verdict::Failed),
                }
                ensure_retryable(call, UnknownOutcome::Failed, e.to_string())?;
                return Ok(None);
            }
        };
        let upstream = &attempt.assignment().upstream;
        let whole_answer = self.context.confirm_whole(framing, upstream, call.remaining()).await;
        let whole_answer = match whole_answer {
            Ok(whole_answer) => whole_answer,
            Err(unconfirmed) => {
                self.record_failure(call, "lost", &unconfirmed.to_string());
                attempt.end_broken();
                ensure_retryable(call, UnknownOutcome::Failed, unconfirmed.to_string())?;
                return Ok(None);
            }
        };
        // The time of a plain answer that is an error says nothing of the time of the work.
        if parts.status.is_success() || attempt.assignment().prompt_tokens > 0 {
            attempt.report_prefilled();
        }
        self.context.metrics.response_ended(&call.service, framing);
        if !framing.marks_end() {
            info!(
                "event=response_without_length request_id={} account={} upstream={} status={} bytes={}",
                call.metadata.id,
                call.account_name(),
                attempt.assignment().upstream.id,
                parts.status.as_str(),
                body.len(),
            );
        }
        if !framing.marks_end() || !parts.status.is_success() {
            attempt.mark_inconclusive();
        }
        let is_failure = parts.status.is_server_error();
        let verdict = match is_failure {
            false => Verdict::Served,
            // An upstream that wants a pause is not ill.
            true if wants_pause => Verdict::Refused,
            true => Verdict::Failed,
        };
        attempt.end(verdict);
        if is_failure && call.may_retry() && call.remaining() > MIN_REMAINING_TIME {
            self.record_failure(call, "failed", parts.status.as_str());
            return Ok(None);
        }
        if is_not_run_status(parts.status) {
            // These statuses tell the caller that the request did not run. They are forwarded only
            // if the upstream states so.
            let status = parts.status.as_str();
            return Err(SendRefusal::unknown(UnknownOutcome::Failed, status));
        }
        self.context.metrics.attempt_ended(&call.service, parts.status.as_str());
        let head = relayed_head(parts, self.context.head_codec.as_ref());
        let response = Response::from_parts(head, relayed_body(body, whole_answer));
        Ok(Some(Completion { response, code: ResultCode::Ok }))
    }

    /// Waits for the first event of a stream and starts to relay it.
    async fn handle_stream(
        &self,
        call: &mut Call,
        upstream_response: UpstreamResponse,
        connection: &CancellationToken,
    ) -> Result<Option<Completion>, SendRefusal> {
        let wait = call.remaining();
        let mut relay =
            Relay::new(self.context.clone(), upstream_response, call.metadata.last_event_id);
        match relay.wait_first_events(wait).await {
            Ok(()) => {}
            Err(reason) => {
                self.record_failure(call, "lost", &reason);
                relay.fail();
                ensure_retryable(call, UnknownOutcome::Failed, reason)?;
                return Ok(None);
            }
        }
        let elapsed = Duration::from_millis(call.age_ms());
        self.context.metrics.first_event(&call.route.name, elapsed);
        let response = relay.start(call, connection);
        Ok(Some(Completion { response, code: ResultCode::Ok }))
    }

    fn record_failure(&self, call: &Call, outcome: &str, reason: &str) {
        self.context.metrics.attempt_ended(&call.service, outcome);
        info!(
            "event=leg_failed request_id={} account={} outcome={outcome} reason={reason:?} age_ms={} runs={} \
             {}",
            call.metadata.id,
            call.account_name(),
            call.age_ms(),
            call.possible_runs(),
            call.ledger.last(),
        );
    }

    fn log_end(&self, call: &Call, completion: &Completion) {
        let elapsed = Duration::from_millis(call.age_ms());
        let (code, status) = (completion.code, completion.response.status().as_u16());
        self.context.metrics.request_ended(&call.route.name, code.info().name, elapsed);
        if let Some(prompt) = &call.prompt {
            let tokens = prompt.prompt_tokens;
            self.context.metrics.prompt_ended(&call.route.name, code.info().name, tokens);
        }
        info!(
            "event=request_ended request_id={} account={} route={} code={} status={status} took_ms={} \
             sends={} runs={} prompt_tokens={}",
            call.metadata.id,
            call.account_name(),
            call.route.name,
            code.number(),
            elapsed.as_millis(),
            call.sends,
            call.possible_runs(),
            call.prompt_tokens(),
        );
    }
}

/// Logs a request whose caller left before there was a response: its handler is dropped.
struct DepartureLog {
    request_id: String,
    account: String,
    route: String,
    prompt_tokens: u32,
    arrived_ms: u64,
    is_armed: bool,
}

impl DepartureLog {
    fn new(call: &Call) -> Self {
        Self {
            request_id: call.metadata.id.clone(),
            account: call.account_name().to_owned(),
            route: call.route.name.clone(),
            prompt_tokens: call.prompt_tokens(),
            arrived_ms: call.arrived_ms,
            is_armed: true,
        }
    }

    fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for DepartureLog {
    fn drop(&mut self) {
        if self.is_armed {
            info!(
                "event=request_abandoned request_id={} account={} route={} prompt_tokens={} \
                 age_ms={}",
                self.request_id,
                self.account,
                self.route,
                self.prompt_tokens,
                now_ms().saturating_sub(self.arrived_ms),
            );
        }
    }
}

fn refusal_completion(refusal: &Refusal, id: &str) -> Completion {
    Completion { response: refusal_response(refusal, id), code: refusal.code }
}

/// Returns an error unless another upstream may run the request.
fn ensure_retryable(
    call: &Call,
    outcome: UnknownOutcome,
    detail: impl Into<String>,
) -> Result<(), SendRefusal> {
    match call.may_retry() {
        true => Ok(()),
        false => Err(SendRefusal::unknown(outcome, detail)),
    }
}

fn deadline_refusal(call: &Call) -> SendRefusal {
    match call.ledger.none_ran() {
        Some(none_ran) => SendRefusal::not_run(none_ran, ResultCode::QueueTimeout.into()),
        None => SendRefusal::unknown(UnknownOutcome::Silent, ""),
    }
}

fn is_not_run_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<redwingrill_routing::ClientAccount>, Refusal> {
    let account = metadata.key.as_deref().and_then(|key| configuration.account_for_key(key));
    if account.is_none() && configuration.needs_key() && !route.is_anonymous {
        let code = match metadata.key {
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
    budget: &ByteBudget,
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
    let read_frames = async {
        let mut whole = BudgetedBuffer::new(budget);
        while let Some(frame) = body.frame().await {
            let ended_early =
                |_| Refusal::with_detail(ResultCode::BadRequest, "the body ended early");
            let Ok(data) = frame.map_err(ended_early)?.into_data() else { continue };
            if whole.len() + data.len() > limits.body_bytes {
                return Err(Refusal::new(ResultCode::BodyTooLarge));
            }
            whole.extend(&data).map_err(|_| {
                Refusal::new(ResultCode::BuffersFull).retry_after(BUFFERS_FULL_RETRY_AFTER_MS)
            })?;
        }
        Ok(whole.freeze())
    };
    let read = tokio::time::timeout(wait, read_frames).await;
    read.unwrap_or_else(|_| Err(Refusal::new(ResultCode::RequestTimeout)))
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) if uri.scheme().is_some() => http::Uri::from(path.clone()),
        _ => uri.clone(),
    }
}

fn log_shortage(call: &Call, shortage: &Shortage) {
    let counts = shortage.counts().map(|(limit, count)| format!("{limit}={count}")).join(" ");
    let prefix = call.prompt.as_deref().and_then(AffinityKey::of).map_or(0, |key| key.0);
    info!(
        "event=request_shed request_id={} account={} route={} prefix={prefix:x} prompt_tokens={} age_ms={} \
         sends={} ahead={} share={} {counts}",
        call.metadata.id,
        call.account_name(),
        call.route.name,
        call.prompt_tokens(),
        call.age_ms(),
        call.sends,
        shortage.ahead,
        shortage.share_percent,
    );
}

/// Returns the version of an upstream's software for log lines; `-` without one.
pub(super) fn software_name(software: Option<&SoftwareVersion>) -> &str {
    software.map_or("-", |software| software.0.as_str())
}

fn log_assignment(call: &Call, attempt: &Attempt) {
    let assignment = attempt.assignment();
    let prefix = assignment.affinity.map_or(0, |key| key.0);
    let scope = assignment.scope.as_ref().map_or("-", |scope| scope.0.as_str());
    let fetch = assignment.fetch_from.map_or_else(|| "-".to_owned(), |from| from.to_string());
    let coordinator = assignment.coordinator.map_or_else(|| "-".to_owned(), |at| at.to_string());
    let weights = assignment.version.map_or_else(|| "-".to_owned(), |known| known.0.to_string());
    let software = software_name(assignment.upstream.software.as_ref());
    info!(
        "event=assigned request_id={} account={} route={} upstream={} software={software} \
         weights={weights} scope={scope} \
         prefix={prefix:x} \
         prompt_tokens={} unread_tokens={} queued_tokens={} fetch={fetch} save={} \
         coordinator={coordinator} sends={} age_ms={}",
        call.metadata.id,
        call.account_name(),
        call.route.name,
        assignment.upstream.id,
        call.prompt_tokens(),
        assignment.pending_prefill_tokens,
        assignment.queued_tokens,
        assignment.save_to.is_some(),
        call.sends,
        call.age_ms(),
    );
}
