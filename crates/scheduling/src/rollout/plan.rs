//! The plan of which engines load new weights next.
//!
//! Several versions may be published under load, commands may get lost or be carried out late, and
//! engines join and leave. Only some of the engines load at any time, because an engine serves
//! nothing while it loads, and many concurrent loads slow each other down.
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

/// An engine as seen by the roll-out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineWeights {
    /// The identity.
    pub upstream_id: String,
    /// The version that it holds.
    pub loaded_version: WeightsVersion,
    /// Its known requests; idle engines load first.
    pub load: u32,
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
    Pausing { until_ms: u64 },
}

/// The commands for one model.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    commands: HashMap<String, Command>,
    reported: HashMap<String, WeightsVersion>,
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
        for engine in engines {
            let id = &engine.upstream_id;
            if self.loaded_version(engine) >= target {
                self.commands.remove(id);
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
                }
                Some(Command::Pausing { until_ms }) if now_ms < *until_ms => {}
                _ => candidates.push(engine),
            }
        }
        let limit = (engines.len() / ENGINES_PER_CONCURRENT_LOAD).max(1);
        let free_loads = limit.saturating_sub(in_progress.len());
        // Engines with the oldest weights go first, because their version expires first.
        candidates.sort_by_key(|engine| (engine.loaded_version, engine.load));
        let next = candidates.into_iter().take(free_loads).map(|engine| engine.upstream_id.clone());
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
