//! Baseline placement policies, for comparison.

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
        availability: &impl Availability,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let available: Vec<_> = self.available_engines(request, availability).collect();
        let index = rng.random_range(0..available.len().max(1));
        available.get(index).map(|engine| placement_without_cache(engine.upstream))
    }

    pub(super) fn place_least_loaded(
        &self,
        request: &PlacementRequest<'_>,
        availability: &impl Availability,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let requests =
            |engine: &&Engine| self.loads.get(engine.upstream).map_or(0, EngineLoad::requests);
        let least = self.available_engines(request, availability).min_by_key(|engine| {
            // Break ties at random so that nodes do not all pick the same engine.
            (requests(engine), rng.random::<u32>())
        });
        least.map(|engine| placement_without_cache(engine.upstream))
    }

    pub(super) fn place_by_affinity(
        &mut self,
        request: &PlacementRequest<'_>,
        availability: &impl Availability,
    ) -> Option<Placement> {
        let mut levels = request.prompt.levels().rev();
        let last = levels.next();
        let Some(level) = levels.next().or(last) else {
            return self
                .available_engines(request, availability)
                .next()
                .map(|engine| placement_without_cache(engine.upstream));
        };
        let engines = self.fleet.of_model(request.model);
        self.order.begin(engines, level.hash, engines.len());
        let available = |engine: &&Engine| is_available(engine, request, availability);
        self.order.engines().find(available).map(|engine| placement_without_cache(engine.upstream))
    }

    fn available_engines<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        availability: &'a impl Availability,
    ) -> impl Iterator<Item = &'a Engine> {
        let engines = self.fleet.of_model(request.model).iter();
        engines.filter(move |engine| is_available(engine, request, availability))
    }
}

fn is_available(
    engine: &Engine,
    request: &PlacementRequest<'_>,
    availability: &impl Availability,
) -> bool {
    !request.excluded.contains(&engine.upstream) && availability.overload(engine.upstream).is_some()
}

fn placement_without_cache(upstream: UpstreamId) -> Placement {
    Placement {
        upstream,
        expected_cached_tokens: 0,
        known_tokens: 0,
        known_age_ms: 0,
        import_tokens: 0,
        sent_ms: 0,
    }
}
