//! The table of all sections and keys.
//!
//! The parser, the validation and the reference in docs/operating/configuration.md are all driven
//! by this table, so they always agree on the set of keys.

/// The kind of a section: the first word of its header.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum SectionKind {
    /// `[priority NAME]`
    Priority,
    /// `[model NAME]`
    Model,
    /// `[account NAME]`
    Account,
    /// `[upstream NAME]`
    Upstream,
    /// `[service NAME]`
    Service,
}

/// The type of a key's value.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ValueKind {
    /// Any non-empty text.
    Text,
    /// An integer between two inclusive bounds.
    Count(u64, u64),
    /// An integer percentage with the `%` sign.
    Percent,
    /// A duration with its unit, between two inclusive bounds in milliseconds.
    Duration(u64, u64),
    /// A rate in tokens per second.
    TokensPerSecond,
    /// `yes` or `no`.
    Flag,
    /// One of these values.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Address,
    /// An IP address with a port to listen on; port 0 lets the system choose.
    ListenAddress,
    /// Comma-separated IP addresses with ports.
    Addresses,
    /// A size with its unit, between two inclusive bounds in bytes.
    Size(u64, u64),
    /// The name of a section of this kind.
    Reference(SectionKind),
    /// Comma-separated names of sections of this kind.
    References(SectionKind),
    /// Comma-separated hashes of API keys.
    KeyHashes,
    /// Comma-separated call patterns.
    CallPatterns,
}

/// Whether a key may be omitted, and what applies then.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Presence {
    /// The key is required.
    Required,
    /// The key is optional and defaults to this value.
    Default(&'static str),
    /// The key is optional and has no default.
    Optional,
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// The key.
    pub key: &'static str,
    /// The type of its value.
    pub kind: ValueKind,
    /// Whether it may be omitted.
    pub presence: Presence,
    /// One sentence for the reference.
    pub summary: &'static str,
}

/// One kind of section.
#[derive(Clone, Copy, Debug)]
pub struct SectionSpec {
    /// The kind.
    pub kind: SectionKind,
    /// The first word of the header.
    pub keyword: &'static str,
    /// One sentence for the reference.
    pub summary: &'static str,
    /// The keys.
    pub keys: &'static [KeySpec],
}

const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Creates an entry of a table of keys.
pub const fn key(
    key: &'static str,
    kind: ValueKind,
    presence: Presence,
    summary: &'static str,
) -> KeySpec {
    KeySpec { key, kind, presence, summary }
}

