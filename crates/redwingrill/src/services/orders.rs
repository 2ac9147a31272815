//! Orders: calls that must not be repeated.
//!
//! An order is parsed, looked up, recorded, sent, finished and responded to, in the states of
//! [`redwingrill_ledger::order`]. It runs in its own task, which continues when the caller
//! disconnects, so that the outcome of a sent order is recorded in any case.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use log::info;
use tokio_util::task::TaskTracker;

use super::ServiceCall;
use super::forward::ForwardError;
use super::forward::OutgoingCall;
use super::forward::UpstreamResponse;
use super::headers::FENCING_HEADER;
use super::headers::IDEMPOTENCY_KEY_HEADER;
use super::headers::WINDOW_HEADER;
use super::headers::header_value;
use super::responses::outcome_from_response;
use super::responses::response_from_outcome;
use super::responses::response_from_upstream;
use super::targets::Targets;
use crate::Refusal;
use crate::completions::Caller;
use crate::http::Body;
use redwingrill_codes::Ran;
use redwingrill_codes::ResultCode;
use redwingrill_config::Fencing;
use redwingrill_config::Service;
use redwingrill_config::Upstream;
use redwingrill_ledger::AttemptId;
use redwingrill_ledger::FencingNumber;
use redwingrill_ledger::Fingerprint;
use redwingrill_ledger::IdempotencyKey;
use redwingrill_ledger::KeyHash;
use redwingrill_ledger::KeyTime;
use redwingrill_ledger::OrderKey;
use redwingrill_ledger::order::Order;
use redwingrill_ledger::order::OrderPolicy;
use redwingrill_ledger::order::Received;
use redwingrill_ledger::order::RecordError;
use redwingrill_ledger::order::Recorded;
use redwingrill_ledger::record::EarlierRun;
use redwingrill_ledger::record::TakeOver;
use redwingrill_ledger::task::Ledger;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;

/// The time after a call's timeout from which its order is considered no longer running and may be
/// taken over.
const RUNNING_MARGIN_MS: u64 = 2_000;

/// How long a response waits until its outcome is recorded in the store, so that a retry finds it.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// The `Retry-After` time of orders that are refused for a temporary reason, such as too many
/// orders of the account in flight.
const WINDOW_RETRY_AFTER_MS: u64 = 1_000;

/// Serves orders.
#[derive(Clone, Debug)]
pub(super) struct Orders {
    pub(super) pool: Pool,
    pub(super) targets: Targets,
    pub(super) ledger: Ledger,
    pub(super) tasks: TaskTracker,
}

/// An order with the upstreams that it may be sent to, in the sequence in which they are tried.
#[derive(Debug)]
struct Job {
    order: Order<Received>,
    outgoing_call: OutgoingCall,
    targets: Vec<Upstream>,
    log: LogContext,
}

/// The fields of log lines about an order.
#[derive(Debug)]
struct LogContext {
    request_id: String,
    service: String,
    key: KeyHash,
}

impl Orders {
    /// Serves one call.
    pub(super) async fn serve(
        &self,
        caller: &Caller<'_>,
        service: &Service,
        call: &ServiceCall<'_>,
    ) -> Result<Response<Body>, Refusal> {
        let job = self.prepare(caller, service, call)?;
        let pool = self.pool.clone();
        let served = self.tasks.spawn(async move { job.run(&pool).await });
        // A task that ended without a result may have sent the order, so the code must not claim
        // that the order was not run.
        let served = served.await.unwrap_or_else(|_| Err(ResultCode::Internal.into()));
        let mut response = served.map_err(|refusal| add_window_detail(refusal, service))?;
        response.headers_mut().insert(WINDOW_HEADER, header_value(&window_text(service))?);
        Ok(response)
    }

