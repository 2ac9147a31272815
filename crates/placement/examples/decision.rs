//! Measures the time of a placement decision for fleets of different sizes. Prints one JSON object
//! per line.
//!
//! `cargo run --release -p redwingrill-placement --example decision`

use std::fs;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_entity::DomainId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::blocks::BlockHash;
use redwingrill_placement::blocks::Level;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::fleet::EngineSpec;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_placement::placer::Availability;
use redwingrill_placement::placer::Finished;
use redwingrill_placement::placer::FirstToken;
use redwingrill_placement::placer::PlacementRequest;
use redwingrill_placement::placer::Placer;
use redwingrill_placement::placer::Policy;

const SEED: u64 = 1;
const FLEETS: [usize; 7] = [18, 50, 100, 200, 400, 600, 850];
const DOMAINS: usize = 6;
const LEVELS: usize = 8;
const WARM_UP: usize = 20_000;
const MEASURED: usize = 100_000;

/// The number of distinct prefixes at each level. Longer prefixes are shared by fewer prompts.
const PREFIXES: [u64; LEVELS] = [5, 20, 60, 200, 1_000, 5_000, 20_000, u64::MAX];

/// In a deployment of the target size a node receives 25 requests per second.
const REQUEST_INTERVAL_MS: u64 = 40;

struct AllAvailable;

impl Availability for AllAvailable {
    fn overload(&self, _: UpstreamId) -> Option<f64> {
        Some(0.0)
    }
}

struct Bench {
    placer: Placer,
    engines: usize,
    now_ms: u64,
    rng: SmallRng,
}

impl Bench {
    fn new(engines: usize) -> Self {
        let names: Vec<String> = (0..engines).map(|index| format!("engine-{index}")).collect();
        let mut placer = Placer::new(Policy::Redwingrill);
        placer.set_engines(names.iter().enumerate().map(|(index, name)| EngineSpec {
            upstream: UpstreamId::from_index(index),
            name,
            model: ModelId::from_index(0),
            domain: DomainId::from_index(index % DOMAINS),
        }));
        Self { placer, engines, now_ms: 0, rng: SmallRng::seed_from_u64(SEED) }
    }

    fn prompt(&mut self) -> PromptSummary {
        let pick: u64 = self.rng.random();
        let levels: Vec<Level> = (0..LEVELS)
            .map(|level| Level {
                hash: BlockHash(split_mix(pick % PREFIXES[level], level as u64)),
                blocks: 8 << level.min(4) | level as u32,
                in_first_message: level < 4,
            })
            .collect();
        PromptSummary::from_levels(&levels, 10_000)
    }

    /// Serves one request and returns the time of the placement decision, in nanoseconds.
    fn serve(&mut self) -> u64 {
        self.now_ms += REQUEST_INTERVAL_MS;
        self.report_one();
        let prompt = self.prompt();
        let weights = WeightsTag::of("v1");
        let model = ModelId::from_index(0);
        let request =
            PlacementRequest { model, weights, prompt: &prompt, output_tokens: 494, excluded: &[] };
        let start_time = Instant::now();
        let decision = self.placer.place(&request, &AllAvailable, self.now_ms, &mut self.rng);
        let decision_ns = start_time.elapsed().as_nanos() as u64;
        let placement = decision.expect("all engines are available");
        let start = Some(EngineStart { incarnation: Incarnation(1), weights });
        let first = FirstToken {
            model,
            placement: &placement,
            prompt: &prompt,
            weights,
            start,
            first_token_ms: 50.0,
        };
        self.placer.first_token(&first, self.now_ms);
        let finished = Finished {
            model,
            placement: &placement,
            prompt: &prompt,
            weights,
            start,
            first_token_ms: Some(50.0),
            cached_tokens: Some(placement.expected_cached_tokens),
        };
        self.placer.finish(&finished, self.now_ms);
        decision_ns
    }

    fn report_one(&mut self) {
        let upstream = UpstreamId::from_index(self.rng.random_range(0..self.engines));
        let start = EngineStart { incarnation: Incarnation(1), weights: WeightsTag::of("v1") };
        let load = LoadReport { start, running: 100, waiting: 0, waiting_tokens: 0 };
        self.placer.observe_load(upstream, load, self.now_ms);
    }
}

/// Mixes a value and a level with the SplitMix64 finalizer.
fn split_mix(value: u64, level: u64) -> u64 {
    let mut mixed = value.wrapping_add(level.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn main() {
    for engines in FLEETS {
        let before_bytes = resident_bytes();
        let mut bench = Bench::new(engines);
        for _ in 0..WARM_UP {
            bench.serve();
        }
        let mut times_ns: Vec<u64> = (0..MEASURED).map(|_| bench.serve()).collect();
        times_ns.sort_unstable();
        let at = |share: f64| times_ns[(share * (MEASURED - 1) as f64) as usize] as f64 / 1_000.0;
        let grown_bytes = resident_bytes().saturating_sub(before_bytes);
        println!(
            "{{\"engines\":{engines},\"levels\":{LEVELS},\"p50_us\":{:.2},\"p99_us\":{:.2},\
             \"max_us\":{:.1},\"resident_growth_bytes\":{grown_bytes}}}",
            at(0.5),
            at(0.99),
            at(1.0),
        );
    }
}
