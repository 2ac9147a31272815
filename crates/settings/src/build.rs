//! Conversion of checked values to the typed settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::LimitSettings;
use crate::LogSettings;
use crate::MetricsSettings;
use crate::NodeSettings;
use crate::PeerSettings;
use crate::PlacementPolicy;
use crate::PlatformSettings;
use crate::Settings;
use crate::StreamSettings;
use crate::TlsSettings;
use crate::check::Values;
use crate::check::check;
use redwingrill_config::Faults;
use redwingrill_config::SourceFile;
use redwingrill_config::text::value::Value;

/// Reads and checks a settings file.
///
/// # Errors
///
/// All faults of the file, each with its line, key, reason and a hint.
pub fn parse(source: &SourceFile) -> Result<Settings, Faults> {
    let (values, faults) = check(source);
    faults.into_result(())?;
    Ok(SettingsBuilder { values }.build())
}

/// Builds the settings from values that the check found present and of the right kind.
struct SettingsBuilder {
    values: Values,
}

impl SettingsBuilder {
    fn build(&self) -> Settings {
        Settings {
            node: self.node_settings(),
            platform: PlatformSettings {
                endpoints: self.addresses("platform", "endpoints"),
                instance_list_endpoints: self.addresses("platform", "instance_list_endpoints"),
                call_timeout_ms: self.number("platform", "call_timeout"),
            },
            peers: PeerSettings { seeds: self.addresses("peers", "seeds") },
            tls: self.values.has_section("tls").then(|| TlsSettings {
                ca_file: self.path("tls", "ca_file"),
                certificate_file: self.path("tls", "certificate_file"),
                key_file: self.path("tls", "key_file"),
            }),
            limits: LimitSettings {
                header_bytes: self.count("limits", "header_size"),
                body_bytes: self.count("limits", "body_size"),
                request_timeout_ms: self.number("limits", "request_timeout"),
                connections: self.count("limits", "connections"),
            },
            streams: StreamSettings {
                connect_timeout_ms: self.number("streams", "connect_timeout"),
                first_token_timeout_ms: self.number("streams", "first_token_timeout"),
                token_timeout_ms: self.number("streams", "token_timeout"),
            },
            placement_policy: self.placement_policy(),
            metrics: MetricsSettings { statsd: self.optional_address("metrics", "statsd") },
            log: LogSettings {
                level: self.text("log", "level").parse().expect("the table lists level names"),
            },
        }
    }

    fn node_settings(&self) -> NodeSettings {
        let address = |key| self.optional_address("node", key).expect("the address is required");
        NodeSettings {
            name: self.text("node", "name").to_owned(),
            listen: address("listen"),
            admin_listen: address("admin_listen"),
            peer_listen: address("peer_listen"),
            failure_domain: self.text("node", "failure_domain").to_owned(),
            region: self.text("node", "region").to_owned(),
            drain_deadline_ms: self.number("node", "drain_deadline"),
            drain_notice_ms: self.number("node", "drain_notice"),
        }
    }

    fn placement_policy(&self) -> PlacementPolicy {
        match self.text("placement", "policy") {
            "random" => PlacementPolicy::Random,
            "least_loaded" => PlacementPolicy::LeastLoaded,
            "affinity" => PlacementPolicy::Affinity,
            _ => PlacementPolicy::Redwingrill,
        }
    }

    fn text(&self, section: &'static str, key: &'static str) -> &str {
        match self.values.get(section, key) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    fn number(&self, section: &'static str, key: &'static str) -> u64 {
        match self.values.get(section, key) {
            Some(Value::Number(number)) => *number,
            _ => 0,
        }
    }

    fn count(&self, section: &'static str, key: &'static str) -> usize {
        usize::try_from(self.number(section, key)).unwrap_or(usize::MAX)
    }

    fn path(&self, section: &'static str, key: &'static str) -> PathBuf {
        PathBuf::from(self.text(section, key))
    }

    fn addresses(&self, section: &'static str, key: &'static str) -> Vec<SocketAddr> {
        match self.values.get(section, key) {
            Some(Value::Addresses(addresses)) => addresses.clone(),
            _ => Vec::new(),
        }
    }

    fn optional_address(&self, section: &'static str, key: &'static str) -> Option<SocketAddr> {
        match self.values.get(section, key) {
            Some(Value::Address(address)) => Some(*address),
            _ => None,
        }
    }
}
