//! Releases of the engines' software, with all nodes killed during them and just after.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::Fault;
use crate::site_upstream::Behaviour;

/// When the first release begins, and how long after the start of one engine the next one starts.
const BEGINS_MS: std::ops::Range<u64> = 1_500..3_500;
const STEP_MS: std::ops::Range<u64> = 50..500;

/// How long an engine interrupts its streams at the end of a release.
const FAILS_MS: std::ops::Range<u64> = 300..1_500;

/// How long an engine drains before its entry is removed.
const DRAINS_MS: std::ops::Range<u64> = 200..1_000;

/// When all nodes are killed, after the start of the last engine, and how long after that the next
/// release begins.
const KILL_MS: std::ops::Range<u64> = 0..800;
const NEXT_MS: std::ops::Range<u64> = 300..1_500;

/// Draws up to two releases for every other seed, from a generator of their own, so that the other
/// faults of a seed stay the same. The second one brings the first version back, or a third one.
pub(super) fn draw_releases(seed: u64, engines: usize) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5550_4454);
    if rng.random_bool(0.5) {
        return Vec::new();
    }
    let mut faults: Vec<(u64, Fault)> = Vec::new();
    let versions: &[u32] = match rng.random_range(0..3) {
        0 => &[2],
        1 => &[2, 1],
        _ => &[2, 3],
    };
    let mut at_ms = rng.random_range(BEGINS_MS);
    // The engines in service, by their place: later ones come after the plain upstreams.
    let mut in_service: Vec<usize> = (0..engines).collect();
    let mut next_place = 2 * engines;
    for version in versions {
        let replaced = rng.random_range(1..=engines);
        let step_ms = rng.random_range(STEP_MS);
        for _ in 0..replaced {
            faults.push((at_ms, Fault::Starts(*version)));
            at_ms += step_ms;
            let drains = Duration::from_millis(rng.random_range(DRAINS_MS));
            faults.push((at_ms, Fault::Retires(in_service.remove(0), drains)));
            in_service.push(next_place);
            next_place += 1;
        }
        let behaviours = [Behaviour::BreaksOff, Behaviour::IsSlow];
        let behaviour = *behaviours.choose(&mut rng).expect("engines can fail");
        let failing = *in_service.choose(&mut rng).expect("engines are in service");
        let lasts = Duration::from_millis(rng.random_range(FAILS_MS));
        faults.push((at_ms, Fault::Upstream(failing, behaviour, lasts)));
        at_ms += rng.random_range(KILL_MS);
        faults.push((at_ms.saturating_sub(step_ms), Fault::KillAll));
        at_ms += rng.random_range(NEXT_MS);
    }
    faults.into_iter().map(|(at_ms, fault)| (Duration::from_millis(at_ms), fault)).collect()
}
