//! The desired state back to text that reads to the same state.

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

/// Writes a desired state as INI text, sections of a kind in the order of their names.
pub fn render(state: &DesiredState, names: &Names) -> String {
    let mut text = String::new();
    let out = &mut text;
    for priority in sorted(state.priorities.values(), |p| &p.name) {
        section(out, "priority", &priority.name);
        line(out, "level", priority.level);
        line(out, "first_token_target", format_args!("{} ms", priority.first_token_target_ms));
        line(out, "queue_deadline", format_args!("{} ms", priority.queue_deadline_ms));
        line(out, "floor", format_args!("{} %", priority.floor_percent));
    }
    for model in sorted(state.models.values(), |m| &m.name) {
        section(out, "model", &model.name);
        line(out, "weights_version", &model.weights_version);
        line(out, "parallel_loads_limit", model.parallel_loads_limit);
    }
    for account in sorted(state.accounts.values(), |a| &a.name) {
        section(out, "account", &account.name);
        line(out, "key_hashes", list(account.key_hashes.iter().map(hash_text)));
        line(out, "priorities", name_list(&account.priorities, &names.priorities));
        line(out, "weight", account.weight);
        line(out, "tokens_limit", format_args!("{} tokens/s", account.tokens_per_s_limit));
        line(out, "requests_limit", account.requests_limit);
        line(out, "connections_limit", account.connections_limit);
    }
    upstreams(out, state, names);
    for service in sorted(state.services.values(), |s| &s.name) {
        section(out, "service", &service.name);
        line(out, "upstreams", name_list(&service.upstreams, &names.upstreams));
        let calls = service.unrepeatable.iter();
        let calls = list(calls.map(|call| format!("{} {}", call.method, call.path_prefix)));
        if !calls.is_empty() {
            line(out, "unrepeatable", calls);
        }
        line(out, "retained_window", format_args!("{} s", service.retained_window_s));
        line(out, "in_flight_limit", service.in_flight_limit);
        line(out, "timeout", format_args!("{} ms", service.timeout_ms));
    }
    text
}

fn upstreams(out: &mut String, state: &DesiredState, names: &Names) {
    let mut entries: Vec<_> = state.upstreams.iter().collect();
    entries.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    for (id, upstream) in entries {
        section(out, "upstream", &upstream.name);
        line(out, "kind", kind_word(upstream.kind));
        line(out, "address", upstream.address);
        line(out, "failure_domain", names.domains.name(upstream.domain));
        if let Some(model) = upstream.model {
            line(out, "model", names.models.name(model));
        }
        if let Some(role) = state.engine_roles.get(id) {
            line(out, "role", role);
        }
        let checked = upstream.fencing == Fencing::Checked;
        line(out, "fencing", if checked { "checked" } else { "ignored" });
        line(out, "requests_limit", upstream.requests_limit);
        line(out, "drained", if upstream.drained { "yes" } else { "no" });
    }
}

fn sorted<'a, T>(values: impl Iterator<Item = &'a T>, name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut values: Vec<&T> = values.collect();
    values.sort_by(|a, b| name(a).cmp(name(b)));
    values
}

fn section(out: &mut String, keyword: &str, name: &str) {
    let gap = if out.is_empty() { "" } else { "\n" };
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{gap}[{keyword} {name}]");
}

fn line(out: &mut String, key: &str, value: impl Display) {
    let _ = writeln!(out, "{key} = {value}");
}

fn list(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(", ")
}

fn name_list<K: EntityRef>(ids: &[K], interner: &Interner<K>) -> String {
    list(ids.iter().map(|&id| interner.name(id).to_owned()))
}

fn hash_text(hash: &KeyHash) -> String {
    format!("{KEY_HASH_PREFIX}{}", blake3::Hash::from_bytes(hash.0).to_hex())
}

fn kind_word(kind: UpstreamKind) -> &'static str {
    match kind {
        UpstreamKind::Engine => "engine",
        UpstreamKind::CacheStore => "cache_store",
        UpstreamKind::Service => "service",
    }
}
