//! Applying configurations to a store: lost responses, concurrent applies, and sizes.

mod support;

use crate::support::apply_text;
use crate::support::config_text;
use redwingrill_config::ApplyError;
use redwingrill_config::Chunk;
use redwingrill_config::Generation;
use redwingrill_config::from_chunks;
use redwingrill_config::parse_str;
use redwingrill_config::read_state;
use redwingrill_config::to_chunks;
use redwingrill_entity::Names;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;
use redwingrill_ports::Store;

const TARGET_ACCOUNTS: usize = 19_000;
const VALUE_LIMIT_BYTES: usize = 1_000_000;

fn chunks(text: &str) -> Vec<Chunk> {
    let mut names = Names::default();
    let state = parse_str("site.ini", text, &mut names).expect("the text is valid");
    to_chunks(&state, &names)
}

#[test]
fn changing_one_account_changes_one_small_chunk() {
    let before = chunks(&config_text(TARGET_ACCOUNTS, 1));
    let changed = chunks(&config_text(TARGET_ACCOUNTS, 2));
    let shorter = chunks(&config_text(TARGET_ACCOUNTS - 1, 1));
    for (name, other) in [("changed", &changed), ("removed", &shorter)] {
        let new: Vec<&Chunk> = other.iter().filter(|chunk| !before.contains(chunk)).collect();
        assert!(new.len() <= 1, "{name}: {} new chunks", new.len());
    }
    let largest = before.iter().map(|chunk| chunk.bytes.len()).max().expect("the state has chunks");
    let total: usize = before.iter().map(|chunk| chunk.bytes.len()).sum();
    println!(
        "accounts={TARGET_ACCOUNTS} chunks={} largest_bytes={largest} total_bytes={total}",
        before.len()
    );
    assert!(largest < VALUE_LIMIT_BYTES / 4);
}

#[test]
fn state_survives_a_round_trip_through_chunks() {
    let mut names = Names::default();
    let state = parse_str("site.ini", &config_text(300, 7), &mut names).expect("the text is valid");
    let chunks = to_chunks(&state, &names);
    let bytes: Vec<_> = chunks.into_iter().map(|chunk| chunk.bytes).collect();
    assert_eq!(from_chunks(&bytes, &mut names), Ok(state));
    assert!(
        from_chunks(&bytes[..1], &mut Names::default()).is_err(),
        "missing chunks must be detected as dangling references"
    );
}

#[tokio::test(start_paused = true)]
async fn stored_values_stay_small_and_retired_chunks_are_removed() {
    let store = MemoryStore::new();
    for marker in 1..=4 {
        apply_text(&store, &config_text(TARGET_ACCOUNTS, marker), marker).await.expect("applied");
    }
    let entries = store.list("").await.expect("listed");
    assert!(entries.iter().all(|entry| entry.value.len() < VALUE_LIMIT_BYTES / 4));
    let (manifest, state) =
        read_state(&store, &mut Names::default()).await.expect("read").expect("accepted");
    assert_eq!(manifest.generation, Generation(4));
    assert_eq!(state.accounts.len(), TARGET_ACCOUNTS);
    // All chunks in force, the chunk that was retired last, and the manifest.
    assert_eq!(entries.len(), manifest.chunks.len() + 2);
}

#[tokio::test(start_paused = true)]
async fn large_configuration_is_applied_and_read_within_the_store_rate_limit() {
    const CALLS_PER_S: u32 = 300;
    let store = MemoryStore::new();
    store.set_faults(Faults {
        calls_per_s_limit: CALLS_PER_S,
        delay: std::time::Duration::from_millis(1),
        ..Faults::default()
    });
    apply_text(&store, &config_text(TARGET_ACCOUNTS, 1), 1).await.expect("applied");
    let read = read_state(&store, &mut Names::default()).await.expect("read");
    assert!(read.is_some_and(|(_, state)| state.accounts.len() == TARGET_ACCOUNTS));
}

struct LostCallCase {
    name: &'static str,
    fault: WriteFault,
    duration_s: u64,
    accepted: Option<bool>,
}

const LOST_CALL_CASES: &[LostCallCase] = &[
    LostCallCase {
        name: "responses lost permanently",
        fault: WriteFault::LoseAnswer,
        duration_s: 600,
        accepted: None,
    },
    LostCallCase {
        name: "requests lost permanently",
        fault: WriteFault::LoseCall,
        duration_s: 600,
        accepted: Some(false),
    },
    LostCallCase {
        name: "responses lost at first",
        fault: WriteFault::LoseAnswer,
        duration_s: 1,
        accepted: Some(true),
    },
    LostCallCase {
        name: "requests lost at first",
        fault: WriteFault::LoseCall,
        duration_s: 1,
        accepted: Some(true),
    },
];

#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_by_reading_back() {
    for case in LOST_CALL_CASES {
        let store = MemoryStore::new();
        apply_text(&store, &config_text(3, 1), 1).await.expect("applied");
        let faulty_store = store.clone();
        let fault_task = tokio::spawn(async move {
            faulty_store.set_faults(Faults { write: case.fault, ..Faults::default() });
            tokio::time::sleep(std::time::Duration::from_secs(case.duration_s)).await;
            faulty_store.set_faults(Faults::default());
        });
        tokio::task::yield_now().await;
        let result = apply_text(&store, &config_text(3, 2), 2).await;
        fault_task.abort();
        store.set_faults(Faults::default());
        let stored = redwingrill_config::read_manifest(&store)
            .await
            .expect("read")
            .expect("a manifest is stored");
        let is_stored = stored.manifest.generation == Generation(2);
        match case.accepted {
            Some(accepted) => {
                assert_eq!(result.is_ok(), accepted, "{}: {result:?}", case.name);
                assert_eq!(is_stored, accepted, "{}", case.name);
            }
            // Either chunk writes failed too, so that nothing was accepted, or the swap was read
            // back.
            None => assert_eq!(result.is_ok(), is_stored, "{}: {result:?}", case.name),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_apply_succeeds_once_and_reports_the_conflict() {
    let store = MemoryStore::new();
    apply_text(&store, &config_text(3, 1), 1).await.expect("applied");
    store.set_faults(Faults { delay: std::time::Duration::from_millis(5), ..Faults::default() });
    let (a, b) = (config_text(3, 2), config_text(4, 1));
    let outcome = tokio::join!(apply_text(&store, &a, 2), apply_text(&store, &b, 3));
    let lost = match outcome {
        (Ok(_), Err(lost)) | (Err(lost), Ok(_)) => lost,
        both => panic!("exactly one apply must succeed: {both:?}"),
    };
    let ApplyError::Conflict { found, differences } = &lost else { panic!("{lost:?}") };
    assert_eq!(*found, Generation(2));
    assert_eq!(differences.len(), 1, "{differences:?}");
}
