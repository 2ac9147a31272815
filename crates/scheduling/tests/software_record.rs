//! Tests of the records of software versions: what they say of open streams, and when they change.

use std::collections::BTreeSet;
use std::collections::HashMap;

use redwingrill_routing::Era;
use redwingrill_routing::SoftwareVersion;
use redwingrill_scheduling::software_versions::RecordChange;
use redwingrill_scheduling::software_versions::RecordKeeper;
use redwingrill_scheduling::software_versions::ServiceSoftware;
use redwingrill_scheduling::software_versions::SoftwareRecord;

const RETENTION_MS: u64 = 34_000;

fn versions(names: &[&str]) -> BTreeSet<SoftwareVersion> {
    names.iter().map(|name| SoftwareVersion((*name).to_owned())).collect()
}

fn certain(names: &[&str]) -> SoftwareRecord {
    SoftwareRecord { versions: versions(names), may_lack_versions: false }
}

fn lacking(names: &[&str]) -> SoftwareRecord {
    SoftwareRecord { may_lack_versions: true, ..certain(names) }
}

fn seen(listed: &[&str], record: Option<SoftwareRecord>) -> HashMap<String, ServiceSoftware> {
    let software = ServiceSoftware { listed: versions(listed), record };
    HashMap::from([("llm".to_owned(), software)])
}

/// Guards against a stream that is continued at the version that serves now.
#[test]
fn record_names_a_version_although_streams_began_at_others() {
    let only = |record: SoftwareRecord| record.only_version().map(|version| version.0.clone());
    assert_eq!(only(certain(&["v1"])).as_deref(), Some("v1"));
    assert_eq!(only(certain(&["v1", "v1.1"])), None);
    assert_eq!(only(lacking(&["v1"])), None);
    assert_eq!(only(certain(&[])), None);
}

#[test]
fn changes_come_in_turns_and_after_the_last_stream() {
    struct Case {
        name: &'static str,
        listed: &'static [&'static str],
        record: Option<SoftwareRecord>,
        rank: usize,
        after_ms: u64,
        change: RecordChange,
    }
    let none = RecordChange::default;
    let add = |names: &[&str]| RecordChange { added: versions(names), ..none() };
    let remove = |names: &[&str]| RecordChange { removed: versions(names), ..none() };
    let (two, one) = (Some(certain(&["v1", "v2"])), Some(certain(&["v1"])));
    let cases = [
        Case {
            name: "the first record",
            listed: &["v1"],
            record: None,
            rank: 0,
            after_ms: 0,
            change: add(&["v1"]),
        },
        Case {
            name: "no engine yet",
            listed: &[],
            record: None,
            rank: 0,
            after_ms: 60_000,
            change: none(),
        },
        Case {
            name: "a new version",
            listed: &["v1", "v2"],
            record: one.clone(),
            rank: 0,
            after_ms: 0,
            change: add(&["v1", "v2"]),
        },
        Case {
            name: "the turn of another node",
            listed: &["v1", "v2"],
            record: one.clone(),
            rank: 1,
            after_ms: 399,
            change: none(),
        },
        Case {
            name: "nobody took the first turn",
            listed: &["v1", "v2"],
            record: one.clone(),
            rank: 1,
            after_ms: 400,
            change: add(&["v1", "v2"]),
        },
        Case {
            name: "streams of the old version may be open",
            listed: &["v2"],
            record: two.clone(),
            rank: 0,
            after_ms: RETENTION_MS - 1,
            change: none(),
        },
        Case {
            name: "no stream of the old version can be open",
            listed: &["v2"],
            record: two.clone(),
            rank: 0,
            after_ms: RETENTION_MS,
            change: remove(&["v1"]),
        },
        Case {
            name: "streams of unlisted versions may be open",
            listed: &["v1"],
            record: Some(lacking(&["v1"])),
            rank: 0,
            after_ms: RETENTION_MS - 1,
            change: none(),
        },
        Case {
            name: "streams of unlisted versions have ended",
            listed: &["v1"],
            record: Some(lacking(&["v1"])),
            rank: 0,
            after_ms: RETENTION_MS,
            change: RecordChange { is_complete: true, ..none() },
        },
        Case {
            name: "nothing to do",
            listed: &["v1", "v2"],
            record: two,
            rank: 0,
            after_ms: 600_000,
            change: none(),
        },
    ];
    for Case { name, listed, record, rank, after_ms, change } in cases {
        let mut keeper = RecordKeeper::default();
        keeper.observe(Era(0), RETENTION_MS, seen(listed, record), 1_000);
        let next = keeper.next(rank, 1_000 + after_ms).map(|(_, change)| change);
        assert_eq!(next.unwrap_or_default(), change, "{name}");
    }
}

/// Guards against a count of a version's absence that goes on while the version is back.
#[test]
fn version_that_returns_leaves_the_record() {
    let mut keeper = RecordKeeper::default();
    let record = Some(certain(&["v1", "v2"]));
    let steps: [(u64, &[&str]); 4] =
        [(0, &["v2"]), (20_000, &["v1", "v2"]), (21_000, &["v2"]), (54_000, &["v2"])];
    for (at_ms, listed) in steps {
        keeper.observe(Era(0), RETENTION_MS, seen(listed, record.clone()), at_ms);
        assert_eq!(keeper.next(0, at_ms), None, "at {at_ms} ms");
    }
    let removed = RecordChange { removed: versions(&["v1"]), ..RecordChange::default() };
    assert_eq!(keeper.next(0, 55_000), Some(("llm", removed)));
}

/// Guards against a record of an older copy of the store that counts as the versions in use.
#[test]
fn record_of_an_earlier_era_is_taken_over_without_what_nodes_remember() {
    let mut keeper = RecordKeeper::default();
    let released = Some(certain(&["v1", "v2"]));
    keeper.observe(Era(0), RETENTION_MS, seen(&["v2"], released), 0);
    // The store comes back from a copy: its record is of no use, and no upstream has registered yet.
    keeper.observe(Era(1), RETENTION_MS, seen(&[], None), 33_000);
    assert_eq!(keeper.next(0, 33_000), None);
    keeper.observe(Era(1), RETENTION_MS, seen(&["v2"], None), 33_500);
    let (service, change) = keeper.next(0, 33_500).expect("the record is written anew");
    assert_eq!((service, change.added.clone()), ("llm", versions(&["v2"])));
    assert_eq!(keeper.remembered("llm"), versions(&["v1", "v2"]));
    // What counted in the earlier era does not.
    let anew = Some(lacking(&["v1", "v2"]));
    keeper.observe(Era(1), RETENTION_MS, seen(&["v2"], anew), 34_100);
    assert_eq!(keeper.next(0, 34_100 + RETENTION_MS - 1), None);
    let (_, change) = keeper.next(0, 34_100 + RETENTION_MS).expect("streams have ended");
    assert_eq!((change.removed, change.is_complete), (versions(&["v1"]), true));
}

/// Guards against a node that writes again and again before it sees its own write.
#[test]
fn write_is_repeated_before_it_can_be_seen() {
    let mut keeper = RecordKeeper::default();
    keeper.observe(Era(0), RETENTION_MS, seen(&["v1"], None), 0);
    assert!(keeper.next(0, 0).is_some());
    keeper.delay("llm", 0, 0);
    assert_eq!(keeper.next(0, 299), None);
    assert!(keeper.next(0, 300).is_some());
    assert!(keeper.has_work());
    keeper.observe(Era(0), RETENTION_MS, seen(&["v1"], Some(certain(&["v1"]))), 310);
    assert!(!keeper.has_work() && keeper.next(0, 60_000).is_none());
}
