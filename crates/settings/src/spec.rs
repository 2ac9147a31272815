//! The table of all sections and keys of the settings file.

use redwingrill_config::text::reference::section_reference;
use redwingrill_config::text::spec::KeySpec;
use redwingrill_config::text::spec::Presence::Default;
use redwingrill_config::text::spec::Presence::Optional;
use redwingrill_config::text::spec::Presence::Required;
use redwingrill_config::text::spec::ValueKind;
use redwingrill_config::text::spec::key;

/// The specification of one section.
#[derive(Clone, Copy, Debug)]
pub struct SectionSpec {
    /// The name in the header.
    pub name: &'static str,
    /// One sentence for the generated reference.
    pub summary: &'static str,
    /// Whether the section may be omitted even if it has required keys.
    pub optional: bool,
    /// The keys.
    pub keys: &'static [KeySpec],
}

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// The names of placement policies.
pub const POLICIES: &[&str] = &["random", "least_loaded", "affinity", "redwingrill"];

/// All sections with all their keys.
pub const SECTIONS: &[SectionSpec] = &[
    SectionSpec {
        name: "node",
        summary: "Who the node is and where it listens.",
        optional: false,
        keys: &[
            key("name", ValueKind::Text, Required, "The name, unique in the fleet."),
            key("listen", ValueKind::ListenAddress, Required, "The address for callers (TCP)."),
            key(
                "admin_listen",
                ValueKind::ListenAddress,
                Required,
                "The address for operators (TCP).",
            ),
            key("peer_listen", ValueKind::ListenAddress, Required, "The address for peers (UDP)."),
            key("failure_domain", ValueKind::Text, Required, "The failure domain."),
            key("region", ValueKind::Text, Default("default"), "The region."),
            key(
                "drain_notice",
                ValueKind::Duration(0, MINUTE_MS),
                Default("2 s"),
                "How long a node that is stopping still accepts, while the balancer notices.",
            ),
            key(
                "drain_deadline",
                ValueKind::Duration(0, HOUR_MS),
                Default("60 s"),
                "How long open work may take to end at a graceful shutdown.",
            ),
        ],
    },
    SectionSpec {
        name: "platform",
        summary: "Where the platform's service is.",
        optional: false,
        keys: &[
            key("endpoints", ValueKind::Addresses, Required, "The equal endpoints of the store."),
            key(
                "instance_list_endpoints",
                ValueKind::Addresses,
                Optional,
                "The endpoints of the instance list, if they are others.",
            ),
            key(
                "call_timeout",
                ValueKind::Duration(1, MINUTE_MS),
                Default("2 s"),
                "How long one call may take.",
            ),
        ],
    },
    SectionSpec {
        name: "peers",
        summary: "How the node finds its peers.",
        optional: true,
        keys: &[key(
            "seeds",
            ValueKind::Addresses,
            Optional,
            "Addresses of some peers (UDP), itself included or not.",
        )],
    },
    SectionSpec {
        name: "tls",
        summary: "Files with the node's keys, PEM. Without the section the node has no peers.",
        optional: true,
        keys: &[
            key("ca_file", ValueKind::Text, Required, "The site's certificate authority."),
            key("certificate_file", ValueKind::Text, Required, "The node's certificate chain."),
            key("key_file", ValueKind::Text, Required, "The node's private key."),
        ],
    },
    SectionSpec {
        name: "limits",
        summary: "Limits on what callers send.",
        optional: true,
        keys: &[
            key(
                "header_size",
                ValueKind::Size(1 << 10, 1 << 20),
                Default("16 KiB"),
                "The longest header section.",
            ),
            key(
                "body_size",
                ValueKind::Size(1 << 10, 64 << 20),
                Default("4 MiB"),
                "The longest body.",
            ),
            key(
                "request_timeout",
                ValueKind::Duration(100, HOUR_MS),
                Default("10 s"),
                "The time to send a whole request.",
            ),
            key(
                "connections",
                ValueKind::Count(1, 1_000_000),
                Default("20000"),
                "Open connections of all callers together.",
            ),
        ],
    },
    SectionSpec {
        name: "streams",
        summary: "How long the parts of an engine's answer may take.",
        optional: true,
        keys: &[
            key(
                "connect_timeout",
                ValueKind::Duration(1, MINUTE_MS),
                Default("500 ms"),
                "Opening a connection.",
            ),
            key(
                "first_token_timeout",
                ValueKind::Duration(1, HOUR_MS),
                Default("20 s"),
                "From sending a request to its first token.",
            ),
            key(
                "token_timeout",
                ValueKind::Duration(1, HOUR_MS),
                Default("2 s"),
                "From one token to the next.",
            ),
        ],
    },
    SectionSpec {
        name: "placement",
        summary: "How an engine is chosen.",
        optional: true,
        keys: &[key(
            "policy",
            ValueKind::Choice(POLICIES),
            Default("redwingrill"),
            "The policy; all but the default are baselines for experiments.",
        )],
    },
    SectionSpec {
        name: "metrics",
        summary: "Where metrics go.",
        optional: true,
        keys: &[key(
            "statsd",
            ValueKind::Address,
            Optional,
            "The address of a StatsD server (UDP).",
        )],
    },
    SectionSpec {
        name: "log",
        summary: "What is logged.",
        optional: true,
        keys: &[key(
            "level",
            ValueKind::Choice(LEVELS),
            Default("info"),
            "The least severe level that is logged.",
        )],
    },
];

/// Returns the reference of all sections as Markdown, with one table of keys per section.
pub fn reference() -> String {
    let sections = SECTIONS.iter();
    let parts = sections.map(|section| {
        section_reference(&format!("[{}]", section.name), section.summary, section.keys)
    });
    parts.collect::<Vec<_>>().join("\n")
}
