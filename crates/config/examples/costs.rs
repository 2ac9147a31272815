//! Measures the cost of a configuration on a node, for small to large deployments. Prints one JSON
//! object per line.
//!
//! `cargo run --release -p redwingrill-config --example costs`

use std::fmt::Write;
use std::fs;
use std::time::Instant;

use bytes::Bytes;

use redwingrill_config::ApplyId;
use redwingrill_config::Generation;
use redwingrill_config::Manifest;
use redwingrill_config::Snapshot;
use redwingrill_config::from_chunks;
use redwingrill_config::parse_str;
use redwingrill_config::to_chunks;
use redwingrill_entity::Names;

const SIZES: [(usize, usize); 5] = [(8, 18), (100, 50), (1_000, 100), (8_000, 400), (19_000, 850)];
const ROUNDS: u32 = 20;
const PAGE_BYTES: u64 = 4_096;

fn config_text(accounts: usize, engines: usize, weight: usize) -> String {
    let mut text = String::from(
        "[priority checks]\nlevel = 0\nfirst_token_target = 250 ms\nqueue_deadline = 2 s\n\
         [model assistant]\nweights_version = 1\n",
    );
    for account in 0..accounts {
        let hash = blake3::hash(&account.to_le_bytes());
        let weight = if account == accounts / 2 { weight } else { 1 };
        let _ = write!(
            text,
            "[account account-{account:05}]\nkey_hashes = blake3:{hash}\npriorities = checks\n\
             weight = {weight}\ntokens_limit = 5000 tokens/s\n"
        );
    }
    for engine in 0..engines {
        let (high, low) = (engine / 200, engine % 200 + 1);
        let _ = write!(
            text,
            "[upstream engine-{engine:03}]\nkind = engine\naddress = 10.0.{high}.{low}:8000\n\
             failure_domain = d{}\nmodel = assistant\n",
            engine % 6
        );
    }
    text
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn mean_ms(mut work: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(|_| work());
    started.elapsed().as_secs_f64() * 1_000.0 / f64::from(ROUNDS)
}

/// Returns the resident memory of a node's names, chunks and snapshot, in bytes. The first copies
/// reuse memory that was freed earlier and are not counted.
fn held_bytes(chunks: &[Bytes]) -> u64 {
    const WARM_UP_COPIES: usize = 12;
    const MEASURED_COPIES: usize = 8;
    let mut copies = Vec::new();
    let mut before = 0;
    for copy in 0..WARM_UP_COPIES + MEASURED_COPIES {
        if copy == WARM_UP_COPIES {
            before = resident_bytes();
        }
        let mut names = Names::default();
        let copied_chunks: Vec<Vec<u8>> = chunks.iter().map(|bytes| bytes.to_vec()).collect();
        let state = from_chunks(chunks, &mut names).expect("the chunks are valid");
        copies.push((names, copied_chunks, Snapshot::new(Generation(1), state)));
    }
    resident_bytes().saturating_sub(before) / MEASURED_COPIES as u64
}

fn measure(accounts: usize, engines: usize) {
    let text = config_text(accounts, engines, 1);
    let mut names = Names::default();
    let parse_ms = mean_ms(|| drop(parse_str("site.ini", &text, &mut Names::default())));
    let state = parse_str("site.ini", &text, &mut names).expect("the text is valid");
    let chunks = to_chunks(&state, &names);
    let first = Manifest::successor_of(None, ApplyId(1), &chunks);
    let changed = parse_str("site.ini", &config_text(accounts, engines, 2), &mut names);
    let changed = to_chunks(&changed.expect("the text is valid"), &names);
    let second = Manifest::successor_of(Some(&first), ApplyId(2), &changed);
    let new: usize =
        changed.iter().filter(|chunk| !chunks.contains(chunk)).map(|c| c.bytes.len()).sum();
    let bytes: Vec<_> = chunks.iter().map(|chunk| chunk.bytes.clone()).collect();
    drop((state, names, text, changed));
    let held_bytes = held_bytes(&bytes);
    let mut names = Names::default();
    let adopt_ms = mean_ms(|| {
        let state = from_chunks(&bytes, &mut names).expect("the chunks are valid");
        drop(Snapshot::new(Generation(1), state));
    });
    println!(
        "{{\"accounts\":{accounts},\"engines\":{engines},\"chunks\":{},\"chunk_bytes\":{},\
         \"manifest_bytes\":{},\"bytes_a_change\":{},\"parse_ms\":{parse_ms:.3},\
         \"adopt_ms\":{adopt_ms:.3},\"held_bytes\":{held_bytes}}}",
        bytes.len(),
        bytes.iter().map(Bytes::len).sum::<usize>(),
        second.encode().len(),
        second.encode().len() + new,
    );
}

fn main() {
    for (accounts, engines) in SIZES {
        measure(accounts, engines);
    }
}
