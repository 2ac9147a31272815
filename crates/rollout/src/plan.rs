//! Planning of the loads that continue, the loads that start, and the roles to assign.
//!
//! The plan is a pure function of the desired state, the engine reports and the record.

use std::collections::HashMap;

use crate::EngineReport;
use crate::EngineReports;
use crate::LoadEntry;
use crate::RoleEntry;
use crate::RolloutRecord;
use redwingrill_config::DesiredState;
use redwingrill_config::Model;
use redwingrill_config::Upstream;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::DomainId;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// For each engine, the time until which it gets no new command, in milliseconds of the caller's
/// clock.
pub type Backoffs = EntityMap<UpstreamId, u64>;

/// The loads and roles of the next record.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Plan {
    /// The loads that continue or start.
    pub loads: Vec<LoadEntry>,
    /// The roles that engines have accepted or are to be assigned.
    pub roles: Vec<RoleEntry>,
}

/// One engine of the desired state with its latest report.
#[derive(Clone, Copy, Debug)]
struct Engine<'a> {
    id: UpstreamId,
    upstream: &'a Upstream,
    report: &'a EngineReport,
    model_id: ModelId,
    model: &'a Model,
}

impl Engine<'_> {
    fn is_current(&self) -> bool {
        self.report.serves(&self.model.weights_version)
    }

    fn entry(&self) -> LoadEntry {
        LoadEntry {
            engine: self.upstream.name.clone(),
            incarnation: self.report.start.incarnation.0,
            model: self.model.name.clone(),
            weights_version: self.model.weights_version.clone(),
        }
    }
}

/// Plans the next step. Loads of the engines in `expired` are dropped. Engines whose backoff has
/// not expired at `now_ms` start no load.
pub fn plan(
    state: &DesiredState,
    reports: &EngineReports,
    record: &RolloutRecord,
    expired: &[String],
    backoffs: &Backoffs,
    now_ms: u64,
) -> Plan {
    let engines = reporting_engines(state, reports);
    let active = record.loads.iter().filter(|load| !expired.contains(&load.engine));
    let mut loads: Vec<LoadEntry> =
        active.filter_map(|load| continue_load(load, &engines)).collect();
    let is_available =
        |engine: &&Engine<'_>| backoffs.get(engine.id).is_none_or(|until| *until <= now_ms);
    let mut candidates: Vec<&Engine<'_>> = engines
        .iter()
        .filter(is_available)
        .filter(|engine| !engine.is_current() && !engine.report.leaving)
        .filter(|engine| !loads.iter().any(|load| load.engine == engine.upstream.name))
        .collect();
    // Drained engines first, as they serve no requests; then the engines with the fewest running
    // requests, as their capacity is missed least.
    candidates.sort_by_key(|engine| (!engine.upstream.drained, engine.report.running, engine.id));
    let mut counts = LoadCounts::new(&engines, &loads);
    while let Some(index) = counts.choose_next(&candidates) {
        let engine = candidates.remove(index);
        counts.start_load(engine);
        loads.push(engine.entry());
    }
    Plan { loads, roles: plan_roles(state, &engines, record) }
}

/// Returns whether all engines that report have the desired weights and roles.
pub fn is_complete(state: &DesiredState, reports: &EngineReports, record: &RolloutRecord) -> bool {
    let engines = reporting_engines(state, reports);
    let current = engines.iter().all(|engine| engine.is_current() || engine.report.leaving);
    let accepted = record.roles.iter().all(|role| role.accepted);
    current
        && accepted
        && record.loads.is_empty()
        && plan_roles(state, &engines, record) == record.roles
}

fn reporting_engines<'a>(state: &'a DesiredState, reports: &'a EngineReports) -> Vec<Engine<'a>> {
    let engines = state.upstreams.iter().filter(|(_, u)| u.kind == UpstreamKind::Engine);
    let reporting = engines.filter_map(|(id, upstream)| {
        let model_id = upstream.model?;
        let (report, model) = (reports.get(id)?, state.models.get(model_id)?);
        Some(Engine { id, upstream, report, model_id, model })
    });
    reporting.collect()
}

