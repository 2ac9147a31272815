//! Builds the desired state from validated sections.
//!
//! References between sections and rules across sections are checked here, while line numbers are
//! still available. A section that lacks a required value was reported earlier and is skipped.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Fault;
use super::Faults;
use super::SourceFile;
use super::sections::Located;
use super::sections::Section;
use super::spec::SectionKind;
use super::suggest::closest;
use super::value::Value;
use crate::Account;
use crate::DesiredState;
use crate::Fencing;
use crate::KeyHash;
use crate::Model;
use crate::Priority;
use crate::Service;
use crate::Upstream;
use crate::UpstreamKind;
use redwingrill_entity::Names;

/// The state of the pass that builds the desired state.
pub struct Builder<'a> {
    sources: &'a [SourceFile],
    defined: HashSet<(SectionKind, &'a str)>,
    upstream_kinds: HashMap<&'a str, UpstreamKind>,
    names: &'a mut Names,
    faults: &'a mut Faults,
    state: DesiredState,
    level_owners: HashMap<u8, String>,
    floor_total_percent: u64,
    key_owners: HashMap<KeyHash, String>,
    address_owners: HashMap<SocketAddr, String>,
}

impl<'a> Builder<'a> {
    /// Creates a builder with the names that `sections` define.
    pub fn new(
        sources: &'a [SourceFile],
        sections: &'a [Section],
        names: &'a mut Names,
        faults: &'a mut Faults,
    ) -> Self {
        let upstreams = sections.iter().filter(|section| section.kind == SectionKind::Upstream);
        Self {
            sources,
            defined: sections.iter().map(|s| (s.kind, s.name.as_str())).collect(),
            upstream_kinds: upstreams
                .filter_map(|section| Some((section.name.as_str(), upstream_kind(section)?)))
                .collect(),
            names,
            faults,
            state: DesiredState::default(),
            level_owners: HashMap::new(),
            floor_total_percent: 0,
            key_owners: HashMap::new(),
            address_owners: HashMap::new(),
        }
    }

    /// Builds the desired state and reports faults across sections.
    pub fn build(mut self, sections: &[Section]) -> DesiredState {
        for section in sections {
            // `None` means that a required key is missing, which was reported earlier.
            let _built = match section.kind {
                SectionKind::Priority => self.add_priority(section),
                SectionKind::Model => self.add_model(section),
                SectionKind::Account => self.add_account(section),
                SectionKind::Upstream => self.add_upstream(section),
                SectionKind::Service => self.add_service(section),
            };
        }
        self.state
    }

    fn add_priority(&mut self, section: &Section) -> Option<()> {
        let level = number(section, "level")? as u8;
        if let Some(other) = self.level_owners.insert(level, section.name.clone()) {
            let reason = format!("level {level} belongs to priority `{other}` already");
            self.report(section, "level", reason, "give each priority a level of its own");
        }
        let floor_percent = number(section, "floor")?;
        self.floor_total_percent += floor_percent;
        if self.floor_total_percent > 100 {
            let reason = format!("the floors so far add up to {} %", self.floor_total_percent);
            self.report(
                section,
                "floor",
                reason,
                "lower floors until they add up to 100 % or less",
            );
        }
        let priority = Priority {
            name: section.name.clone(),
            level,
            first_token_target_ms: number(section, "first_token_target")? as u32,
            queue_deadline_ms: number(section, "queue_deadline")? as u32,
            floor_percent: floor_percent as u8,
        };
        let id = self.names.priorities.intern(&section.name);
        self.state.priorities.insert(id, priority);
        Some(())
    }

    fn add_model(&mut self, section: &Section) -> Option<()> {
        let model = Model {
            name: section.name.clone(),
            weights_version: text(section, "weights_version")?.to_owned(),
            parallel_loads_limit: number(section, "parallel_loads_limit")? as u32,
        };
        let id = self.names.models.intern(&section.name);
        self.state.models.insert(id, model);
        Some(())
    }

    fn add_account(&mut self, section: &Section) -> Option<()> {
        let Value::KeyHashes(key_hashes) = value(section, "key_hashes")? else { return None };
        for hash in key_hashes {
            let owner = self.key_owners.insert(*hash, section.name.clone());
            if let Some(other) = owner.filter(|other| *other != section.name) {
                let reason = format!("a key here belongs to account `{other}` already");
                self.report(
                    section,
                    "key_hashes",
                    reason,
                    "make a key of its own for each account",
                );
            }
        }
        let priorities = names(section, "priorities")?;
        self.check_references(section, "priorities", SectionKind::Priority, priorities);
        let account = Account {
            name: section.name.clone(),
            key_hashes: key_hashes.clone(),
            priorities: priorities.iter().map(|n| self.names.priorities.intern(n)).collect(),
            weight: number(section, "weight")? as u32,
            tokens_per_s_limit: number(section, "tokens_limit")?,
            requests_limit: number(section, "requests_limit")? as u32,
            connections_limit: number(section, "connections_limit")? as u32,
        };
        let id = self.names.accounts.intern(&section.name);
        self.state.accounts.insert(id, Arc::new(account));
        Some(())
    }

