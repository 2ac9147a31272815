//! Malformed values from the store and from peers are rejected without a panic.

mod support;

use bytes::Bytes;
use rand::Rng;
use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::apply_text;
use crate::support::config_text;
use redwingrill_config::MANIFEST_KEY;
use redwingrill_config::Manifest;
use redwingrill_config::from_chunks;
use redwingrill_entity::Names;
use redwingrill_fakes::MemoryStore;
use redwingrill_ports::Store;

const SEEDS: u64 = 2_000;

/// Returns random bytes, or the valid value truncated or with some bytes changed.
fn corrupt(valid: &[u8], rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    match rng.random_range(0..3) {
        0 => {
            bytes.truncate(rng.random_range(0..valid.len().min(200)));
            rng.fill_bytes(&mut bytes);
        }
        1 => bytes.truncate(rng.random_range(0..valid.len())),
        _ => {
            for _ in 0..rng.random_range(1..6) {
                let index = rng.random_range(0..bytes.len());
                bytes[index] = rng.random();
            }
        }
    }
    bytes
}

#[tokio::test]
async fn malformed_values_are_rejected_without_a_panic() {
    let store = MemoryStore::new();
    apply_text(&store, &config_text(200, 1), 1).await.expect("accepted");
    let entries = store.list("").await.expect("listed");
    let (manifests, chunks): (Vec<_>, Vec<_>) =
        entries.into_iter().partition(|entry| entry.key == MANIFEST_KEY);
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let manifest = corrupt(&manifests[0].value, &mut rng);
        refused += u32::from(Manifest::decode(&manifest).is_err());
        let index = rng.random_range(0..chunks.len());
        let chunk = Bytes::from(corrupt(&chunks[index].value, &mut rng));
        refused += u32::from(from_chunks([&chunk], &mut Names::default()).is_err());
    }
    println!("seeds={SEEDS} refused={refused}");
    assert!(refused > 0);
}
