//! The batch and the prefix cache of the engine stand-in.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_lab::engine::Batch;
use redwingrill_lab::engine::BlockHash;
use redwingrill_lab::engine::CacheChange;
use redwingrill_lab::engine::Job;
use redwingrill_lab::engine::JobId;
use redwingrill_lab::engine::Message;
use redwingrill_lab::engine::Pace;
use redwingrill_lab::engine::PrefixCache;
use redwingrill_lab::engine::cut_prompt;

fn pace() -> Pace {
    Pace {
        slots: 2,
        prefill_tokens_per_s: 1_000,
        prefill_step_tokens: 256,
        import_tokens_per_s: 10_000,
        decode_us: 10_000,
        full_batch_slowdown_percent: 100,
    }
}

fn job(id: u64, priority: i32, salt: &str, version: &str, text: &str) -> Job {
    let prompt = cut_prompt(salt, "m", version, &[Message::new("user", text)]);
    Job {
        id: JobId(id),
        priority,
        prompt_tokens: prompt.tokens,
        blocks: prompt.blocks,
        generate_tokens: 1,
        importable_tokens: 0,
    }
}

/// Runs a batch until nothing is left and returns the time it took.
fn run(batch: &mut Batch, cache: &mut PrefixCache) -> Duration {
    let mut time = Duration::ZERO;
    let mut produced = Vec::new();
    while !batch.is_idle() {
        time += batch.begin_step(cache);
        batch.verify();
        batch.end_step(cache, &mut produced);
        cache.verify();
    }
    time
}

struct HitCase {
    name: &'static str,
    salt: &'static str,
    version: &'static str,
    change_byte: Option<usize>,
    cached_tokens: u64,
}

#[test]
fn cached_prefixes_are_not_computed_again() {
    let cases = [
        HitCase { name: "same", salt: "a", version: "v1", change_byte: None, cached_tokens: 512 },
        HitCase { name: "salt", salt: "b", version: "v1", change_byte: None, cached_tokens: 0 },
        HitCase { name: "weights", salt: "a", version: "v2", change_byte: None, cached_tokens: 0 },
        HitCase {
            name: "tail",
            salt: "a",
            version: "v1",
            change_byte: Some(300),
            cached_tokens: 64,
        },
        HitCase { name: "head", salt: "a", version: "v1", change_byte: Some(0), cached_tokens: 0 },
    ];
    // With the lines of the role 520 tokens: eight whole blocks and a rest.
    let text = "x".repeat(2_074);
    for case in cases {
        let (mut batch, mut cache) = (Batch::new(pace()), PrefixCache::new(100));
        batch.submit(job(1, 0, "a", "v1", &text));
        run(&mut batch, &mut cache);
        let mut changed = text.clone().into_bytes();
        if let Some(byte) = case.change_byte {
            changed[byte] = b'y';
        }
        let changed = String::from_utf8(changed).expect("plain text");
        batch.submit(job(2, 0, case.salt, case.version, &changed));
        run(&mut batch, &mut cache);
        let totals = batch.totals();
        assert_eq!(totals.cached_tokens, case.cached_tokens, "{}", case.name);
        assert_eq!(totals.computed_tokens, 1_040 - case.cached_tokens, "{}", case.name);
    }
}

#[test]
fn urgent_jobs_get_slots_first() {
    let (mut batch, mut cache) = (Batch::new(pace()), PrefixCache::new(100));
    for (id, priority) in [(1, 5), (2, 5), (3, 5), (4, 0)] {
        batch.submit(job(id, priority, "a", "v1", "short"));
    }
    let mut produced = Vec::new();
    batch.begin_step(&mut cache);
    batch.end_step(&mut cache, &mut produced);
    let ids: Vec<u64> = produced.iter().map(|token| token.id.0).collect();
    assert_eq!(ids, [4, 1]);
}

#[test]
fn fuller_batches_and_computed_prompts_take_longer() {
    let (mut batch, mut cache) = (Batch::new(pace()), PrefixCache::new(100));
    for id in 1..=2 {
        let mut long = job(id, 0, "a", "v1", "four");
        long.generate_tokens = 2;
        batch.submit(long);
    }
    let mut produced = Vec::new();
    // Three prompt tokens for each job at a thousand tokens a second.
    assert_eq!(batch.begin_step(&mut cache), Duration::from_millis(6));
    batch.end_step(&mut cache, &mut produced);
    // Two jobs in two slots: half of the full slowdown.
    assert_eq!(batch.begin_step(&mut cache), Duration::from_millis(15));
}

#[test]
fn imports_are_cheaper_than_computing() {
    let text = "x".repeat(1_024);
    let time_of = |importable_tokens| {
        let (mut batch, mut cache) = (Batch::new(pace()), PrefixCache::new(100));
        batch.submit(Job { importable_tokens, ..job(1, 0, "a", "v1", &text) });
        run(&mut batch, &mut cache)
    };
    assert!(time_of(256) * 5 < time_of(0));
}

#[test]
fn the_end_of_the_oldest_chain_is_evicted_first() {
    let chain = |first: u64| (first..first + 3).map(BlockHash).collect::<Vec<_>>();
    let mut cache = PrefixCache::new(4);
    cache.store(&chain(10));
    cache.store(&chain(20));
    cache.verify();
    assert_eq!(cache.lookup(&chain(20)), 3);
    assert_eq!(cache.lookup(&chain(10)), 1);
    let removed = cache.take_changes().into_iter().filter_map(|change| match change {
        CacheChange::Removed(hash) => Some(hash.0),
        CacheChange::Stored(_) => None,
    });
    assert_eq!(removed.collect::<Vec<_>>(), [12, 11]);
}

#[test]
fn random_schedules_keep_the_invariants() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut batch, mut cache) = (Batch::new(pace()), PrefixCache::new(6));
        let mut produced = Vec::new();
        for id in 0..60 {
            let text = "z".repeat(rng.random_range(1..2_000));
            let salt = if rng.random() { "a" } else { "b" };
            batch.submit(job(id, rng.random_range(0..3), salt, "v1", &text));
            if rng.random_ratio(1, 4) {
                batch.cancel(JobId(rng.random_range(0..=id)));
            }
            batch.begin_step(&mut cache);
            batch.end_step(&mut cache, &mut produced);
            batch.verify();
            cache.verify();
        }
        run(&mut batch, &mut cache);
        let totals = batch.totals();
        assert!(totals.computed_tokens + totals.cached_tokens <= totals.prompt_tokens, "{seed}");
    }
}
