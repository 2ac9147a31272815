//! What an upstream wrote last counts, in whatever order the store does its writes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quickcheck::quickcheck;

use redwingrill_gateway::store_sync::StoreMirror;
use redwingrill_routing::Change;
use redwingrill_routing::Configuration;
use redwingrill_routing::DecodeError;
use redwingrill_routing::Era;
use redwingrill_routing::Item;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::ItemKind;
use redwingrill_routing::Listing;
use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_routing::WriteOrder;

const KEY: &str = "i-1";
const LAPSE_MS: u64 = 3_600;

/// A change of the entry of one upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Step {
    /// A write, by the upstream's start and its number.
    Write(u64, u64),
    /// A write that is not numbered.
    Unnumbered,
    /// A removal.
    Remove,
}

use Step::Remove;
use Step::Unnumbered;
use Step::Write;

/// Reads the order of a value of [`value_of`].
struct NumberedItems;

impl ItemCodec for NumberedItems {
    fn kind_of<'a>(&self, key: &'a str) -> ItemKind<'a> {
        ItemKind::Upstream(key)
    }

    fn own_key(&self, suffix: &str) -> String {
        suffix.to_owned()
    }

    fn decode_configuration(&self, _value: &[u8]) -> Result<Configuration, DecodeError> {
        unreachable!("no item is a configuration")
    }

    fn decode_upstream(&self, _id: &str, _value: &[u8]) -> Result<Upstream, DecodeError> {
        unreachable!("the mirror reads no upstreams")
    }

    fn write_order(&self, _key: &str, value: &[u8]) -> Option<WriteOrder> {
        let (start, sequence) = std::str::from_utf8(value).ok()?.split_once('/')?;
        Some(WriteOrder { started_unix_ms: start.parse().ok()?, sequence: sequence.parse().ok()? })
    }

    fn decode_target_version(
        &self,
        _value: &[u8],
    ) -> Result<(String, WeightsVersion), DecodeError> {
        unreachable!("no item is a target version")
    }
}

fn value_of(step: Step) -> Option<Bytes> {
    match step {
        Write(start, sequence) => Some(Bytes::from(format!("{start}/{sequence}"))),
        Unnumbered => Some(Bytes::from_static(b"unnumbered")),
        Remove => None,
    }
}

fn change(step: Step, revision: Revision) -> Change {
    let key = KEY.to_owned();
    match value_of(step) {
        Some(value) => Change::Put(Item { key, value, revision }),
        None => Change::Removed { key, revision },
    }
}

fn revision(number: u64) -> Revision {
    Revision::from_u64(number)
}

fn empty_mirror() -> StoreMirror {
    StoreMirror::new(Arc::new(NumberedItems), Duration::from_millis(LAPSE_MS))
}

/// Returns a mirror that saw each step as it was done.
fn mirror_of(steps: &[Step]) -> StoreMirror {
    let mut mirror = empty_mirror();
    for (number, step) in (1..).zip(steps) {
        mirror.apply_batch(vec![change(*step, revision(number))], revision(number));
        mirror.settle(0, false);
    }
    mirror
}

/// Returns the value that counts.
fn counted(mirror: &StoreMirror) -> Option<Bytes> {
    mirror.items().next().map(|(_, _, value)| value.clone())
}

struct Case {
    name: &'static str,
    /// What the store does, in its order.
    steps: &'static [Step],
    counts: Option<Step>,
}

const CASES: &[Case] = &[
    Case { name: "in order", steps: &[Write(7, 1), Write(7, 2)], counts: Some(Write(7, 2)) },
    Case {
        name: "late",
        steps: &[Write(7, 1), Write(7, 5), Write(7, 2)],
        counts: Some(Write(7, 5)),
    },
    Case {
        name: "late, then a newer one",
        steps: &[Write(7, 5), Write(7, 2), Write(7, 6)],
        counts: Some(Write(7, 6)),
    },
    Case {
        name: "two late ones",
        steps: &[Write(7, 5), Write(7, 2), Write(7, 3)],
        counts: Some(Write(7, 5)),
    },
    Case { name: "the same number", steps: &[Write(7, 1), Write(7, 1)], counts: Some(Write(7, 1)) },
    Case { name: "next start", steps: &[Write(7, 9), Write(8, 1)], counts: Some(Write(8, 1)) },
    Case {
        name: "late of the start before",
        steps: &[Write(7, 9), Write(8, 1), Write(7, 8)],
        counts: Some(Write(8, 1)),
    },
    Case {
        name: "late of the start before, after a removal",
        steps: &[Write(7, 9), Remove, Write(8, 1), Write(7, 10)],
        counts: Some(Write(8, 1)),
    },
    Case {
        name: "older, after the removal",
        steps: &[Write(7, 5), Remove, Write(7, 2)],
        counts: None,
    },
    Case {
        name: "newer, after the removal",
        steps: &[Write(7, 1), Remove, Write(7, 4)],
        counts: None,
    },
    Case { name: "late one is removed", steps: &[Write(7, 5), Write(7, 2), Remove], counts: None },
    Case {
        name: "next start after the removal",
        steps: &[Write(7, 5), Remove, Write(8, 1)],
        counts: Some(Write(8, 1)),
    },
    Case {
        name: "not numbered",
        steps: &[Unnumbered, Remove, Unnumbered],
        counts: Some(Unnumbered),
    },
    Case {
        name: "not numbered any more",
        steps: &[Write(7, 5), Unnumbered],
        counts: Some(Unnumbered),
    },
    Case {
        name: "late, then not numbered",
        steps: &[Write(7, 5), Write(7, 2), Unnumbered],
        counts: Some(Unnumbered),
    },
    Case {
        name: "not numbered, then late",
        steps: &[Write(7, 5), Unnumbered, Write(7, 2)],
        counts: Some(Write(7, 5)),
    },
];