/// All sections with all their keys.
pub const SECTIONS: &[SectionSpec] = &[
    SectionSpec {
        kind: SectionKind::Priority,
        keyword: "priority",
        summary: "A priority class of requests.",
        keys: &[
            key(
                "level",
                ValueKind::Count(0, 255),
                Presence::Required,
                "The place in the order of urgency; 0 is the most urgent. No two priorities share one.",
            ),
            key(
                "first_token_target",
                ValueKind::Duration(1, HOUR_MS),
                Presence::Required,
                "The target for the time to the first token.",
            ),
            key(
                "queue_deadline",
                ValueKind::Duration(1, DAY_MS),
                Presence::Required,
                "The longest wait in a queue; a request that would wait longer is refused.",
            ),
            key(
                "floor",
                ValueKind::Percent,
                Presence::Default("0 %"),
                "The share of capacity that this priority keeps while others flood. All floors together are at most 100 %.",
            ),
        ],
    },
    SectionSpec {
        kind: SectionKind::Model,
        keyword: "model",
        summary: "A model that engines serve.",
        keys: &[
            key(
                "weights_version",
                ValueKind::Text,
                Presence::Required,
                "The version of the weights that engines should serve. A change starts a roll-out.",
            ),
            key(
                "parallel_loads_limit",
                ValueKind::Count(1, 1_000),
                Presence::Default("1"),
                "The most engines that load weights of this model at once.",
            ),
        ],
    },
    SectionSpec {
        kind: SectionKind::Account,
        keyword: "account",
        summary: "A client account.",
        keys: &[
            key(
                "key_hashes",
                ValueKind::KeyHashes,
                Presence::Required,
                "The hashes of its API keys, as printed by `redwingrill hash-key`, up to 64. No key belongs to two accounts.",
            ),
            key(
                "priorities",
                ValueKind::References(SectionKind::Priority),
                Presence::Required,
                "The priorities it may use; the first is the default.",
            ),
            key(
                "weight",
                ValueKind::Count(1, 1_000_000),
                Presence::Default("1"),
                "The weight of its share among accounts of the same priority.",
            ),
            key(
                "tokens_limit",
                ValueKind::TokensPerSecond,
                Presence::Default("0 tokens/s"),
                "The limit on prompt and generated tokens over the whole fleet; 0 for none.",
            ),
            key(
                "requests_limit",
                ValueKind::Count(0, 10_000_000),
                Presence::Default("0"),
                "The most requests in flight over the whole fleet; 0 for no limit.",
            ),
            key(
                "connections_limit",
                ValueKind::Count(0, 1_000_000),
                Presence::Default("0"),
                "The most open connections at one node; 0 for no limit.",
            ),
        ],
    },
    SectionSpec {
        kind: SectionKind::Upstream,
        keyword: "upstream",
        summary: "An upstream. Its name is the one in the platform's instance list.",
        keys: &[
            key(
                "kind",
                ValueKind::Choice(&["engine", "cache_store", "service"]),
                Presence::Required,
                "What the upstream is.",
            ),
            key(
                "address",
                ValueKind::Address,
                Presence::Required,
                "The IP address and port it serves HTTP on. No two upstreams share one.",
            ),
            key(
                "failure_domain",
                ValueKind::Text,
                Presence::Required,
                "The failure domain it is in.",
            ),
            key(
                "model",
                ValueKind::Reference(SectionKind::Model),
                Presence::Optional,
                "The model it serves; for an engine, and only there.",
            ),
            key(
                "role",
                ValueKind::Text,
                Presence::Optional,
                "The role that an engine is ordered to take; without it, its role is left alone.",
            ),
            key(
                "fencing",
                ValueKind::Choice(&["checked", "ignored"]),
                Presence::Default("ignored"),
                "Whether the upstream refuses an order with an old fencing number.",
            ),
            key(
                "requests_limit",
                ValueKind::Count(0, 1_000_000),
                Presence::Default("0"),
                "The most requests in flight at once; 0 for no fixed limit.",
            ),
            key(
                "drained",
                ValueKind::Flag,
                Presence::Default("no"),
                "Whether it gets no new work.",
            ),
        ],
    },
    SectionSpec {
        kind: SectionKind::Service,
        keyword: "service",
        summary: "A plain service, reached under /services/NAME.",
        keys: &[
            key(
                "upstreams",
                ValueKind::References(SectionKind::Upstream),
                Presence::Required,
                "The upstreams of kind service that serve it.",
            ),
            key(
                "unrepeatable",
                ValueKind::CallPatterns,
                Presence::Optional,
                "The calls that may not be repeated, each as METHOD /PATH-PREFIX, up to 64.",
            ),
            key(
                "retained_window",
                ValueKind::Duration(SECOND_MS, 30 * DAY_MS),
                Presence::Default("24 h"),
                "How long an Idempotency-Key is retained.",
            ),
            key(
                "in_flight_limit",
                ValueKind::Count(1, 100_000),
                Presence::Default("64"),
                "The most calls that may not be repeated in flight for each client account.",
            ),
            key(
                "timeout",
                ValueKind::Duration(1, HOUR_MS),
                Presence::Default("10 s"),
                "The time a call may take.",
            ),
        ],
    },
];

impl SectionKind {
    /// Returns the specification of this kind.
    pub fn spec(self) -> &'static SectionSpec {
        SECTIONS.iter().find(|spec| spec.kind == self).expect("SECTIONS contains every kind")
    }

    /// Returns the kind whose header starts with this keyword.
    pub fn from_keyword(keyword: &str) -> Option<Self> {
        SECTIONS.iter().find(|spec| spec.keyword == keyword).map(|spec| spec.kind)
    }
}

impl SectionSpec {
    /// Returns the specification of a key, if the section has it.
    pub fn key(&self, key: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|spec| spec.key == key)
    }
}
