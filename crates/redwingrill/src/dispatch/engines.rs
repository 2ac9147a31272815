//! Concurrency limits and health of each engine, as seen by this node.

use redwingrill_admission::engines::ConcurrencyLimit;
use redwingrill_admission::engines::EngineHealth;
use redwingrill_admission::engines::Pressure;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::placer::Availability;
use redwingrill_stream::Fault;

/// How far an engine may exceed its limit for a prompt that it has cached, as a share of the limit.
const MAX_OVERLOAD: f64 = 1.0;

/// The lower bound of the divisor in the overload ratio, so that one request above a limit below
/// one does not count as a large overload.
const MIN_OVERLOAD_DIVISOR: f64 = 1.0;

/// How long no requests are sent to an engine that refused one.
const REFUSED_PAUSE_MS: u64 = 500;

/// The sources that mark an engine as leaving. Each source sets its own flag only: a load report
/// without the flag does not clear the flag of the operator or of the instance list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(super) struct Leaving {
    /// The operator drains it, or the configuration no longer contains it.
    pub(super) configured: bool,
    /// The platform's instance list marks it as leaving.
    pub(super) listed: bool,
    /// The engine itself reports it.
    pub(super) reported: bool,
}

impl Leaving {
    /// Returns whether any source marks the engine as leaving.
    pub(super) fn any(self) -> bool {
        self.configured || self.listed || self.reported
    }
}

/// Why an engine gets no requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EngineClosure {
    /// It leaves.
    Leaving,
    /// It failed too often.
    Health,
    /// It refused a request a moment ago.
    Refused,
    /// It reports as many requests as it may have.
    Full,
}

/// The state of one engine at this node.
#[derive(Clone, Debug)]
pub(super) struct EngineSlot {
    pub(super) model: ModelId,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: EngineHealth,
    pub(super) in_flight: u32,
    pub(super) leaving: Leaving,
    has_waiting: bool,
    // Requests of all nodes, from the last load report.
    reported: u32,
    fixed_limit: u32,
    refused_until_ms: u64,
    // The limit in force until the next refresh; zero closes the engine.
    open_limit: f64,
    closure: Option<EngineClosure>,
}

impl EngineSlot {
    /// Returns why the engine gets no requests, as of the last refresh; `None` if it may.
    pub(super) fn closure(&self) -> Option<EngineClosure> {
        self.closure
    }

    fn refresh(&mut self, now_ms: u64) {
        let share = self.health.limit_share(now_ms);
        self.closure = if self.leaving.any() {
            Some(EngineClosure::Leaving)
        } else if share <= 0.0 {
            Some(EngineClosure::Health)
        } else if now_ms < self.refused_until_ms {
            Some(EngineClosure::Refused)
        } else if self.fixed_limit > 0 && self.reported >= self.fixed_limit {
            Some(EngineClosure::Full)
        } else {
            None
        };
        let mut limit = self.limit.get() * share;
        if self.fixed_limit > 0 {
            limit = limit.min(f64::from(self.fixed_limit));
        }
        self.open_limit = if self.closure.is_some() { 0.0 } else { limit };
    }

    /// Returns the limit in force; zero while the engine is closed.
    pub(super) fn open_limit(&self) -> f64 {
        self.open_limit
    }

    fn overload(&self, usable_share: f64) -> Option<f64> {
        let limit = self.open_limit * usable_share;
        if limit <= 0.0 {
            return None;
        }
        let excess = f64::from(self.in_flight + 1) - limit;
        let overload = (excess / limit.max(MIN_OVERLOAD_DIVISOR)).max(0.0);
        let is_open = overload <= MAX_OVERLOAD || self.in_flight == 0;
        is_open.then_some(overload)
    }
}

/// All configured engines, and removed ones with requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSlots {
    slots: EntityMap<UpstreamId, EngineSlot>,
}

