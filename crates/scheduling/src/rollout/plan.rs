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
const ENGINES_PER_LOAD: usize = 5;

/// How long after an order the engine is taken to have missed it.
const ORDER_LOST_MS: u64 = 9_000;

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
enum Order {
    InProgress { version: WeightsVersion, since_ms: u64 },
    Pausing { until_ms: u64 },
}

/// The orders of one model.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    orders: HashMap<String, Order>,
    told: HashMap<String, WeightsVersion>,
}

impl LoadPlan {
    /// Returns whether any engine lacks the version.
    pub fn has_work(&self, engines: &[EngineWeights], named: WeightsVersion) -> bool {
        engines.iter().any(|engine| self.loaded_version(engine) < named)
    }

    /// Returns the engines that are to be ordered now, and those whose order is under way.
    pub fn next(
        &mut self,
        engines: &[EngineWeights],
        named: WeightsVersion,
        now_ms: u64,
    ) -> (Vec<String>, Vec<String>) {
        self.orders.retain(|id, _| engines.iter().any(|engine| engine.upstream_id == *id));
        let mut waiting = Vec::new();
        let mut under_way = Vec::new();
        for engine in engines {
            let id = &engine.upstream_id;
            if self.loaded_version(engine) >= named {
                self.orders.remove(id);
                continue;
            }
            match self.orders.get(id) {
                // An engine that loads an older version refuses other orders until it is done.
                Some(Order::InProgress { version, since_ms })
                    if engine.loaded_version < *version
                        && now_ms.saturating_sub(*since_ms) < ORDER_LOST_MS =>
                {
                    under_way.push(id.clone());
                }
                Some(Order::Pausing { until_ms }) if now_ms < *until_ms => {}
                _ => waiting.push(engine),
            }
        }
        let limit = (engines.len() / ENGINES_PER_LOAD).max(1);
        let room = limit.saturating_sub(under_way.len());
        // The oldest weights are the first that may no longer answer.
        waiting.sort_by_key(|engine| (engine.loaded_version, engine.load));
        let next = waiting.into_iter().take(room).map(|engine| engine.upstream_id.clone());
        (next.collect(), under_way)
    }

    /// Takes in what became of an order.
    pub fn record_result(
        &mut self,
        id: &str,
        version: WeightsVersion,
        result: CommandResult,
        now_ms: u64,
    ) {
        let order = match result {
            CommandResult::InProgress => Order::InProgress { version, since_ms: now_ms },
            CommandResult::RetryLater => Order::Pausing { until_ms: now_ms + RETRY_MS },
            CommandResult::AlreadyLoaded => {
                self.told.insert(id.to_owned(), version);
                self.orders.remove(id);
                return;
            }
        };
        self.orders.insert(id.to_owned(), order);
    }

    fn loaded_version(&self, engine: &EngineWeights) -> WeightsVersion {
        let told = self.told.get(&engine.upstream_id).copied().unwrap_or_default();
        engine.loaded_version.max(told)
    }
}
