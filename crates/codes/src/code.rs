//! The result codes and their properties.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused or failed request was run by an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No upstream began to run the request.
    No,
    /// An upstream may have run the request.
    Unknown,
}

impl Ran {
    /// Returns the word used in error bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// The properties of a code.
#[derive(Clone, Copy, Debug)]
pub struct CodeInfo {
    /// The number, unique over all codes.
    pub number: u16,
    /// A short name in snake case.
    pub name: &'static str,
    /// The HTTP status of a response with this code.
    pub http_status: u16,
    /// Whether the request may have been run.
    pub ran: Ran,
    /// One sentence on the cause.
    pub summary: &'static str,
}

macro_rules! result_codes {
    ($($variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $summary:literal;)*) => {
        /// One outcome of a request or a command.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub enum ResultCode {
            $(#[doc = $summary] $variant,)*
        }

        impl ResultCode {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the properties of the code.
            pub fn info(self) -> CodeInfo {
                match self {
                    $(Self::$variant => CodeInfo {
                        number: $number,
                        name: $name,
                        http_status: $status,
                        ran: Ran::$ran,
                        summary: $summary,
                    },)*
                }
            }
        }
    };
}

result_codes! {
    Ok = 0, "ok", 200, No, "The request or command succeeded.";
    Internal = 1, "internal", 500, Unknown, "An internal invariant failed.";
    Usage = 2, "usage", 400, No, "The command line is wrong.";
    SettingsInvalid = 3, "settings_invalid", 400, No, "The daemon's settings have faults.";
    ConfigInvalid = 4, "config_invalid", 400, No, "The configuration files have faults.";
    ConfigConflict = 5, "config_conflict", 409, No, "Another operator applied a configuration first.";
    ConfigOutcomeUnknown = 6, "config_outcome_unknown", 503, Unknown, "The store did not say whether the configuration was applied.";
    ConfigNotInForce = 7, "config_not_in_force", 504, No, "Some nodes did not report the configuration in force in time.";
    StoreUnavailable = 8, "store_unavailable", 503, No, "The platform's store did not answer.";
    NodeUnreachable = 9, "node_unreachable", 503, No, "The node did not answer on its administration address.";
    BadRequest = 100, "bad_request", 400, No, "The request is not valid HTTP or lacks a required part.";
    BadJson = 101, "bad_json", 400, No, "The body is not the JSON that the call expects.";
    BodyTooLarge = 102, "body_too_large", 413, No, "The body is larger than the limit.";
    HeadersTooLarge = 103, "headers_too_large", 431, No, "The header section is larger than the limit.";
    RequestTimeout = 104, "request_timeout", 408, No, "The request was not sent completely in time.";
    KeyMissing = 105, "key_missing", 401, No, "The request has no API key.";
    KeyUnknown = 106, "key_unknown", 401, No, "The API key belongs to no client account.";
    ModelUnknown = 107, "model_unknown", 404, No, "No model of this name is configured.";
    RouteUnknown = 108, "route_unknown", 404, No, "Nothing is served under this path.";
    ServiceUnknown = 109, "service_unknown", 404, No, "No service of this name is configured.";
    PriorityUnknown = 110, "priority_unknown", 400, No, "The client account may not use this priority.";
    MethodUnknown = 111, "method_unknown", 405, No, "The path does not accept this method.";
    TooManyConnections = 112, "too_many_connections", 429, No, "The client account has too many open connections.";
    NotReady = 113, "not_ready", 503, No, "The node has no configuration yet.";
    Draining = 114, "draining", 503, No, "The node is stopping and accepts no new work.";
    RequestTooLarge = 115, "request_too_large", 413, No, "The request needs more memory than an engine has.";
    AccountUnknown = 116, "account_unknown", 404, No, "No client account of this name is configured.";
    RateLimited = 200, "rate_limited", 429, No, "The client account is over its token rate.";
    ConcurrencyLimited = 201, "concurrency_limited", 429, No, "The client account has too many requests in flight.";
    QueueFull = 202, "queue_full", 503, No, "The queue of this priority is full.";
    QueueTimeout = 203, "queue_timeout", 503, No, "The request waited longer than its queue deadline.";
    Shed = 204, "shed", 503, No, "The wait would exceed the queue deadline.";
    NoUpstream = 205, "no_upstream", 503, No, "No live upstream can serve the request.";
    RetryBudgetSpent = 206, "retry_budget_spent", 503, No, "The request could not be sent and the retry budget is spent.";
    Quarantined = 207, "quarantined", 503, No, "A part of the prompt is quarantined because it ended several engines.";
    BuffersFull = 208, "buffers_full", 503, No, "The body does not fit into what the node may buffer now.";
    QuotaUnreachable = 209, "quota_unreachable", 503, No, "No node that holds the client account's quota could be reached.";
    StreamOriginUnknown = 210, "stream_origin_unknown", 503, No, "Which software version began the stream is not known; it can only begin anew.";
    StreamVersionGone = 211, "stream_version_gone", 503, No, "No upstream has the software version that began the stream; it can only begin anew.";
    UpstreamUnreachable = 300, "upstream_unreachable", 502, No, "No connection to an upstream could be made.";
    UpstreamFailed = 301, "upstream_failed", 502, Unknown, "The upstream failed while it ran the request.";
    UpstreamSilent = 302, "upstream_silent", 504, Unknown, "The upstream stopped answering.";
    UpstreamGarbage = 303, "upstream_garbage", 502, Unknown, "The upstream's reply could not be read.";
    ReplyCrossed = 304, "reply_crossed", 502, Unknown, "The upstream's reply belongs to another request.";
    StreamBroken = 305, "stream_broken", 502, Unknown, "The stream ended early and could not be continued.";
    UpstreamRefused = 306, "upstream_refused", 502, No, "The upstream refused the request without running it.";
    IdempotencyKeyMissing = 400, "idempotency_key_missing", 400, No, "The call may not be repeated and needs an Idempotency-Key.";
    IdempotencyKeyInvalid = 401, "idempotency_key_invalid", 400, No, "The Idempotency-Key is malformed or too long.";
    IdempotencyKeyReused = 402, "idempotency_key_reused", 422, No, "The key was used before with another request.";
    OutcomeUnknown = 403, "outcome_unknown", 409, Unknown, "The call was recorded, and its outcome is not known; it will not be run again.";
    OrderInFlight = 404, "order_in_flight", 409, Unknown, "A call with this key is running now.";
    LedgerUnavailable = 405, "ledger_unavailable", 503, No, "The call could not be recorded, so it was not sent.";
    KeyExpired = 406, "key_expired", 409, Unknown, "The key is older than the retained window and is refused.";
    WindowFull = 407, "window_full", 429, No, "Too many calls of this service are in flight.";
    LedgerOutcomeUnknown = 408, "ledger_outcome_unknown", 503, No, "Whether the call was recorded is not known; it was not sent.";
    PeerUntrusted = 500, "peer_untrusted", 403, No, "The peer has no valid certificate.";
    PeerMessageInvalid = 501, "peer_message_invalid", 400, No, "The peer's message could not be read.";
    FencingRefused = 502, "fencing_refused", 409, No, "The upstream holds a higher fencing number.";
}

impl ResultCode {
    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self.info().number
    }

    /// Returns the code with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Returns the exit status of a command that ends with this code.
    ///
    /// Exit statuses hold one byte: codes below 100 are their own status, and all others exit 1.
    pub fn exit_status(self) -> u8 {
        match self.number() {
            number @ 0..100 => number as u8,
            _ => 1,
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.info().name, self.number())
    }
}
