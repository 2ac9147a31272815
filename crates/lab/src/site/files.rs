//! The operator's files of a site.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use super::Site;
use super::StandIns;
use crate::engine::FencingMode;
use redwingrill_config::KeyHash;

/// Returns the desired state of a site as the operator writes it.
pub fn configuration_text(site: &Site, stand_ins: &StandIns) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_state(&mut text, site, stand_ins);
    text
}

fn write_state(text: &mut String, site: &Site, stand_ins: &StandIns) -> std::fmt::Result {
    for (level, priority) in site.priorities.iter().enumerate() {
        writeln!(text, "[priority {}]\nlevel = {level}", priority.name)?;
        writeln!(text, "first_token_target = {} ms", priority.first_token_target_ms)?;
        writeln!(text, "queue_deadline = {} ms", priority.queue_deadline_ms)?;
        writeln!(text, "floor = {} %\n", priority.floor_percent)?;
    }
    writeln!(text, "[model {}]\nweights_version = {}", site.model, site.weights_version)?;
    writeln!(text, "parallel_loads_limit = {}\n", site.parallel_loads_limit)?;
    let names: Vec<&str> = site.priorities.iter().map(|priority| priority.name.as_str()).collect();
    for account in &site.accounts {
        let hash = hex(&KeyHash::of(&account.api_key));
        writeln!(text, "[account {}]\nkey_hashes = blake3:{hash}", account.name)?;
        writeln!(text, "priorities = {}\nweight = {}\n", names.join(", "), account.weight)?;
    }
    for (n, engine) in stand_ins.engines.iter().enumerate() {
        writeln!(text, "[upstream {}]\nkind = engine\naddress = {}", engine.name, engine.address)?;
        writeln!(text, "failure_domain = {}\nmodel = {}", site.domain_of(n), site.model)?;
        writeln!(text, "fencing = checked\n")?;
    }
    if let Some(store) = &stand_ins.cache_store {
        writeln!(text, "[upstream cache-store-1]\nkind = cache_store")?;
        writeln!(text, "address = {}\nfailure_domain = {}\n", store.address, site.domain_of(0))?;
    }
    let fencing = match site.service_fencing {
        FencingMode::Checked => "checked",
        FencingMode::Ignored => "ignored",
    };
    for (n, service) in stand_ins.services.iter().enumerate() {
        writeln!(text, "[upstream {}]\nkind = service", service.name)?;
        writeln!(text, "address = {}\nfailure_domain = {}", service.address, site.domain_of(n))?;
        writeln!(text, "fencing = {fencing}\n")?;
    }
    let upstreams: Vec<&str> = stand_ins.services.iter().map(|s| s.name.as_str()).collect();
    writeln!(text, "[service {}]\nupstreams = {}", site.service, upstreams.join(", "))?;
    writeln!(text, "unrepeatable = POST /orders\nretained_window = 1 h")
}

fn hex(hash: &KeyHash) -> String {
    hash.0.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the settings of one router on free loopback ports. `extra` holds further sections.
pub fn settings_text(
    name: &str,
    failure_domain: &str,
    platform: SocketAddr,
    extra: &str,
) -> String {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    peer_settings_text(name, failure_domain, platform, any, 0, extra)
}

/// Like [`settings_text`] with an address for peers and a drain notice.
pub fn peer_settings_text(
    name: &str,
    failure_domain: &str,
    platform: SocketAddr,
    peer_listen: SocketAddr,
    drain_notice_ms: u64,
    extra: &str,
) -> String {
    format!(
        "[node]\nname = {name}\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
         peer_listen = {peer_listen}\nfailure_domain = {failure_domain}\ndrain_notice = {drain_notice_ms} ms\n\
         drain_deadline = 5 s\n\n[platform]\nendpoints = {platform}\n\n{extra}"
    )
}
