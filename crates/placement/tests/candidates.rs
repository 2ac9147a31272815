//! Tests of the candidate order and of placement after a node restart.

mod support;

use std::collections::HashSet;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_entity::DomainId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::blocks::BlockHash;
use redwingrill_placement::blocks::Level;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::candidates::CandidateOrder;
use redwingrill_placement::candidates::score;
use redwingrill_placement::fleet::Engine;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_placement::placer::Finished;
use redwingrill_placement::placer::FirstToken;
use redwingrill_placement::placer::Placer;
use redwingrill_placement::placer::Policy;

const SEED: u64 = 11;

const REQUEST_INTERVAL_MS: u64 = 50;

fn engines(keys: &[u64], domains: usize) -> Vec<Engine> {
    let engine = |(index, &key): (usize, &u64)| Engine {
        upstream: UpstreamId::from_index(index),
        domain: DomainId::from_index(index % domains),
        key,
    };
    keys.iter().enumerate().map(engine).collect()
}

#[test]
fn candidate_order_matches_a_full_sort() {
    fn matches_full_sort(
        mut keys: Vec<u64>,
        first_prefix: u64,
        second_prefix: u64,
        width: usize,
        narrow: usize,
    ) -> bool {
        keys.sort_unstable();
        keys.dedup();
        let engines = engines(&keys, 1);
        let width = width % 20;
        let mut order = CandidateOrder::default();
        order.begin(&engines, BlockHash(first_prefix), width);
        order.narrow(BlockHash(second_prefix), narrow % 20);
        order.verify().expect("invariants hold after narrowing");
        let mut expected = engines;
        expected
            .sort_by_key(|engine| std::cmp::Reverse(score(BlockHash(first_prefix), engine.key)));
        expected.truncate(width);
        if order.widths()[1] < order.widths()[0] {
            expected.sort_by_key(|engine| {
                std::cmp::Reverse(score(BlockHash(second_prefix), engine.key))
            });
        }
        order.engines().eq(expected.iter())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(matches_full_sort as fn(Vec<u64>, u64, u64, usize, usize) -> bool);
}

#[test]
fn wide_set_is_spread_evenly_over_failure_domains() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..100 {
        let keys: Vec<u64> = (0..30).map(|_| rng.random()).collect();
        let engines = engines(&keys, 3);
        let mut order = CandidateOrder::default();
        order.begin(&engines, BlockHash(rng.random()), 6);
        let mut in_domain = [0; 3];
        order.engines().for_each(|engine| in_domain[engine.domain.index()] += 1);
        assert_eq!(in_domain, [2, 2, 2]);
    }
}

#[test]
fn removing_an_engine_moves_only_its_prefixes() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let keys: Vec<u64> = (0..18).map(|_| rng.random()).collect();
    let all = engines(&keys, 3);
    let removed = all[7];
    let remaining: Vec<Engine> = all.iter().copied().filter(|engine| *engine != removed).collect();
    let mut order = CandidateOrder::default();
    for _ in 0..1_000 {
        let prefix = BlockHash(rng.random());
        order.begin(&all, prefix, 1);
        let before = *order.engines().next().expect("the order has one engine");
        order.begin(&remaining, prefix, 1);
        let after = *order.engines().next().expect("the order has one engine");
        assert!(before == after || before == removed);
    }
}

/// Returns prompts that share books of different popularity, then a part per customer, and end in a
/// unique question.
fn prompts(count: usize) -> Vec<PromptSummary> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let make_prompt = |number: usize| {
        let book = rng.random_range(0..8_u32).min(rng.random_range(0..8));
        let customer = rng.random_range(0..20_u32).min(rng.random_range(0..20));
        let (book, question) = (format!("book{book}"), format!("question{number}"));
        let customer = format!("{book}/{customer}");
        support::prompt("krita", "v1", &[(&book, 60), (&customer, 12), (&question, 2)])
    };
    (0..count).map(make_prompt).collect()
}

#[test]
fn restarted_node_hits_caches_like_a_long_running_node() {
    const ENGINES: usize = 18;
    const WARM_UP: usize = 1_000;
    const COMPARED: usize = 400;
    const MIN_SHARE_OF_LONG_RUNNING: f64 = 0.98;
    let prompts = prompts(WARM_UP + COMPARED);
    let mut long_running = Node::new(ENGINES);
    for prompt in &prompts[..WARM_UP] {
        long_running.serve(prompt);
    }
    // The engines keep their caches; the node loses its state.
    let mut restarted = Node {
        cached: long_running.cached.clone(),
        now_ms: long_running.now_ms,
        ..Node::new(ENGINES)
    };
    (long_running.hit_tokens, long_running.shared_tokens) = (0, 0);
    for prompt in &prompts[WARM_UP..] {
        long_running.serve(prompt);
        restarted.serve(prompt);
    }
    println!(
        "hit share: long running {:.3}, restarted {:.3}",
        long_running.hit_share(),
        restarted.hit_share()
    );
    assert!(restarted.hit_share() >= MIN_SHARE_OF_LONG_RUNNING * long_running.hit_share());
}

/// A placer and the simulated caches of the engines it places prompts on.
struct Node {
    placer: Placer,
    engines: usize,
    cached: HashSet<(UpstreamId, BlockHash)>,
    now_ms: u64,
    hit_tokens: u64,
    shared_tokens: u64,
}

impl Node {
    fn new(engines: usize) -> Self {
        let placer = support::placer(Policy::Redwingrill, engines);
        Self { placer, engines, cached: HashSet::new(), now_ms: 0, hit_tokens: 0, shared_tokens: 0 }
    }

    /// Places one prompt and counts the tokens of its shared prefixes that its engine had cached.
    fn serve(&mut self, prompt: &PromptSummary) {
        self.now_ms += REQUEST_INTERVAL_MS;
        self.report_idle();
        let placement = support::place(&mut self.placer, prompt, "v1", self.now_ms);
        let event = FirstToken {
            model: support::model(),
            placement: &placement,
            prompt,
            weights: WeightsTag::of("v1"),
            start: Some(support::start(1, "v1")),
            first_token_ms: 20.0,
        };
        self.placer.first_token(&event, self.now_ms);
        finish(&mut self.placer, &event, self.now_ms);
        let shared = prompt.level_count() - 1;
        let is_cached = |level: &&Level| self.cached.contains(&(placement.upstream, level.hash));
        let hit = prompt.levels().take(shared).filter(is_cached).last();
        self.hit_tokens += hit.map_or(0, Level::tokens);
        self.shared_tokens += prompt.levels().nth(shared - 1).map_or(0, Level::tokens);
        self.cached.extend(prompt.levels().map(|level| (placement.upstream, level.hash)));
    }

    fn report_idle(&mut self) {
        let start = support::start(1, "v1");
        let report = LoadReport { start, running: 0, waiting: 0, waiting_tokens: 0 };
        for engine in 0..self.engines {
            self.placer.observe_load(UpstreamId::from_index(engine), report, self.now_ms);
        }
    }

    fn hit_share(&self) -> f64 {
        self.hit_tokens as f64 / self.shared_tokens as f64
    }
}

fn finish(placer: &mut redwingrill_placement::placer::Placer, event: &FirstToken<'_>, now_ms: u64) {
    let finished = Finished {
        model: event.model,
        placement: event.placement,
        prompt: event.prompt,
        weights: event.weights,
        start: event.start,
        first_token_ms: None,
        cached_tokens: None,
    };
    placer.finish(&finished, now_ms);
}
