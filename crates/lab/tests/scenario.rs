//! The parts of the scenario bench that decide what its figures mean.

use redwingrill_lab::bench::scenario::Case;
use redwingrill_lab::bench::scenario::Class;
use redwingrill_lab::bench::scenario::EventKind;
use redwingrill_lab::bench::scenario::class_of;
use redwingrill_lab::bench::scenario::oracle_hits;
use redwingrill_lab::cache_store::BlockList;
use redwingrill_lab::caller::Ending;
use redwingrill_lab::caller::Outcome;
use redwingrill_lab::engine::BlockHash;
use redwingrill_lab::engine::PrefixCache;
use redwingrill_lab::load::PlannedCall;
use redwingrill_lab::load::PromptLibrary;
use redwingrill_lab::load::Record;
use redwingrill_lab::load::plan;
use redwingrill_lab::site::Site;

const SEED: u64 = 3;
const SITES: [&str; 3] = ["example", "kritartafla", "napln"];

#[test]
fn built_in_files_are_sound() {
    for name in SITES {
        let site = Site::load(name).expect("a sound site");
        assert!(site.capacity_requests_per_s() > 1.0, "{name}");
        for case in Case::names() {
            let case = Case::load(case, &site).expect("a sound case");
            assert!(case.measure_from_ms < case.duration_ms);
            assert!(case.traffics.iter().all(|traffic| traffic.from_ms < traffic.to_ms));
        }
    }
}

#[test]
fn sites_have_the_sizes_of_the_deployments() {
    let sizes = |name| {
        let site = Site::load(name).expect("a sound site");
        let large = site.accounts.iter().filter(|account| account.is_large).count();
        (
            site.failure_domains.len(),
            site.engines,
            site.service_instances,
            site.accounts.len(),
            large,
        )
    };
    assert_eq!(sizes("kritartafla"), (3, 18, 3, 8, 2));
    assert_eq!(sizes("napln"), (3, 12, 3, 8, 2));
}

#[test]
fn plans_depend_on_their_seed_alone() {
    let site = Site::load("example").expect("a sound site");
    let case = Case::load("greedy", &site).expect("a sound case");
    let first = plan(&site, &case.traffics, SEED);
    assert_eq!(first, plan(&site, &case.traffics, SEED));
    assert_ne!(first, plan(&site, &case.traffics, SEED + 1));
    assert!(first.is_sorted_by_key(|call| call.at_us));
    let offered: f64 = case
        .traffics
        .iter()
        .map(|t| t.requests_per_s * (t.to_ms - t.from_ms) as f64 / 1_000.0)
        .sum();
    let planned = first.len() as f64;
    assert!((planned - offered).abs() < offered * 0.1, "{planned} of {offered}");
}

#[test]
fn files_with_faults_are_refused() {
    let site = Site::load("example").expect("a sound site");
    let cases = [
        "",
        "[scenario]\nduration_ms = 1",
        "[scenario]\nduration_ms = x\nmeasure_from_ms = 0",
        "[scenario]\nduration_ms = 1\nmeasure_from_ms = 0\n[traffic a]\nload_percent = 1\naccounts = some",
        "[scenario]\nduration_ms = 1\nmeasure_from_ms = 0\n[event a]\nkind = none\nat_ms = 1",
    ];
    for text in cases {
        assert!(Case::parse("case", text, &site).is_err(), "{text}");
    }
    let text = "[scenario]\nduration_ms = 9\nmeasure_from_ms = 0\n[event a]\nkind = crash_engines\n\
                at_ms = 1\npercent = 33\naway_ms = 2";
    let case = Case::parse("case", text, &site).expect("a sound case");
    assert_eq!(case.events[0].kind, EventKind::CrashEngines { percent: 33, away_ms: 2 });
}

#[test]
fn sites_that_lack_something_are_refused() {
    let example = include_str!("../scenarios/sites/example.ini");
    assert!(Site::parse("site", example).is_ok());
    let zeroes =
        ["nodes = 2", "engines = 3", "slots = 16", "count = 2", "books = 2", "customers = 4"];
    for line in zeroes {
        let key = line.split(' ').next().expect("a key");
        let without = example.replace(line, &format!("{key} = 0"));
        assert_ne!(without, example, "{line}");
        assert!(Site::parse("site", &without).is_err(), "{line}");
    }
    let without = example.replace("[priority ", "[other ");
    assert!(Site::parse("site", &without).is_err());
}

fn record(question: u32, account: usize) -> Record {
    let (at_us, node, priority, book, customer) = (0, 0, 0, 0, 0);
    let call = PlannedCall { at_us, node, account, priority, book, customer, question };
    Record { call, outcome: Outcome::unfinished() }
}

#[test]
fn the_oracle_computes_a_shared_prefix_once_for_each_account() {
    let site = Site::load("example").expect("a sound site");
    let library = PromptLibrary::new(&site, SEED);
    let mut cache = PrefixCache::new(10_000);
    let mut hits = |record: &Record| oracle_hits(&site, &library, record, &mut cache);
    let first = hits(&record(1, 0));
    assert_eq!(first.cached_tokens, 0);
    let shared = site.prompts.book_tokens + site.prompts.customer_tokens;
    let second = hits(&record(2, 0)).cached_tokens as usize;
    assert!(second > shared - 64 && second <= shared + 8, "{second} of {shared}");
    assert_eq!(hits(&record(3, 1)).cached_tokens, 0);
}

#[test]
fn calls_count_as_what_they_are() {
    let outcome =
        |ending, first_token_us| Outcome { ending, first_token_us, ..Outcome::unfinished() };
    let refused = Ending::Refused { status: 503, result_code: None };
    let wrong = Ending::Wrong { reason: String::new() };
    let error = Ending::Error { reason: String::new() };
    let cases = [
        (outcome(Ending::Complete, Some(1)), Class::Served),
        (outcome(Ending::Unfinished, Some(1)), Class::Served),
        (outcome(Ending::Unfinished, None), Class::Waiting),
        (outcome(refused, None), Class::Shed),
        (outcome(wrong, Some(1)), Class::Failed),
        (outcome(error, Some(1)), Class::Failed),
    ];
    for (outcome, class) in cases {
        assert_eq!(class_of(&outcome), class, "{outcome:?}");
    }
}

#[test]
fn random_files_never_panic() {
    fn property(text: String) -> bool {
        let site = Site::load("example").expect("a sound site");
        let framed = format!("[scenario]\nduration_ms = 1\nmeasure_from_ms = 0\n{text}");
        let _either = Case::parse("case", &framed, &site).is_ok();
        Site::parse("site", &text).is_err() && Case::parse("case", &text, &site).is_err()
    }
    let generator = quickcheck::Gen::from_size_and_seed(120, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(property as fn(String) -> bool);
}

#[test]
fn names_of_blocks_survive_the_way_to_the_store() {
    fn property(hashes: Vec<u64>, garbage: String) -> bool {
        let blocks: Vec<BlockHash> = hashes.into_iter().map(BlockHash).collect();
        let list = BlockList::from(blocks.as_slice());
        let back: Result<Vec<BlockHash>, _> = list.try_into();
        let is_number = u64::from_str_radix(&garbage, 16).is_ok();
        let read: Result<Vec<BlockHash>, _> = BlockList { blocks: vec![garbage] }.try_into();
        back.is_ok_and(|back| back == blocks) && read.is_ok() == is_number
    }
    let generator = quickcheck::Gen::from_size_and_seed(60, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(property as fn(Vec<u64>, String) -> bool);
}
