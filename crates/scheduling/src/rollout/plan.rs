//! The plan of which engines load new weights next.
//!
//! Several versions may be published under load, commands may get lost or be carried out late, and
//! engines join and leave. Only some of the engines load at any time, because an engine serves
//! nothing while it loads, and many concurrent loads slow each other down. An engine that was
//! commanded finishes its requests first; while it does, its place among the loads is free for
//! another engine, if some engines would else not be loaded before their weights expire.
//!
//! Invariant: an engine has at most one command in progress from this plan, and gets no command for
//! a version that it holds or that is superseded.

use std::collections::HashMap;

use redwingrill_routing::WeightsVersion;

/// One in this many engines may load at the same time, rounded down. With more, the loads would
/// share the transfer rate of the weights' store and take longer; the deployments' data sheets
/// allow 3 of 18, 2 of 12 and 17 of 89.
const ENGINES_PER_CONCURRENT_LOAD: usize = 5;

/// How long after a command the engine is assumed to have missed it.
const COMMAND_TIMEOUT_MS: u64 = 9_000;

/// The delay before a command is repeated to an engine that was busy or unreachable.
const RETRY_MS: u64 = 600;

/// The time from a command to the new weights before any load was observed, and the weight of one
/// load in the average.
const PRIOR_LOAD_MS: f64 = 3_000.0;
const LOAD_WEIGHT: f64 = 0.2;

/// An engine as seen by the roll-out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineWeights {
    /// The identity.
    pub upstream_id: String,
    /// The version that it holds.
    pub loaded_version: WeightsVersion,
    /// Its known requests; idle engines load first. An engine that was commanded loads once it has
    /// none.
    pub load: u32,
    /// How long its weights may still be used, if a newer version supersedes them, in milliseconds.
    pub usable_ms: Option<u64>,
}

/// The result of a command.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandResult {
    /// The engine is loading, or may be loading.
    InProgress,
    /// The engine already holds the version.
    AlreadyLoaded,
    /// The command must be sent again later.
    RetryLater,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    InProgress { version: WeightsVersion, since_ms: u64 },
    Pausing { until_ms: u64, failures: u32 },
}

/// The commands for one model.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    commands: HashMap<String, Command>,
    reported: HashMap<String, WeightsVersion>,
    // The average time from a command to the new weights.
    load_ms: f64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self { commands: HashMap::new(), reported: HashMap::new(), load_ms: PRIOR_LOAD_MS }
    }
}

impl LoadPlan {
    /// Returns whether any engine lacks the target version.
    pub fn has_work(&self, engines: &[EngineWeights], target: WeightsVersion) -> bool {
        engines.iter().any(|engine| self.loaded_version(engine) < target)
    }

    /// Returns the engines to command now, and those with a command in progress.
    pub fn next(
        &mut self,
        engines: &[EngineWeights],
        target: WeightsVersion,
        now_ms: u64,
    ) -> (Vec<String>, Vec<String>) {
        self.commands.retain(|id, _| engines.iter().any(|engine| engine.upstream_id == *id));
        let mut candidates = Vec::new();
        let mut in_progress = Vec::new();
        let mut loading = 0;
        for engine in engines {
            let id = &engine.upstream_id;
            if self.loaded_version(engine) >= target {
                if let Some(Command::InProgress { since_ms, .. }) = self.commands.remove(id) {
                    let load_ms = now_ms.saturating_sub(since_ms) as f64;
                    self.load_ms += LOAD_WEIGHT * (load_ms - self.load_ms);
                }
                continue;
            }
            match self.commands.get(id) {
                // An engine that is loading an older version refuses other commands until it is
                // done.
                Some(Command::InProgress { version, since_ms })
                    if engine.loaded_version < *version
                        && now_ms.saturating_sub(*since_ms) < COMMAND_TIMEOUT_MS =>
                {
                    in_progress.push(id.clone());
                    loading += usize::from(engine.load == 0);
                }
                Some(Command::Pausing { until_ms, .. }) if now_ms < *until_ms => {}
                Some(Command::Pausing { failures, .. }) => candidates.push((*failures, engine)),
                _ => candidates.push((0, engine)),
            }
        }
        let limit = (engines.len() / ENGINES_PER_CONCURRENT_LOAD).max(1);
        let needed = self.needed_at_once(engines, target).min(engines.len() / 2);
        let out_of_service_limit = limit.max(needed);
        let free_loads = limit
            .saturating_sub(loading)
            .min(out_of_service_limit.saturating_sub(in_progress.len()));
        // Engines that do not respond go last: they would take the place of those that do. Then
        // engines with the oldest weights go first, because their version expires first.
        candidates
            .sort_by_key(|(failures, engine)| (*failures, engine.loaded_version, engine.load));
        let next = candidates.into_iter().take(free_loads);
        let next = next.map(|(_, engine)| engine.upstream_id.clone());
        (next.collect(), in_progress)
    }

    /// Records the result of a command.
    pub fn record_result(
        &mut self,
        id: &str,
        version: WeightsVersion,
        result: CommandResult,
        now_ms: u64,
    ) {
        let command = match result {
            CommandResult::InProgress => Command::InProgress { version, since_ms: now_ms },
            CommandResult::RetryLater => {
                let failures = match self.commands.get(id) {
                    Some(Command::Pausing { failures, .. }) => failures.saturating_add(1),
                    _ => 1,
                };
                Command::Pausing { until_ms: now_ms + RETRY_MS, failures }
            }
            CommandResult::AlreadyLoaded => {
                self.reported.insert(id.to_owned(), version);
                self.commands.remove(id);
                return;
            }
        };
        self.commands.insert(id.to_owned(), command);
    }

    /// Returns how many engines must be out of service at once, so that each is loaded while its
    /// older weights can still be used. An engine that is not loaded by then is as lost to the load
    /// as one that loads.
    fn needed_at_once(&self, engines: &[EngineWeights], target: WeightsVersion) -> usize {
        let superseded = engines.iter().filter(|engine| self.loaded_version(engine) < target);
        let mut usable_ms: Vec<u64> = superseded.filter_map(|engine| engine.usable_ms).collect();
        usable_ms.sort_unstable();
        let needed = usable_ms.iter().enumerate().map(|(earlier, usable_ms)| {
            let usable_ms = (*usable_ms as f64).max(self.load_ms);
            ((earlier + 1) as f64 * self.load_ms / usable_ms).ceil() as usize
        });
        needed.max().unwrap_or(0)
    }

    fn loaded_version(&self, engine: &EngineWeights) -> WeightsVersion {
        let reported = self.reported.get(&engine.upstream_id).copied().unwrap_or_default();
        engine.loaded_version.max(reported)
    }
}