    fn add_upstream(&mut self, section: &Section) -> Option<()> {
        let kind = upstream_kind(section)?;
        let Value::Address(address) = *value(section, "address")? else { return None };
        if let Some(other) = self.address_owners.insert(address, section.name.clone()) {
            let reason = format!("{address} belongs to upstream `{other}` already");
            self.report(section, "address", reason, "give each upstream an address of its own");
        }
        self.check_engine_keys(section, kind);
        let model = text(section, "model");
        let upstream = Upstream {
            name: section.name.clone(),
            kind,
            address,
            domain: self.names.domains.intern(text(section, "failure_domain")?),
            model: model.map(|name| self.names.models.intern(name)),
            fencing: match text(section, "fencing")? {
                "checked" => Fencing::Checked,
                _ => Fencing::Ignored,
            },
            requests_limit: number(section, "requests_limit")? as u32,
            drained: *value(section, "drained")? == Value::Flag(true),
        };
        let id = self.names.upstreams.intern(&section.name);
        self.state.upstreams.insert(id, upstream);
        if let Some(role) = text(section, "role") {
            self.state.engine_roles.insert(id, role.to_owned());
        }
        Some(())
    }

    fn check_engine_keys(&mut self, section: &Section, kind: UpstreamKind) {
        let model = text(section, "model");
        if kind == UpstreamKind::Engine {
            match model {
                Some(name) => {
                    let names = [name.to_owned()];
                    self.check_references(section, "model", SectionKind::Model, &names);
                }
                None if section.get("model").is_none() => {
                    let reason = "an engine needs a model".to_owned();
                    self.report(section, "model", reason, "add a line `model = NAME`");
                }
                None => {}
            }
            return;
        }
        for key in ["model", "role"] {
            if section.get(key).is_some() {
                let reason = "only an engine has this key".to_owned();
                self.report(section, key, reason, "remove it, or write `kind = engine`");
            }
        }
    }

    fn add_service(&mut self, section: &Section) -> Option<()> {
        let upstreams = names(section, "upstreams")?;
        self.check_references(section, "upstreams", SectionKind::Upstream, upstreams);
        for name in upstreams {
            let kind = self.upstream_kinds.get(name.as_str());
            if kind.is_some_and(|kind| *kind != UpstreamKind::Service) {
                let reason = format!("upstream `{name}` is not of kind service");
                self.report(section, "upstreams", reason, "name upstreams with `kind = service`");
            }
        }
        let unrepeatable = match value(section, "unrepeatable") {
            Some(Value::Calls(calls)) => calls.clone(),
            _ => Vec::new(),
        };
        let service = Service {
            name: section.name.clone(),
            upstreams: upstreams.iter().map(|n| self.names.upstreams.intern(n)).collect(),
            unrepeatable,
            retained_window_s: whole_seconds(number(section, "retained_window")?),
            in_flight_limit: number(section, "in_flight_limit")? as u32,
            timeout_ms: number(section, "timeout")? as u32,
        };
        let id = self.names.services.intern(&section.name);
        self.state.services.insert(id, service);
        Some(())
    }

    fn check_references(
        &mut self,
        section: &Section,
        key: &str,
        kind: SectionKind,
        names: &[String],
    ) {
        for name in names {
            if self.defined.contains(&(kind, name.as_str())) {
                continue;
            }
            let keyword = kind.spec().keyword;
            let reason = format!("no section [{keyword} {name}] exists");
            let known = self.defined.iter().filter(|(k, _)| *k == kind);
            let mut known: Vec<&str> = known.map(|(_, name)| *name).collect();
            known.sort_unstable();
            let hint = match closest(name, &known) {
                Some(candidate) => format!("write `{candidate}`, or add the section"),
                None => "add the section, or remove the name".to_owned(),
            };
            self.report(section, key, reason, &hint);
        }
    }

    fn report(&mut self, section: &Section, key: &str, reason: String, hint: &str) {
        let line = section.get(key).map_or(section.line, |located| located.line);
        self.faults.push(Fault {
            file: self.sources[section.file].name.clone(),
            line,
            subject: format!("{} {key}", section.header()),
            reason,
            hint: hint.to_owned(),
        });
    }
}

/// Rounds up, so that a window is never shorter than configured.
fn whole_seconds(ms: u64) -> u32 {
    ms.div_ceil(1_000) as u32
}

fn value<'s>(section: &'s Section, key: &str) -> Option<&'s Value> {
    section.get(key).map(|Located { value, .. }| value)
}

fn number(section: &Section, key: &str) -> Option<u64> {
    match value(section, key)? {
        Value::Number(number) => Some(*number),
        _ => None,
    }
}

fn text<'s>(section: &'s Section, key: &str) -> Option<&'s str> {
    match value(section, key)? {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn names<'s>(section: &'s Section, key: &str) -> Option<&'s [String]> {
    match value(section, key)? {
        Value::Names(names) => Some(names),
        _ => None,
    }
}

fn upstream_kind(section: &Section) -> Option<UpstreamKind> {
    match text(section, "kind")? {
        "engine" => Some(UpstreamKind::Engine),
        "cache_store" => Some(UpstreamKind::CacheStore),
        _ => Some(UpstreamKind::Service),
    }
}