/// Guards against an entry that goes back to what its upstream said before, or comes back.
#[test]
fn late_write_takes_back_a_newer_one() {
    for Case { name, steps, counts } in CASES {
        let mirror = mirror_of(steps);
        assert_eq!(counted(&mirror), counts.and_then(value_of), "{name}");
        mirror.verify().expect(name);
    }
}

/// Guards against a late write that hides a newer one done just before, in the same batch.
#[test]
fn late_write_hides_a_newer_one_of_the_same_batch() {
    for Case { name, steps, counts } in CASES {
        let mut mirror = empty_mirror();
        let numbered = (1..).zip(*steps);
        let changes = numbered.map(|(number, step)| change(*step, revision(number)));
        mirror.apply_batch(changes.collect(), revision(steps.len() as u64));
        mirror.settle(0, false);
        assert_eq!(counted(&mirror), counts.and_then(value_of), "{name}");
    }
}

/// Guards against a late write that counts at a node that lists the store, or gets its updates from
/// a peer, and has not seen the newer one.
#[test]
fn late_write_counts_at_a_node_that_asks_a_peer() {
    let steps = [Write(7, 1), Write(7, 5), Write(7, 2)];
    let peer = mirror_of(&steps);
    for after in 0..=3 {
        let mut mirror = mirror_of(&steps[..after]);
        mirror.apply_update(peer.update_after(revision(after as u64)));
        assert_eq!(counted(&mirror), value_of(Write(7, 5)), "after {after}");
    }
    let mut started = empty_mirror();
    let value = value_of(Write(7, 2)).expect("a write");
    let item = Item { key: KEY.to_owned(), value, revision: revision(3) };
    started.apply_listing(Listing { items: vec![item], complete_to: revision(3) });
    assert_eq!(counted(&started), value_of(Write(7, 2)), "it knows the late one only");
    started.apply_update(peer.update_after(revision(3)));
    assert_eq!(counted(&started), value_of(Write(7, 5)));
    started.verify().expect("the invariants hold");
}

/// Guards against an upstream that is shut out for good because its clock or its count went back, or
/// because its entry had been removed by mistake.
#[test]
fn live_upstream_whose_count_went_back_stays_unheard() {
    for steps in [
        &[Write(7, 5), Write(7, 2)][..],
        &[Write(7, 5), Write(6, 1)],
        &[Write(7, 5), Remove, Write(7, 6)],
    ] {
        let mut mirror = mirror_of(steps);
        let due_ms = mirror.next_settle_ms().expect("a late write");
        mirror.settle(due_ms - 1, false);
        assert_ne!(counted(&mirror), value_of(steps[steps.len() - 1]), "{steps:?}");
        mirror.settle(due_ms, false);
        assert_eq!(counted(&mirror), value_of(steps[steps.len() - 1]), "{steps:?}");
        assert_eq!(mirror.next_settle_ms(), None);
    }
}

/// Guards against the draining of an upstream being taken back while the store is away and nothing
/// newer can be written.
#[test]
fn late_write_counts_while_the_store_is_away() {
    let mut mirror = mirror_of(&[Write(7, 5), Write(7, 2)]);
    mirror.settle(LAPSE_MS, true);
    mirror.settle(2 * LAPSE_MS - 1, false);
    assert_eq!(counted(&mirror), value_of(Write(7, 5)));
}

/// Guards against an upstream staying unused whose entry lapsed while the store was away.
#[test]
fn entry_that_lapsed_while_the_store_was_away_stays_removed() {
    let mut mirror = mirror_of(&[Write(7, 5), Remove, Write(7, 6)]);
    mirror.settle(1, true);
    assert_eq!(counted(&mirror), value_of(Write(7, 6)));
}

/// Guards against numbers of before the store came back from a copy counting after it.
#[test]
fn order_of_a_lost_history_counts_in_the_next() {
    let mut mirror = mirror_of(&[Write(7, 5)]);
    let restored = Revision::new(Era(1), 1).expect("a small number");
    let value = value_of(Write(7, 3)).expect("a write");
    let item = Item { key: KEY.to_owned(), value, revision: restored };
    mirror.apply_listing(Listing { items: vec![item], complete_to: restored });
    assert_eq!(counted(&mirror), value_of(Write(7, 3)));
    mirror.verify().expect("the invariants hold");
}

quickcheck! {
    /// A node that gets the history from a peer judges as the peer does, wherever it began.
    fn peers_judge_late_writes_alike(steps: Vec<(u8, u8)>, cut: usize) -> bool {
        let step_of = |(kind, number): &(u8, u8)| match kind % 6 {
            0 => Remove,
            1 => Unnumbered,
            kind => Write(u64::from(kind / 4), u64::from(number % 8)),
        };
        let steps: Vec<Step> = steps.iter().map(step_of).collect();
        let cut = cut % (steps.len() + 1);
        let mut peer = mirror_of(&steps);
        let mut mirror = mirror_of(&steps[..cut]);
        let before = counted(&peer);
        mirror.apply_update(peer.update_after(revision(cut as u64)));
        peer.apply_update(mirror.update_after(revision(0)));
        counted(&mirror) == before && counted(&peer) == before && mirror.verify().is_ok()
    }
}