/// Returns the entry of a load that continues, or `None` if its engine serves the weights.
fn continue_load(load: &LoadEntry, engines: &[Engine<'_>]) -> Option<LoadEntry> {
    let Some(engine) = engines.iter().find(|engine| engine.upstream.name == load.engine) else {
        // An engine that does not report may still be loading. The load ends when it times out.
        return Some(load.clone());
    };
    if engine.report.start.incarnation.0 != load.incarnation {
        // The command may have reached the new incarnation, so the load stays in the record and
        // its command is sent again.
        return (!engine.is_current()).then(|| engine.entry());
    }
    (!engine.report.serves(&load.weights_version)).then(|| load.clone())
}

/// Returns the roles that the current incarnations have accepted and those still to be assigned.
fn plan_roles(
    state: &DesiredState,
    engines: &[Engine<'_>],
    record: &RolloutRecord,
) -> Vec<RoleEntry> {
    let mut entries: Vec<RoleEntry> = Vec::new();
    for engine in engines {
        let Some(role) = state.engine_roles.get(engine.id) else { continue };
        if engine.report.leaving {
            continue;
        }
        let name = &engine.upstream.name;
        let existing = record.role_of(name);
        let is_same =
            |e: &&RoleEntry| e.role == *role && e.incarnation == engine.report.start.incarnation.0;
        entries.push(existing.filter(is_same).cloned().unwrap_or_else(|| RoleEntry {
            engine: name.clone(),
            incarnation: engine.report.start.incarnation.0,
            role: role.clone(),
            accepted: false,
        }));
    }
    // An engine that does not report at the moment keeps its entry.
    let is_reporting = |name: &str| engines.iter().any(|engine| engine.upstream.name == name);
    entries.extend(record.roles.iter().filter(|role| !is_reporting(&role.engine)).cloned());
    entries.sort_by(|a, b| a.engine.cmp(&b.engine));
    entries
}

/// The number of engines that load, by model and by failure domain, and that serve, by model.
struct LoadCounts {
    loading: HashMap<ModelId, usize>,
    serving: HashMap<ModelId, usize>,
    by_domain: HashMap<DomainId, usize>,
}

impl LoadCounts {
    fn new(engines: &[Engine<'_>], loads: &[LoadEntry]) -> Self {
        let mut counts =
            Self { loading: HashMap::new(), serving: HashMap::new(), by_domain: HashMap::new() };
        for engine in engines {
            let load = loads.iter().find(|load| load.engine == engine.upstream.name);
            if load.is_some() {
                *counts.loading.entry(engine.model_id).or_default() += 1;
                *counts.by_domain.entry(engine.upstream.domain).or_default() += 1;
            } else if !engine.report.leaving && engine.report.serves_any() {
                *counts.serving.entry(engine.model_id).or_default() += 1;
            }
        }
        // Loads of engines that do not report count against the limit, too.
        for load in loads {
            let not_reporting = !engines.iter().any(|engine| engine.upstream.name == load.engine);
            let model = engines.iter().find(|engine| engine.model.name == load.model);
            if let Some(model) = model.filter(|_| not_reporting) {
                *counts.loading.entry(model.model_id).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the index of the candidate to load next: the first allowed one in the failure domain
    /// with the fewest loads.
    fn choose_next(&self, candidates: &[&Engine<'_>]) -> Option<usize> {
        let allowed = candidates.iter().enumerate().filter(|(_, engine)| self.allows(engine));
        let by_domain = |engine: &Engine<'_>| self.by_domain.get(&engine.upstream.domain).copied();
        allowed.min_by_key(|(index, engine)| (by_domain(engine), *index)).map(|(index, _)| index)
    }

    fn allows(&self, engine: &Engine<'_>) -> bool {
        let loading = self.loading.get(&engine.model_id).copied().unwrap_or(0);
        if loading >= engine.model.parallel_loads_limit as usize {
            return false;
        }
        // The last engine that serves a model may load only while no other engine of it loads.
        let serving = self.serving.get(&engine.model_id).copied().unwrap_or(0);
        let serves = engine.report.serves_any();
        !serves || serving > 1 || loading == 0
    }

    fn start_load(&mut self, engine: &Engine<'_>) {
        *self.loading.entry(engine.model_id).or_default() += 1;
        *self.by_domain.entry(engine.upstream.domain).or_default() += 1;
        if engine.report.serves_any()
            && let Some(serving) = self.serving.get_mut(&engine.model_id)
        {
            *serving = serving.saturating_sub(1);
        }
    }
}
