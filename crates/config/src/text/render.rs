//! Renders the desired state as text that parses to the same state.

use std::fmt::Display;
use std::fmt::Write;

use super::value::KEY_HASH_PREFIX;
use crate::DesiredState;
use crate::Fencing;
use crate::KeyHash;
use crate::UpstreamKind;
use redwingrill_entity::EntityRef;
use redwingrill_entity::Interner;
use redwingrill_entity::Names;

/// Renders a desired state as INI text; the sections of each kind are sorted by name.
pub fn render(state: &DesiredState, names: &Names) -> String {
    let mut text = String::new();
    let out = &mut text;
    for priority in sorted_by_name(state.priorities.values(), |p| &p.name) {
        write_section(out, "priority", &priority.name);
        write_line(out, "level", priority.level);
        write_line(
            out,
            "first_token_target",
            format_args!("{} ms", priority.first_token_target_ms),
        );
        write_line(out, "queue_deadline", format_args!("{} ms", priority.queue_deadline_ms));
        write_line(out, "floor", format_args!("{} %", priority.floor_percent));
    }
    for model in sorted_by_name(state.models.values(), |m| &m.name) {
        write_section(out, "model", &model.name);
        write_line(out, "weights_version", &model.weights_version);
        write_line(out, "parallel_loads_limit", model.parallel_loads_limit);
    }
    for account in sorted_by_name(state.accounts.values(), |a| &a.name) {
        write_section(out, "account", &account.name);
        write_line(out, "key_hashes", join_list(account.key_hashes.iter().map(format_key_hash)));
        write_line(out, "priorities", join_names(&account.priorities, &names.priorities));
        write_line(out, "weight", account.weight);
        write_line(out, "tokens_limit", format_args!("{} tokens/s", account.tokens_per_s_limit));
        write_line(out, "requests_limit", account.requests_limit);
        write_line(out, "connections_limit", account.connections_limit);
    }
    write_upstreams(out, state, names);
    for service in sorted_by_name(state.services.values(), |s| &s.name) {
        write_section(out, "service", &service.name);
        write_line(out, "upstreams", join_names(&service.upstreams, &names.upstreams));
        let calls = service.unrepeatable.iter();
        let calls = join_list(calls.map(|call| format!("{} {}", call.method, call.path_prefix)));
        if !calls.is_empty() {
            write_line(out, "unrepeatable", calls);
        }
        write_line(out, "retained_window", format_args!("{} s", service.retained_window_s));
        write_line(out, "in_flight_limit", service.in_flight_limit);
        write_line(out, "timeout", format_args!("{} ms", service.timeout_ms));
    }
    text
}

fn write_upstreams(out: &mut String, state: &DesiredState, names: &Names) {
    let mut entries: Vec<_> = state.upstreams.iter().collect();
    entries.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    for (id, upstream) in entries {
        write_section(out, "upstream", &upstream.name);
        write_line(out, "kind", kind_value(upstream.kind));
        write_line(out, "address", upstream.address);
        write_line(out, "failure_domain", names.domains.name(upstream.domain));
        if let Some(model) = upstream.model {
            write_line(out, "model", names.models.name(model));
        }
        if let Some(role) = state.engine_roles.get(id) {
            write_line(out, "role", role);
        }
        let checked = upstream.fencing == Fencing::Checked;
        write_line(out, "fencing", if checked { "checked" } else { "ignored" });
        write_line(out, "requests_limit", upstream.requests_limit);
        write_line(out, "drained", if upstream.drained { "yes" } else { "no" });
    }
}

fn sorted_by_name<'a, T>(
    values: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut values: Vec<&T> = values.collect();
    values.sort_by(|a, b| name(a).cmp(name(b)));
    values
}

fn write_section(out: &mut String, keyword: &str, name: &str) {
    let separator = if out.is_empty() { "" } else { "\n" };
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{separator}[{keyword} {name}]");
}

fn write_line(out: &mut String, key: &str, value: impl Display) {
    let _ = writeln!(out, "{key} = {value}");
}

fn join_list(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(", ")
}

fn join_names<K: EntityRef>(ids: &[K], interner: &Interner<K>) -> String {
    join_list(ids.iter().map(|&id| interner.name(id).to_owned()))
}

fn format_key_hash(hash: &KeyHash) -> String {
    format!("{KEY_HASH_PREFIX}{}", blake3::Hash::from_bytes(hash.0).to_hex())
}

fn kind_value(kind: UpstreamKind) -> &'static str {
    match kind {
        UpstreamKind::Engine => "engine",
        UpstreamKind::CacheStore => "cache_store",
        UpstreamKind::Service => "service",
    }
}