    /// Creates the order from the call, without I/O.
    fn prepare(
        &self,
        caller: &Caller<'_>,
        service: &Service,
        call: &ServiceCall<'_>,
    ) -> Result<Job, Refusal> {
        let key = idempotency_key(call.headers)?;
        let window_ms = u64::from(service.retained_window_s) * 1_000;
        check_time(&key, window_ms, self.ledger.clock().now_ms())?;
        let state = &caller.snapshot.state;
        let account = state.accounts.get(caller.account).ok_or(ResultCode::KeyUnknown)?;
        let hash = KeyHash::of(&account.name, &key);
        // The key selects the first upstream, so that retries use the same one.
        let targets = self.targets.candidates(caller.snapshot, service, hash.short());
        let targets: Vec<Upstream> = targets.into_iter().map(|target| target.upstream).collect();
        let first = targets.first().ok_or(ResultCode::NoUpstream)?;
        let policy = OrderPolicy {
            account: Arc::from(account.name.as_str()),
            window_ms,
            in_flight_limit: service.in_flight_limit,
            running_limit_ms: running_limit_ms(service),
            take_over: take_over_for(service, &targets, first),
        };
        let limit = Duration::from_millis(service.timeout_ms.into());
        let mut outgoing_call = OutgoingCall::new(call, &account.name, caller.request_id, limit)?;
        outgoing_call.set(IDEMPOTENCY_KEY_HEADER, key.as_str())?;
        let fingerprint = request_fingerprint(call);
        let order_key = OrderKey { service: Arc::from(service.name.as_str()), hash };
        let order = Order::receive(&self.ledger, order_key, fingerprint, policy);
        let request_id = caller.request_id.to_string();
        let log = LogContext { request_id, service: service.name.clone(), key: hash };
        Ok(Job { order, outgoing_call, targets, log })
    }
}

impl Job {
    async fn run(self, pool: &Pool) -> Result<Response<Body>, Refusal> {
        let Self { order, mut outgoing_call, targets, log } = self;
        let recorded = match order.record(AttemptId(rand::random())).await {
            Ok(recorded) => recorded,
            Err(RecordError::Replay(outcome)) => {
                log.event("order_replayed");
                return response_from_outcome(outcome);
            }
            Err(RecordError::MayBeRunning) => {
                log.event("order_refused");
                return Err(running_refusal());
            }
            Err(RecordError::Refused(code)) => {
                log.event("order_refused");
                return Err(code.into());
            }
        };
        let earlier_run = recorded.earlier_run();
        let sent = send(recorded, &mut outgoing_call, &targets, pool, &log).await;
        sent.map_err(|refusal| account_for_earlier_run(refusal, earlier_run))
    }
}

/// Sends a recorded order to the first reachable upstream.
async fn send(
    mut recorded: Order<Recorded>,
    outgoing_call: &mut OutgoingCall,
    targets: &[Upstream],
    pool: &Pool,
    log: &LogContext,
) -> Result<Response<Body>, Refusal> {
    let bound_to = recorded.bound_to().map(str::to_owned);
    let allowed = |upstream: &&Upstream| bound_to.as_ref().is_none_or(|to| *to == upstream.name);
    let mut last_refusal = Refusal::new(ResultCode::NoUpstream);
    for upstream in targets.iter().filter(allowed) {
        let sent = recorded.send()?;
        let fencing = sent.fencing();
        outgoing_call.set(FENCING_HEADER, &fencing.0.to_string())?;
        // An idle connection may be dead, so orders are always sent over a new one.
        match outgoing_call.send(pool, upstream, Freshness::New).await {
            Ok(response) if is_fenced(&response, upstream, fencing) => {
                log.event("order_fenced");
                sent.leave_unfinished();
                return Err(ResultCode::OutcomeUnknown.into());
            }
            Ok(response) => {
                let outcome_write = sent.finish(outcome_from_response(&response));
                log.event("order_finished");
                if !outcome_write.recorded_within(OUTCOME_WRITE_TIMEOUT).await {
                    log.event("order_outcome_late");
                }
                return Ok(response_from_upstream(response));
            }
            Err(error) if error.may_have_run() => {
                log.event("order_unknown");
                sent.leave_unfinished();
                return Err(unknown_outcome(&error));
            }
            Err(error) => {
                last_refusal = error.refusal();
                recorded = sent.mark_unsent();
            }
        }
    }
    log.event("order_not_sent");
    // Dropping the order withdraws it, so that a retry may run.
    drop(recorded);
    Err(last_refusal)
}

