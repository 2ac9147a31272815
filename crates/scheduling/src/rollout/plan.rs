//! The engines that are next to take new weights.
//!
//! Answers this load: several versions are named while callers press, orders get lost or are
//! carried out late, and engines come and go. Only a part of the engines loads at any time, since
//! each serves nothing meanwhile and many loads at once slow each other down.
//!
//! Invariant: an engine has at most one order under way from this plan, and is not ordered to a
//! version that it holds or that a newer one overtook.

use std::collections::HashMap;

use redwingrill_routing::WeightsVersion;

/// The part of the engines that loads at the same time: one in this many, rounded down. More would
/// share the rate of the weights' store, and be away longer; from the sites' sheets (3 of 18, 2 of
/// 12, 17 of 89).
const ENGINES_PER_CONCURRENT_LOAD: usize = 5;

/// How long after an order the engine is taken to have missed it.
const COMMAND_TIMEOUT_MS: u64 = 9_000;

/// The pause before an engine is asked again that was busy or could not be reached.
const RETRY_MS: u64 = 600;

/// An engine as the roll-out sees it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineWeights {
    /// The identity.
    pub upstream_id: String,
    /// The version that it holds.
    pub loaded_version: WeightsVersion,
    /// Requests at it as far as known; idle engines go first.
    pub load: u32,
}

/// What became of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandResult {
    /// The engine loads, or may load.
    InProgress,
    /// The engine holds the version.
    AlreadyLoaded,
    /// The engine is to be asked again later.
    RetryLater,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    InProgress { version: WeightsVersion, since_ms: u64 },
    Pausing { until_ms: u64 },
}

/// The orders of one model.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    commands: HashMap<String, Command>,
    reported: HashMap<String, WeightsVersion>,
}

impl LoadPlan {
    /// Returns whether any engine lacks the version.
    pub fn has_work(&self, engines: &[EngineWeights], target: WeightsVersion) -> bool {
        engines.iter().any(|engine| self.loaded_version(engine) < target)
    }

    /// Returns the engines that are to be ordered now, and those whose order is under way.
    pub fn next(
        &mut self,
        engines: &[EngineWeights],
        target: WeightsVersion,
        now_ms: u64,
    ) -> (Vec<String>, Vec<String>) {
        self.commands.retain(|id, _| engines.iter().any(|engine| engine.upstream_id == *id));
        let mut candidates = Vec::new();
        let mut in_progress = Vec::new();
        for engine in engines {
            let id = &engine.upstream_id;
            if self.loaded_version(engine) >= target {
                self.commands.remove(id);
                continue;
            }
            match self.commands.get(id) {
                // An engine that loads an older version refuses other orders until it is done.
                Some(Command::InProgress { version, since_ms })
                    if engine.loaded_version < *version
                        && now_ms.saturating_sub(*since_ms) < COMMAND_TIMEOUT_MS =>
                {
                    in_progress.push(id.clone());
                }
                Some(Command::Pausing { until_ms }) if now_ms < *until_ms => {}
                _ => candidates.push(engine),
            }
        }
        let limit = (engines.len() / ENGINES_PER_CONCURRENT_LOAD).max(1);
        let free_loads = limit.saturating_sub(in_progress.len());
        // The oldest weights are the first that may no longer answer.
        candidates.sort_by_key(|engine| (engine.loaded_version, engine.load));
        let next = candidates.into_iter().take(free_loads).map(|engine| engine.upstream_id.clone());
        (next.collect(), in_progress)
    }

    /// Takes in what became of an order.
    pub fn record_result(
        &mut self,
        id: &str,
        version: WeightsVersion,
        result: CommandResult,
        now_ms: u64,
    ) {
        let command = match result {
            CommandResult::InProgress => Command::InProgress { version, since_ms: now_ms },
            CommandResult::RetryLater => Command::Pausing { until_ms: now_ms + RETRY_MS },
            CommandResult::AlreadyLoaded => {
                self.reported.insert(id.to_owned(), version);
                self.commands.remove(id);
                return;
            }
        };
        self.commands.insert(id.to_owned(), command);
    }

    fn loaded_version(&self, engine: &EngineWeights) -> WeightsVersion {
        let reported = self.reported.get(&engine.upstream_id).copied().unwrap_or_default();
        engine.loaded_version.max(reported)
    }
}