impl EngineSlots {
    /// Applies a configuration. The state of engines that remain is kept.
    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        let upstreams = &snapshot.state.upstreams;
        self.slots.retain(|id, slot| slot.in_flight > 0 || upstreams.contains(id));
        for (id, slot) in self.slots.iter_mut() {
            slot.leaving.configured = !upstreams.get(id).is_some_and(is_usable);
        }
        for (id, upstream) in upstreams.iter().filter(|(_, upstream)| is_usable(upstream)) {
            let Some(model) = upstream.model else { continue };
            let slot = self.slots.get_or_insert_with(id, || EngineSlot::new(model));
            slot.model = model;
            slot.fixed_limit = upstream.requests_limit;
        }
    }

    /// Sets the upstreams that the platform's instance list marks as leaving.
    pub(super) fn set_listed_leaving(&mut self, listed: &[UpstreamId]) {
        for (id, slot) in self.slots.iter_mut() {
            slot.leaving.listed = listed.contains(&id);
        }
    }

    pub(super) fn get(&self, upstream: UpstreamId) -> Option<&EngineSlot> {
        self.slots.get(upstream)
    }

    pub(super) fn get_mut(&mut self, upstream: UpstreamId) -> Option<&mut EngineSlot> {
        self.slots.get_mut(upstream)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (UpstreamId, &EngineSlot)> {
        self.slots.iter()
    }

    /// Recomputes the limits in force.
    pub(super) fn refresh(&mut self, now_ms: u64) {
        self.slots.iter_mut().for_each(|(_, slot)| slot.refresh(now_ms));
    }

    /// Returns the number of concurrent requests that the engines of a model may have.
    pub(super) fn capacity(&self, model: ModelId) -> u32 {
        let slots = self.slots.values().filter(|slot| slot.model == model);
        let limit: f64 = slots.map(EngineSlot::open_limit).sum();
        // At least one request may start while any engine is open.
        if limit > 0.0 { limit.max(1.0) as u32 } else { 0 }
    }

    /// Returns whether any engine of a model accepts another request.
    pub(super) fn any_open(&self, model: ModelId) -> bool {
        let mut slots = self.slots.values().filter(|slot| slot.model == model);
        slots.any(|slot| slot.overload(1.0).is_some())
    }

    /// Returns whether a model has an engine that is not leaving.
    pub(super) fn serves(&self, model: ModelId) -> bool {
        self.slots.values().any(|slot| slot.model == model && !slot.leaving.any())
    }

    pub(super) fn record_sent(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.in_flight += 1;
            slot.limit.record_in_flight(slot.in_flight);
        }
    }

    pub(super) fn record_ended(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.in_flight = slot.in_flight.saturating_sub(1);
        }
    }

    /// Records a fault of an attempt. Returns whether it ejects the engine.
    pub(super) fn record_fault(&mut self, upstream: UpstreamId, fault: Fault, now_ms: u64) -> bool {
        let Some(slot) = self.slots.get_mut(upstream) else { return false };
        if fault == Fault::Refused {
            // The engine is leaving or loads weights; its health is not affected.
            slot.refused_until_ms = now_ms + REFUSED_PAUSE_MS;
            slot.refresh(now_ms);
            return false;
        }
        let ejected = match fault {
            Fault::Unreachable => slot.health.record_unreachable(now_ms),
            _ => slot.health.record_failure(now_ms),
        };
        slot.refresh(now_ms);
        ejected
    }

    /// Records a first token. Returns whether it raised the engine's limit.
    pub(super) fn record_first_token(
        &mut self,
        upstream: UpstreamId,
        is_late: bool,
        now_ms: u64,
    ) -> bool {
        let Some(slot) = self.slots.get_mut(upstream) else { return false };
        slot.health.record_success(now_ms);
        match (is_late, slot.has_waiting) {
            (true, true) => slot.limit.observe(Pressure::Late, now_ms),
            // Without load reports, the limit follows the first tokens alone.
            (false, false) => slot.limit.observe(Pressure::Free, now_ms),
            // Late although no request waits at the engine: a lower limit would not help.
            _ => {}
        }
        if is_late || !slot.limit.record_timely_first_token(slot.in_flight) {
            return false;
        }
        slot.refresh(now_ms);
        true
    }

    /// Applies a load report.
    pub(super) fn observe(
        &mut self,
        upstream: UpstreamId,
        running: u32,
        waiting: u32,
        now_ms: u64,
    ) {
        let Some(slot) = self.slots.get_mut(upstream) else { return };
        slot.has_waiting = waiting > 0;
        slot.reported = running + waiting;
        slot.limit.observe(Pressure::from_report(running, waiting), now_ms);
        slot.refresh(now_ms);
    }

    /// Begins slow start of an engine that restarted with an empty cache.
    pub(super) fn record_restart(&mut self, upstream: UpstreamId, now_ms: u64) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.health.record_restart(now_ms);
            slot.limit.reset(now_ms);
            slot.refresh(now_ms);
        }
    }
}

impl EngineSlot {
    fn new(model: ModelId) -> Self {
        let limit = ConcurrencyLimit::default();
        Self {
            model,
            open_limit: limit.get(),
            limit,
            health: EngineHealth::default(),
            in_flight: 0,
            leaving: Leaving::default(),
            has_waiting: false,
            reported: 0,
            fixed_limit: 0,
            refused_until_ms: 0,
            closure: None,
        }
    }
}

/// The availability of engines within the share of their limits that a priority may use.
pub(super) struct ShareAvailability<'a> {
    pub(super) engines: &'a EngineSlots,
    /// The share of each engine's limit that the priority may use.
    pub(super) usable_share: f64,
}

impl Availability for ShareAvailability<'_> {
    fn overload(&self, upstream: UpstreamId) -> Option<f64> {
        self.engines.slots.get(upstream)?.overload(self.usable_share)
    }
}

fn is_usable(upstream: &Upstream) -> bool {
    upstream.kind == UpstreamKind::Engine && !upstream.drained
}

/// The availability of all engines that are not closed. Used for retried requests, which are
/// admitted already.
pub(super) struct OpenAvailability<'a>(pub(super) &'a EngineSlots);

impl Availability for OpenAvailability<'_> {
    fn overload(&self, upstream: UpstreamId) -> Option<f64> {
        let slot = self.0.slots.get(upstream)?;
        (slot.open_limit > 0.0).then(|| f64::from(slot.in_flight) / slot.open_limit)
    }
}