impl LogContext {
    fn event(&self, event: &str) {
        let Self { request_id, service, key } = self;
        info!("event={event} request_id={request_id} service={service} key={key}");
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<IdempotencyKey, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let value = values.next().ok_or(ResultCode::IdempotencyKeyMissing)?;
    if values.next().is_some() {
        let detail = "the request has more than one Idempotency-Key";
        return Err(Refusal::with_detail(ResultCode::IdempotencyKeyInvalid, detail));
    }
    IdempotencyKey::parse(value.as_bytes())
        .map_err(|e| Refusal::with_detail(ResultCode::IdempotencyKeyInvalid, e.to_string()))
}

fn check_time(key: &IdempotencyKey, window_ms: u64, wall_ms: u64) -> Result<(), Refusal> {
    match key.classify_time(window_ms, wall_ms) {
        KeyTime::NoTimestamp | KeyTime::InWindow => Ok(()),
        KeyTime::Expired => Err(ResultCode::KeyExpired.into()),
        KeyTime::InFuture => {
            let detail = "the time in the key lies ahead of this node's clock";
            Err(Refusal::with_detail(ResultCode::IdempotencyKeyInvalid, detail))
        }
    }
}

fn request_fingerprint(call: &ServiceCall<'_>) -> Fingerprint {
    let content_type = call.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Fingerprint::of(call.method.as_str(), call.path, content_type, call.body)
}

fn take_over_for(service: &Service, targets: &[Upstream], first: &Upstream) -> Option<TakeOver> {
    let checked = targets.iter().all(|upstream| upstream.fencing == Fencing::Checked);
    let after_ms = running_limit_ms(service);
    checked.then(|| TakeOver { after_ms, bind_to: Arc::from(first.name.as_str()) })
}

fn running_limit_ms(service: &Service) -> u64 {
    u64::from(service.timeout_ms) + RUNNING_MARGIN_MS
}

/// Returns whether an upstream that checks fencing rejected the fencing number of this node because
/// another node has taken over the order.
fn is_fenced(response: &UpstreamResponse, upstream: &Upstream, fencing: FencingNumber) -> bool {
    let current = response.headers.get(FENCING_HEADER).and_then(|value| value.to_str().ok());
    let current = current.and_then(|value| value.parse().ok()).map(FencingNumber);
    upstream.fencing == Fencing::Checked
        && response.status == StatusCode::CONFLICT
        && current.is_some_and(|current| current > fencing)
}

fn running_refusal() -> Refusal {
    let detail = "the call was recorded and may still be running; ask again with the same key";
    Refusal::with_detail(ResultCode::OutcomeUnknown, detail).retry_after(WINDOW_RETRY_AFTER_MS)
}

/// Replaces a refusal that says "not run" if an earlier call with the key may have run.
fn account_for_earlier_run(refusal: Refusal, earlier_run: EarlierRun) -> Refusal {
    match (earlier_run, refusal.ran()) {
        (EarlierRun::None, _) | (EarlierRun::Possible, Ran::Unknown) => refusal,
        (EarlierRun::Possible, Ran::No) => {
            let detail = format!(
                "an earlier call with this key may have run, and this one was not sent \
                 ({refusal}); ask again with the same key"
            );
            Refusal::with_detail(ResultCode::OutcomeUnknown, detail)
                .retry_after(WINDOW_RETRY_AFTER_MS)
        }
    }
}

fn unknown_outcome(error: &ForwardError) -> Refusal {
    let info = ResultCode::OutcomeUnknown.info();
    Refusal::with_detail(ResultCode::OutcomeUnknown, format!("{} ({error})", info.summary))
}

/// Adds the window to the detail of a refusal that it caused, and the `Retry-After` time to temporary
/// refusals.
fn add_window_detail(refusal: Refusal, service: &Service) -> Refusal {
    let window = window_text(service);
    match refusal.code {
        ResultCode::WindowFull => {
            let detail = format!("{} ({window})", refusal.code.info().summary);
            Refusal::with_detail(refusal.code, detail).retry_after(WINDOW_RETRY_AFTER_MS)
        }
        ResultCode::KeyExpired => {
            let detail = format!("{} ({window})", refusal.code.info().summary);
            Refusal::with_detail(refusal.code, detail)
        }
        ResultCode::LedgerUnavailable
        | ResultCode::LedgerOutcomeUnknown
        | ResultCode::OrderInFlight => refusal.retry_after(WINDOW_RETRY_AFTER_MS),
        _ => refusal,
    }
}

fn window_text(service: &Service) -> String {
    format!("retained={}, in-flight={}", service.retained_window_s, service.in_flight_limit)
}
