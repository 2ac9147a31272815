//! What strikes when, from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::link::LinkState;
use super::release::draw_releases;
use super::signals::Signal;
use super::signals::draw_signals;
use crate::metadata_store::StoreFault;
use crate::site_upstream::Behaviour;

/// The span in which faults strike, and the longest of them.
const SPAN_MS: std::ops::Range<u64> = 1_000..9_000;
const LASTS_MS: std::ops::Range<u64> = 200..3_000;

/// When an upstream says that it drains whose earlier write is done late, and how much later.
const LATE_WRITE_MS: std::ops::Range<u64> = 1_000..6_000;
const LATE_BY_MS: std::ops::Range<u64> = 2_000..3_000;

/// How old a copy is from which the store comes back.
const COPY_AGE_MS: std::ops::Range<u64> = 0..6_000;

/// The fewest and the most faults of a run, for each group of so many nodes.
const FAULTS: std::ops::Range<usize> = 3..10;
const NODES_PER_GROUP: usize = 4;

/// The fewest and the most failures of links to upstreams, and how long one lasts: also so briefly
/// that only what is on its way is hit.
const UPSTREAM_LINKS: std::ops::Range<usize> = 0..12;
const LINK_LASTS_MS: std::ops::Range<u64> = 20..1_500;

/// The fewest and the most upstreams that write extra copies, for how long, how often the entry of one
/// lapses meanwhile, and how long it is away.
const COPYING: std::ops::Range<usize> = 0..3;
const COPIES_MS: std::ops::Range<u64> = 500..3_000;
const LAPSES: std::ops::Range<usize> = 2..8;
const LAPSE_MS: std::ops::Range<u64> = 10..300;

/// One fault: the place of the node or upstream that it strikes, and how long it lasts.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Fault {
    /// A process is killed; it is started again at once.
    Kill(usize),
    /// A process is asked to stop, and started again when it has.
    Stop(usize),
    /// A process stands still.
    Pause(usize, Duration),
    /// The link of a node to the store fails.
    Link(usize, LinkState, Duration),
    /// The store fails for all.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Forgets,
    /// The store goes away and comes back from a copy that is so old.
    Restored {
        /// The age of the copy as the store goes away.
        copy_age: Duration,
        /// How long it is away.
        away: Duration,
    },
    /// An upstream misbehaves.
    Upstream(usize, Behaviour, Duration),
    /// The link to an upstream fails, with requests on their way.
    UpstreamLink(usize, LinkState, Duration),
    /// An upstream is emptied and taken off the list, and comes back.
    Leaves(usize, Duration),
    /// The entry of an upstream lapses and comes back; its connections stay.
    Lapses(usize, Duration),
    /// An engine with this version of its software starts, after all other upstreams.
    Starts(u32),
    /// An engine drains and leaves for good.
    Retires(usize, Duration),
    /// All processes are killed at once and started again.
    KillAll,
    /// An upstream says that it drains, and the store does an earlier write of it so much later.
    LateWrite(usize, Duration),
    /// An upstream says something of itself until the end of the faults.
    Signal(usize, Signal),
    /// The operator writes a new configuration.
    Configure,
    /// The operator names new weights.
    NewWeights,
}

/// The faults of a run, by the time since its start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Plan {
    /// What strikes when.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws the faults of a seed for so many nodes and upstreams.
    pub fn draw(seed: u64, nodes: usize, upstreams: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(FAULTS) * nodes.div_ceil(NODES_PER_GROUP);
        let faults = (0..count).map(|_| {
            let at = Duration::from_millis(rng.random_range(SPAN_MS));
            (at, draw_fault(&mut rng, nodes, upstreams))
        });
        let mut faults: Vec<_> = faults.collect();
        faults.extend(draw_signals(seed, upstreams));
        faults.extend(draw_upstream_links(seed, upstreams));
        faults.extend(draw_late_write(seed, upstreams));
        faults.extend(draw_copies(seed, upstreams));
        faults.extend(draw_releases(seed, upstreams / 2));
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }
}

