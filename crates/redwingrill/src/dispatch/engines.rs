//! What this node allows each engine.

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

/// How far above its limit an engine may go for a prompt that it holds, as a share of the limit.
const CROWDING_BOUND: f64 = 1.0;

/// Smaller limits do not make a single request above them weigh more.
const SMALL_LIMIT: f64 = 1.0;

/// How long an engine that refused new work gets none.
const REFUSED_PAUSE_MS: u64 = 500;

/// Who says that an engine is leaving. Each source speaks for itself only: a report without the
/// word takes nothing back that the operator or the list said.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(super) struct Leaving {
    /// The operator drains it, or the configuration no longer has it.
    pub(super) configured: bool,
    /// The platform's instance list.
    pub(super) listed: bool,
    /// The engine itself.
    pub(super) reported: bool,
}

impl Leaving {
    /// Returns whether any source says so.
    pub(super) fn any(self) -> bool {
        self.configured || self.listed || self.reported
    }
}

/// One engine as this node uses it.
#[derive(Clone, Debug)]
pub(super) struct EngineSlot {
    pub(super) model: ModelId,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: EngineHealth,
    pub(super) in_flight: u32,
    pub(super) leaving: Leaving,
    has_waiting: bool,
    // Requests of all nodes, by the last report.
    reported: u32,
    fixed_limit: u32,
    refused_until_ms: u64,
    // The limit in force until the next refresh; zero closes the engine.
    open_limit: f64,
}

impl EngineSlot {
    fn refresh(&mut self, now_ms: u64) {
        let share = self.health.limit_share(now_ms);
        let is_full = self.fixed_limit > 0 && self.reported >= self.fixed_limit;
        let is_paused = now_ms < self.refused_until_ms;
        let is_closed = self.leaving.any() || share <= 0.0 || is_paused || is_full;
        let mut limit = self.limit.get() * share;
        if self.fixed_limit > 0 {
            limit = limit.min(f64::from(self.fixed_limit));
        }
        self.open_limit = if is_closed { 0.0 } else { limit };
    }

    /// Returns the limit in force; zero while the engine is closed.
    pub(super) fn open_limit(&self) -> f64 {
        self.open_limit
    }

    fn crowding(&self, usable_share: f64) -> Option<f64> {
        let limit = self.open_limit * usable_share;
        if limit <= 0.0 {
            return None;
        }
        let excess = f64::from(self.in_flight + 1) - limit;
        let crowding = (excess / limit.max(SMALL_LIMIT)).max(0.0);
        let is_open = crowding <= CROWDING_BOUND || self.in_flight == 0;
        is_open.then_some(crowding)
    }
}

/// All engines that the configuration names.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSlots {
    slots: EntityMap<UpstreamId, EngineSlot>,
}

impl EngineSlots {
    /// Takes over a configuration. What is known of engines that stay is kept.
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

    /// Takes over the upstreams that the platform lists as leaving.
    pub(super) fn list_leaving(&mut self, listed: &[UpstreamId]) {
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

    /// Brings the limits in force up to date.
    pub(super) fn refresh(&mut self, now_ms: u64) {
        self.slots.iter_mut().for_each(|(_, slot)| slot.refresh(now_ms));
    }

    /// Returns the requests that the engines of a model may have at once.
    pub(super) fn places(&self, model: ModelId) -> u32 {
        let slots = self.slots.values().filter(|slot| slot.model == model);
        let limit: f64 = slots.map(EngineSlot::open_limit).sum();
        // A fleet with any open engine starts something.
        if limit > 0.0 { limit.max(1.0) as u32 } else { 0 }
    }

    /// Returns whether any engine of a model may take a request.
    pub(super) fn any_open(&self, model: ModelId) -> bool {
        let mut slots = self.slots.values().filter(|slot| slot.model == model);
        slots.any(|slot| slot.crowding(1.0).is_some())
    }

    /// Returns whether a model has an engine at all.
    pub(super) fn serves(&self, model: ModelId) -> bool {
        self.slots.values().any(|slot| slot.model == model && !slot.leaving.any())
    }

    pub(super) fn sent(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.in_flight += 1;
            slot.limit.record_in_flight(slot.in_flight);
        }
    }

    pub(super) fn ended(&mut self, upstream: UpstreamId) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.in_flight = slot.in_flight.saturating_sub(1);
        }
    }

    /// Takes in a fault of a leg. Returns whether the engine is ejected by it.
    pub(super) fn failed(&mut self, upstream: UpstreamId, fault: Fault, now_ms: u64) -> bool {
        let Some(slot) = self.slots.get_mut(upstream) else { return false };
        if fault == Fault::Refused {
            // It is leaving or loads weights; that is no fault of its own.
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

    /// Takes in a first token. Returns whether the engine's limit grew by it.
    pub(super) fn first_token(&mut self, upstream: UpstreamId, is_late: bool, now_ms: u64) -> bool {
        let Some(slot) = self.slots.get_mut(upstream) else { return false };
        slot.health.record_success(now_ms);
        match (is_late, slot.has_waiting) {
            (true, true) => slot.limit.observe(Pressure::Late, now_ms),
            // Engines whose reports are missing are judged by their first tokens alone.
            (false, false) => slot.limit.observe(Pressure::Free, now_ms),
            // One that is late though nothing waits is not mended by fewer requests.
            _ => {}
        }
        if is_late || !slot.limit.record_timely_first_token(slot.in_flight) {
            return false;
        }
        slot.refresh(now_ms);
        true
    }

    /// Takes in a load report.
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

    /// Begins the slow return of an engine that came back empty.
    pub(super) fn restarted(&mut self, upstream: UpstreamId, now_ms: u64) {
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
        }
    }
}

/// Lets a request through to engines with room for its priority.
pub(super) struct ShareGate<'a> {
    pub(super) engines: &'a EngineSlots,
    /// The share of each engine's limit that the priority may use.
    pub(super) usable_share: f64,
}

impl Availability for ShareGate<'_> {
    fn overload(&self, upstream: UpstreamId) -> Option<f64> {
        self.engines.slots.get(upstream)?.crowding(self.usable_share)
    }
}

fn is_usable(upstream: &Upstream) -> bool {
    upstream.kind == UpstreamKind::Engine && !upstream.drained
}

/// Lets a replaced request through wherever it is not closed, since it holds a place already.
pub(super) struct OpenGate<'a>(pub(super) &'a EngineSlots);

impl Availability for OpenGate<'_> {
    fn overload(&self, upstream: UpstreamId) -> Option<f64> {
        let slot = self.0.slots.get(upstream)?;
        (slot.open_limit > 0.0).then(|| f64::from(slot.in_flight) / slot.open_limit)
    }
}
