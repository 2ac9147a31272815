//! Counters and latency histograms, served as text on the metrics address.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use log::error;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use redwingrill_routing::Revision;
use redwingrill_scheduling::engine_model::PrefillCurve;
use redwingrill_scheduling::scheduler::Shortage;
use redwingrill_transport::Framing;

/// The upper bounds of the latency buckets in seconds, around the targets of short and long
/// requests.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 12.0];

/// The upper bounds of the buckets of prompt sizes in tokens.
const PROMPT_BUCKETS_TOKENS: [f64; 10] =
    [250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0, 64_000.0, 128_000.0];

/// The metrics of a node. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    first_event: HistogramVec,
    attempts: IntCounterVec,
    response_ends: IntCounterVec,
    retries: IntCounterVec,
    store_calls: IntCounterVec,
    store_listings: IntCounter,
    quarantine: IntCounterVec,
    resumptions: IntCounterVec,
    upstream_signals: IntCounterVec,
    assignments: IntCounterVec,
    prompts: HistogramVec,
    shortages: IntCounterVec,
    quota: IntCounterVec,
    quota_tokens: IntCounterVec,
    // The accounts that have metrics of their own.
    metered_accounts: RwLock<HashSet<String>>,
    shed: IntCounterVec,
    view_revision: IntGauge,
    store_era: IntGauge,
    open_connections: IntGauge,
    buffered_bytes: IntGauge,
    slow_callers: IntGauge,
    unread_bytes: IntGauge,
    aborted_streams: IntCounterVec,
    engine_model: GaugeVec,
    engine_limit: IntGaugeVec,
    outdated_engines: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            HistogramVec::new(opts, &["route"]).expect("the name is valid")
        };
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the name is valid");
        let inner = Inner {
            registry: Registry::new(),
            requests: counter("redwingrill_requests", "Requests by outcome", &["route", "code"]),
            latency: histogram("redwingrill_request_seconds", "Time to the end of the answer"),
            first_event: histogram("redwingrill_first_event_seconds", "Time to the first event"),
            attempts: counter(
                "redwingrill_legs",
                "Sends to upstreams by outcome",
                &["service", "outcome"],
            ),
            response_ends: counter(
                "redwingrill_response_ends",
                "Complete responses of upstreams by what determined their end",
                &["service", "framing"],
            ),
            retries: counter("redwingrill_repeats", "Repeated sends", &["service", "allowed"]),
            store_calls: counter("redwingrill_store_calls", "Calls to the store", &["outcome"]),
            store_listings: IntCounter::new(
                "redwingrill_store_listings",
                "Listings of the whole store",
            )
            .expect("the name is valid"),
            quarantine: counter(
                "redwingrill_quarantine",
                "Changes of suspect and quarantined parts",
                &["event"],
            ),
            resumptions: counter(
                "redwingrill_resumptions",
                "Streams that callers took up again, by who knew their origin and by outcome",
                &["origin", "outcome"],
            ),
            upstream_signals: counter(
                "redwingrill_upstream_signals",
                "Changes of what upstreams say of themselves",
                &["event"],
            ),
            assignments: counter(
                "redwingrill_assignments",
                "Requests to coordinators by outcome",
                &["outcome"],
            ),
            prompts: HistogramVec::new(
                HistogramOpts::new("redwingrill_prompt_tokens", "Sizes of prompts by outcome")
                    .buckets(PROMPT_BUCKETS_TOKENS.to_vec()),
                &["route", "code"],
            )
            .expect("the name is valid"),
            shortages: counter(
                "redwingrill_shortages",
                "Upstreams without capacity for a refused request, by the limit that ruled them out",
                &["service", "limit"],
            ),
            quota: counter(
                "redwingrill_quota",
                "Requests of accounts with quotas by outcome",
                &["outcome"],
            ),
            quota_tokens: counter(
                "redwingrill_quota_tokens",
                "Tokens of requests of the accounts with the largest quotas by outcome",
                &["account", "outcome"],
            ),
            metered_accounts: RwLock::default(),
            shed: counter(
                "redwingrill_shed",
                "Refused requests by whether their account had used its share of the capacity",
                &["service", "share"],
            ),
            view_revision: gauge("redwingrill_beliefs_revision", "Revision of the beliefs"),
            store_era: gauge("redwingrill_store_era", "Era of the store in the beliefs"),
            open_connections: gauge("redwingrill_open_connections", "Connections of callers"),
            buffered_bytes: gauge("redwingrill_buffered_bytes", "Bytes that draw on the budget"),
            slow_callers: gauge(
                "redwingrill_slow_callers",
                "Open streams whose caller was behind its engine",
            ),
            unread_bytes: gauge("redwingrill_unread_bytes", "Bytes that wait for slow callers"),
            aborted_streams: counter(
                "redwingrill_aborted_streams",
                "Streams aborted because their caller reads too slowly",
                &["cause"],
            ),
            engine_limit: IntGaugeVec::new(
                Opts::new("redwingrill_engine_limit", "Requests that an upstream gets at once"),
                &["upstream"],
            )
            .expect("the name is valid"),
            engine_model: GaugeVec::new(
                Opts::new("redwingrill_engine_model", "Learned times of a service's upstreams"),
                &["service", "parameter"],
            )
            .expect("the name is valid"),
            outdated_engines: IntGaugeVec::new(
                Opts::new(
                    "redwingrill_outdated_engines",
                    "Ready engines whose weights are older than the target version",
                ),
                &["model"],
            )
            .expect("the name is valid"),
        };
        inner.register();
        Self { inner: Arc::new(inner) }
    }

    /// Counts a completed request and records its latency.
    pub fn request_ended(&self, route: &str, code: &str, elapsed: Duration) {
        self.inner.requests.with_label_values(&[route, code]).inc();
        self.inner.latency.with_label_values(&[route]).observe(elapsed.as_secs_f64());
    }

    /// Records the size of the prompt of a completed request.
    pub fn prompt_ended(&self, route: &str, code: &str, prompt_tokens: u32) {
        self.inner.prompts.with_label_values(&[route, code]).observe(f64::from(prompt_tokens));
    }

    /// Counts what left no upstream for a refused request.
    pub fn shortage(&self, service: &str, shortage: &Shortage) {
        for (limit, count) in shortage.counts() {
            let counter = self.inner.shortages.with_label_values(&[service, limit]);
            counter.inc_by(u64::from(count));
        }
        let share = if shortage.share_percent > 100 { "beyond" } else { "within" };
        self.inner.shed.with_label_values(&[service, share]).inc();
    }

    /// Records the time to the first event of a stream.
    pub fn first_event(&self, route: &str, elapsed: Duration) {
        self.inner.first_event.with_label_values(&[route]).observe(elapsed.as_secs_f64());
    }

    /// Counts a completed attempt by its outcome.
    pub fn attempt_ended(&self, service: &str, outcome: &str) {
        self.inner.attempts.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a complete response of an upstream by what determined its end.
    pub fn response_ended(&self, service: &str, framing: Framing) {
        let framing = framing.to_string();
        self.inner.response_ends.with_label_values(&[service, &framing]).inc();
    }

    /// Counts a retry that the retry budget allowed or denied.
    pub fn retry(&self, service: &str, allowed: bool) {
        let allowed = if allowed { "yes" } else { "no" };
        self.inner.retries.with_label_values(&[service, allowed]).inc();
    }

    /// Counts a call to the store.
    pub fn store_call(&self, is_ok: bool) {
        let outcome = if is_ok { "ok" } else { "failed" };
        self.inner.store_calls.with_label_values(&[outcome]).inc();
    }

    /// Counts a listing of the whole store.
    pub fn store_listed(&self) {
        self.inner.store_listings.inc();
    }

    /// Counts a change of what an upstream says of itself.
    pub fn upstream_signal(&self, event: &str) {
        self.inner.upstream_signals.with_label_values(&[event]).inc();
    }

    /// Counts the outcome of a request to a coordinator.
    pub fn assignment(&self, outcome: &str) {
        self.inner.assignments.with_label_values(&[outcome]).inc();
    }

    /// Counts a change of the quarantine, or a request that it refuses.
    pub fn quarantine(&self, event: &str) {
        self.inner.quarantine.with_label_values(&[event]).inc();
    }

    /// Counts a stream that a caller takes up again.
    pub fn resumption(&self, origin: &str, outcome: &str) {
        self.inner.resumptions.with_label_values(&[origin, outcome]).inc();
    }

    /// Counts a decision on a request of an account with a quota, and its tokens.
    pub fn quota(&self, account: &str, outcome: &str, tokens: u64) {
        self.inner.quota.with_label_values(&[outcome]).inc();
        let metered = self.inner.metered_accounts.read().unwrap_or_else(PoisonError::into_inner);
        if metered.contains(account) {
            self.inner.quota_tokens.with_label_values(&[account, outcome]).inc_by(tokens);
        }
    }

    /// Counts a request of an account with a quota that did not run and was refunded.
    pub fn quota_refunded(&self) {
        self.inner.quota.with_label_values(&["refunded"]).inc();
    }

    /// Sets the accounts with quotas that have metrics of their own; their number bounds the labels.
    pub fn set_metered_accounts(&self, accounts: HashSet<String>) {
        let metered = &self.inner.metered_accounts;
        let mut metered = metered.write().unwrap_or_else(PoisonError::into_inner);
        if *metered != accounts {
            self.inner.quota_tokens.reset();
            *metered = accounts;
        }
    }

    /// Sets the revision of the cluster view.
    pub fn view_revision(&self, revision: Revision) {
        let as_gauge = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.inner.view_revision.set(as_gauge(revision.number()));
        self.inner.store_era.set(as_gauge(revision.era().0));
    }

    /// Sets the number of open connections from callers.
    pub fn open_connections(&self, count: usize) {
        self.inner.open_connections.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the bytes that are buffered for callers and of upstreams.
    pub fn buffered_bytes(&self, bytes: usize) {
        self.inner.buffered_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of slow callers and the bytes that wait for them.
    pub fn slow_callers(&self, count: usize, unread_bytes: usize) {
        self.inner.slow_callers.set(i64::try_from(count).unwrap_or(i64::MAX));
        self.inner.unread_bytes.set(i64::try_from(unread_bytes).unwrap_or(i64::MAX));
    }

    /// Counts a stream that was aborted because its caller reads too slowly.
    pub fn stream_aborted(&self, cause: &str) {
        self.inner.aborted_streams.with_label_values(&[cause]).inc();
    }

    /// Sets the learned times of a service's upstreams.
    pub fn engine_model(&self, service: &str, curve: &PrefillCurve) {
        for (parameter, value) in [
            ("base_ms", curve.base_ms),
            ("ms_per_1k_tokens", curve.ms_per_1k_tokens),
            ("ms_per_1m_pairs", curve.ms_per_1m_pairs),
        ] {
            self.inner.engine_model.with_label_values(&[service, parameter]).set(value);
        }
    }

    /// Replaces the concurrency limits of the upstreams that have one below their slots.
    pub fn engine_limits<'a>(&self, limits: impl Iterator<Item = (&'a str, u32)>) {
        self.inner.engine_limit.reset();
        for (upstream, limit) in limits {
            self.inner.engine_limit.with_label_values(&[upstream]).set(i64::from(limit));
        }
    }

    /// Sets the number of ready engines whose weights are older than the model's target version.
    pub fn outdated_engines(&self, model: &str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.inner.outdated_engines.with_label_values(&[model]).set(count);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.inner.registry.gather(), &mut text) {
            error!("event=metrics_encoding_failed reason={:?}", e.to_string());
        }
        text
    }
}

impl Inner {
    fn register(&self) {
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(self.requests.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.first_event.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.response_ends.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_listings.clone()),
            Box::new(self.quarantine.clone()),
            Box::new(self.resumptions.clone()),
            Box::new(self.upstream_signals.clone()),
            Box::new(self.assignments.clone()),
            Box::new(self.prompts.clone()),
            Box::new(self.shortages.clone()),
            Box::new(self.quota.clone()),
            Box::new(self.quota_tokens.clone()),
            Box::new(self.shed.clone()),
            Box::new(self.view_revision.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.open_connections.clone()),
            Box::new(self.buffered_bytes.clone()),
            Box::new(self.slow_callers.clone()),
            Box::new(self.unread_bytes.clone()),
            Box::new(self.aborted_streams.clone()),
            Box::new(self.engine_model.clone()),
            Box::new(self.engine_limit.clone()),
            Box::new(self.outdated_engines.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("each name is registered once");
        }
    }
}
