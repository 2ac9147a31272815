//! Simple ways to choose an engine, for comparison.

use rand::Rng;

use super::decision::Placer;
use super::types::Availability;
use super::types::Placement;
use super::types::PlacementRequest;
use crate::fleet::Engine;
use crate::fleet::EngineLoad;
use redwingrill_entity::UpstreamId;

impl Placer {
    pub(super) fn place_random(
        &self,
        request: &PlacementRequest<'_>,
        gate: &impl Availability,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let open: Vec<_> = self.open_engines(request, gate).collect();
        let index = rng.random_range(0..open.len().max(1));
        open.get(index).map(|engine| plain(engine.upstream))
    }

    pub(super) fn place_least_loaded(
        &self,
        request: &PlacementRequest<'_>,
        gate: &impl Availability,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let requests =
            |engine: &&Engine| self.loads.get(engine.upstream).map_or(0, EngineLoad::requests);
        let least = self.open_engines(request, gate).min_by_key(|engine| {
            // The random part breaks ties so that nodes do not all pick the same engine.
            (requests(engine), rng.random::<u32>())
        });
        least.map(|engine| plain(engine.upstream))
    }

    pub(super) fn place_by_affinity(
        &mut self,
        request: &PlacementRequest<'_>,
        gate: &impl Availability,
    ) -> Option<Placement> {
        let mut levels = request.prompt.levels().rev();
        let last = levels.next();
        let Some(level) = levels.next().or(last) else {
            return self.open_engines(request, gate).next().map(|engine| plain(engine.upstream));
        };
        let engines = self.fleet.of_model(request.model);
        self.order.begin(engines, level.hash, engines.len());
        let open = |engine: &&Engine| is_open(engine, request, gate);
        self.order.engines().find(open).map(|engine| plain(engine.upstream))
    }

    fn open_engines<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        gate: &'a impl Availability,
    ) -> impl Iterator<Item = &'a Engine> {
        let engines = self.fleet.of_model(request.model).iter();
        engines.filter(move |engine| is_open(engine, request, gate))
    }
}

fn is_open(engine: &Engine, request: &PlacementRequest<'_>, gate: &impl Availability) -> bool {
    !request.excluded.contains(&engine.upstream) && gate.overload(engine.upstream).is_some()
}

fn plain(upstream: UpstreamId) -> Placement {
    Placement {
        upstream,
        expected_cached_tokens: 0,
        known_tokens: 0,
        known_age_ms: 0,
        import_tokens: 0,
        sent_ms: 0,
    }
}