/// Draws the failures of links to upstreams, from a generator of their own, so that the other faults
/// of a seed stay the same.
fn draw_upstream_links(seed: u64, upstreams: usize) -> Vec<(Duration, Fault)> {
    const LINKS: [LinkState; 4] =
        [LinkState::Silent, LinkState::SilentBack, LinkState::Resets, LinkState::KernelResets];
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x4c49_4e4b);
    let links = (0..rng.random_range(UPSTREAM_LINKS)).map(|_| {
        let at = Duration::from_millis(rng.random_range(SPAN_MS));
        let lasts = Duration::from_millis(rng.random_range(LINK_LASTS_MS));
        let state = *LINKS.choose(&mut rng).expect("links can fail");
        (at, Fault::UpstreamLink(rng.random_range(0..upstreams), state, lasts))
    });
    links.collect()
}

/// Draws upstreams that write extra copies while their entries lapse, from a generator of their own.
fn draw_copies(seed: u64, upstreams: usize) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x434f_5059);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(COPYING) {
        let upstream = rng.random_range(0..upstreams);
        let copies = [Behaviour::CopiesRefusals, Behaviour::CopiesAnswers];
        let behaviour = *copies.choose(&mut rng).expect("copies are written");
        let at_ms = rng.random_range(SPAN_MS);
        let lasts_ms = rng.random_range(COPIES_MS);
        let lasts = Duration::from_millis(lasts_ms);
        let begins = Duration::from_millis(at_ms);
        faults.push((begins, Fault::Upstream(upstream, behaviour, lasts)));
        for _ in 0..rng.random_range(LAPSES) {
            let at = begins + Duration::from_millis(rng.random_range(0..lasts_ms));
            let away = Duration::from_millis(rng.random_range(LAPSE_MS));
            faults.push((at, Fault::Lapses(upstream, away)));
        }
    }
    faults
}

/// Draws a late write for every other seed, from a generator of its own.
fn draw_late_write(seed: u64, upstreams: usize) -> Option<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x4c41_5445);
    let at = Duration::from_millis(rng.random_range(LATE_WRITE_MS));
    let late = Duration::from_millis(rng.random_range(LATE_BY_MS));
    let upstream = rng.random_range(0..upstreams);
    rng.random_bool(0.5).then_some((at, Fault::LateWrite(upstream, late)))
}

fn draw_fault(rng: &mut SmallRng, nodes: usize, upstreams: usize) -> Fault {
    const LINKS: [LinkState; 4] =
        [LinkState::Slow, LinkState::Silent, LinkState::SilentBack, LinkState::Resets];
    const STORE: [StoreFault; 4] = [
        StoreFault::Busy,
        StoreFault::Silent,
        StoreFault::LosesAnswers,
        StoreFault::KeepsNoHistory,
    ];
    const BEHAVIOURS: [Behaviour; 13] = [
        Behaviour::Sheds,
        Behaviour::IsAnother,
        Behaviour::Fails,
        Behaviour::FailsBusy,
        Behaviour::DropsAnswer,
        Behaviour::IsMute,
        Behaviour::CrossesAnswers,
        Behaviour::DoesNotSign,
        Behaviour::Recodes,
        Behaviour::BreaksOff,
        Behaviour::CutsUnframed,
        Behaviour::EndsUnframed,
        Behaviour::IsSlow,
    ];
    let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
    let node = rng.random_range(0..nodes);
    let upstream = rng.random_range(0..upstreams);
    let link = *LINKS.choose(rng).expect("links can fail");
    let fault = *STORE.choose(rng).expect("the store can fail");
    let behaviour = *BEHAVIOURS.choose(rng).expect("upstreams can misbehave");
    let copy_age = Duration::from_millis(rng.random_range(COPY_AGE_MS));
    match rng.random_range(0..11) {
        0 => Fault::Kill(node),
        1 => Fault::Stop(node),
        2 => Fault::Pause(node, lasts),
        3 => Fault::Link(node, link, lasts),
        4 => Fault::Store(fault, lasts),
        5 => Fault::Forgets,
        6 => Fault::Leaves(upstream, lasts),
        7 => Fault::Configure,
        8 => Fault::NewWeights,
        9 => Fault::Restored { copy_age, away: lasts },
        _ => Fault::Upstream(upstream, behaviour, lasts),
    }
}
