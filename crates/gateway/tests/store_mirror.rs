//! The store mirror never goes back to an older revision, whatever the source of an update.

use std::collections::HashMap;

use bytes::Bytes;
use quickcheck::quickcheck;

use redwingrill_gateway::store_sync::StoreMirror;
use redwingrill_routing::Change;
use redwingrill_routing::Era;
use redwingrill_routing::Item;
use redwingrill_routing::Listing;
use redwingrill_routing::Revision;

/// A revision of the first era.
fn revision(number: u64) -> Revision {
    Revision::from_u64(number)
}

fn put(key: &str, number: u64) -> Change {
    let value = Bytes::from(format!("{key}@{number}"));
    Change::Put(Item { key: key.to_owned(), value, revision: revision(number) })
}

fn removed(key: &str, number: u64) -> Change {
    Change::Removed { key: key.to_owned(), revision: revision(number) }
}

fn keys(mirror: &StoreMirror) -> Vec<(String, u64)> {
    let mut keys: Vec<_> =
        mirror.items().map(|(key, revision, _)| (key.to_owned(), revision.as_u64())).collect();
    keys.sort();
    keys
}

/// A peer's update may hold only the removal of a key whose creation is still on its way.
#[test]
fn key_whose_removal_came_first_is_not_revived() {
    let mut peer = StoreMirror::default();
    peer.apply_batch(vec![put("a", 100)], revision(100));
    peer.apply_batch(vec![removed("a", 150)], revision(160));
    let mut mirror = StoreMirror::default();
    mirror.apply_batch(vec![put("b", 90)], revision(90));
    mirror.apply_update(peer.update_after(revision(90)));
    mirror.apply_batch(vec![put("a", 100)], revision(120));
    assert_eq!(keys(&mirror), [("b".to_owned(), 90)]);
    // A node that gets its updates from this one learns of the removal, too.
    let update = mirror.update_after(revision(120));
    assert!(update.entries.iter().any(|(key, _, value)| key == "a" && value.is_none()));
    assert_eq!(mirror.verify(), Ok(()));
}

#[test]
fn older_change_is_ignored() {
    let mut mirror = StoreMirror::default();
    assert!(mirror.apply(put("a", 5)));
    assert!(!mirror.apply(put("a", 4)));
    assert!(!mirror.apply(removed("a", 5)));
    assert!(mirror.apply(removed("a", 6)));
    assert!(!mirror.apply(put("a", 5)));
    assert_eq!(keys(&mirror), []);
    assert!(mirror.apply(put("a", 9)));
    assert_eq!(keys(&mirror), [("a".to_owned(), 9)]);
    mirror.verify().expect("the invariants hold");
}

#[test]
fn listing_removes_missing_keys_unless_they_are_newer() {
    let mut mirror = StoreMirror::default();
    mirror.apply_batch(vec![put("a", 1), put("b", 2), put("c", 9)], revision(9));
    let item = Item { key: "a".to_owned(), value: Bytes::from("x"), revision: revision(1) };
    assert!(mirror.apply_listing(Listing { items: vec![item], complete_to: revision(5) }));
    assert_eq!(keys(&mirror), [("a".to_owned(), 1), ("c".to_owned(), 9)]);
    assert_eq!(mirror.complete_to(), revision(9));
}

#[test]
fn update_for_a_peer_includes_removed_keys() {
    let (mut first, mut second) = (StoreMirror::default(), StoreMirror::default());
    first.apply_batch(vec![put("a", 1), put("b", 2)], revision(2));
    assert!(second.apply_update(first.update_after(revision(0))));
    first.apply_batch(vec![removed("a", 3), put("c", 4)], revision(4));
    let update = first.update_after(second.complete_to());
    assert_eq!(update.entries.len(), 2);
    assert!(second.apply_update(update));
    assert_eq!(keys(&second), keys(&first));
    assert_eq!(second.complete_to(), revision(4));
}

fn listing(items: &[(&str, u64)], complete_to: u64) -> Listing {
    let items = items.iter().map(|(key, number)| Item {
        key: (*key).to_owned(),
        value: Bytes::from(format!("{key}@{number}")),
        revision: revision(*number),
    });
    Listing { items: items.collect(), complete_to: revision(complete_to) }
}

/// A peer that started after a removal lists the store without the key, and cannot name it.
#[test]
fn removal_that_a_restarted_peer_did_not_see_is_lost() {
    let mut mirror = StoreMirror::default();
    mirror.apply_listing(listing(&[("a", 3), ("b", 4), ("c", 5)], 10));
    let mut restarted = StoreMirror::default();
    restarted.apply_listing(listing(&[("b", 4), ("c", 15)], 20));
    let update = restarted.update_after(mirror.complete_to());
    // Values that the mirror has are not sent again.
    assert!(update.entries.iter().all(|(key, ..)| key != "b"), "{update:?}");
    assert!(mirror.apply_update(update));
    assert_eq!(keys(&mirror), [("b".to_owned(), 4), ("c".to_owned(), 15)]);
    assert_eq!(mirror.complete_to(), revision(20));
    mirror.verify().expect("the invariants hold");
    // An older change of the key that is on its way does not bring it back.
    assert!(!mirror.apply(put("a", 3)));

    // Nor does a third node miss it that learns from this one.
    let mut third = StoreMirror::default();
    third.apply_listing(listing(&[("a", 3), ("b", 4), ("c", 5)], 12));
    assert!(third.apply_update(mirror.update_after(third.complete_to())));
    assert_eq!(keys(&third), keys(&mirror));
}

/// Only some removed keys are kept for peers.
#[test]
fn removals_that_a_peer_has_evicted_are_lost() {
    let keys_count = 5_000;
    let names: Vec<String> = (0..keys_count).map(|n| format!("k{n}")).collect();
    let items: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let (mut mirror, mut peer) = (StoreMirror::default(), StoreMirror::default());
    mirror.apply_listing(listing(&items, 1));
    peer.apply_listing(listing(&items, 1));
    let removals = (2..).zip(&names).map(|(number, name)| removed(name, number));
    peer.apply_batch(removals.collect(), revision(1 + keys_count));
    mirror.apply_update(peer.update_after(mirror.complete_to()));
    assert_eq!(keys(&mirror), []);
    peer.verify().expect("the invariants hold");
}

/// An update for another node, which knew more, lacks changes.
#[test]
fn update_that_begins_after_the_known_revision_is_taken_for_complete() {
    let mut peer = StoreMirror::default();
    peer.apply_batch(vec![put("a", 1), removed("a", 2), put("b", 3)], revision(3));
    let mut mirror = StoreMirror::default();
    mirror.apply_batch(vec![put("a", 1)], revision(1));
    assert!(!mirror.apply_update(peer.update_after(revision(2))));
    assert_eq!(mirror.complete_to(), revision(1));
}

/// The store came back from a copy at revision 5, and gives out the revisions after it again.
fn listing_of_next_era() -> Listing {
    let of_next_era = |number| Revision::new(Era(1), number).expect("a small revision");
    let item = |key: &str, number| Item {
        key: key.to_owned(),
        value: Bytes::from(format!("{key}@1:{number}")),
        revision: of_next_era(number),
    };
    Listing { items: vec![item("a", 1), item("b", 6)], complete_to: of_next_era(6) }
}

fn mirror_of_first_era() -> StoreMirror {
    let mut mirror = StoreMirror::default();
    mirror.apply_batch(vec![put("a", 1), put("b", 7), put("c", 9)], revision(9));
    mirror
}

#[test]
fn restored_store_is_ignored_until_it_passes_the_lost_revisions() {
    let mut mirror = mirror_of_first_era();
    assert!(mirror.apply_listing(listing_of_next_era()));
    let mut items: Vec<_> = mirror.items().map(|(_, _, value)| value.clone()).collect();
    items.sort();
    assert_eq!(items, ["a@1:1", "b@1:6"]);
    assert_eq!(mirror.complete_to(), listing_of_next_era().complete_to);
    mirror.verify().expect("the invariants hold");
    // What was on its way from the first era has no effect.
    assert!(!mirror.apply(put("d", 12)));
    assert!(!mirror.apply_update(mirror_of_first_era().update_after(revision(0))));
    mirror.verify().expect("the invariants hold");
}

#[test]
fn peer_of_an_earlier_era_keeps_what_was_lost() {
    let mut restored = mirror_of_first_era();
    restored.apply_listing(listing_of_next_era());
    let mut peer = mirror_of_first_era();
    assert!(peer.apply_update(restored.update_after(peer.complete_to())));
    assert_eq!(keys(&peer), keys(&restored));
    assert_eq!(peer.complete_to(), restored.complete_to());
    peer.verify().expect("the invariants hold");
}

/// Returns changes of four keys at increasing revisions.
fn history(steps: &[u8]) -> Vec<Change> {
    let steps = steps.iter().zip(1..);
    let changes = steps.map(|(step, revision)| {
        let key = format!("k{}", step % 4);
        if step % 3 == 0 { removed(&key, revision) } else { put(&key, revision) }
    });
    changes.collect()
}

fn expected_items(changes: &[Change]) -> Vec<(String, u64)> {
    let mut items = HashMap::new();
    for change in changes {
        match change {
            Change::Put(item) => items.insert(item.key.clone(), item.revision.as_u64()),
            Change::Removed { key, .. } => items.remove(key),
        };
    }
    let mut items: Vec<_> = items.into_iter().collect();
    items.sort();
    items
}

/// Returns a mirror that listed the store after some changes, and then saw others.
fn restarted_mirror(changes: &[Change], listed: usize, seen: usize) -> StoreMirror {
    let items = expected_items(&changes[..listed]);
    let items: Vec<(&str, u64)> = items.iter().map(|(key, n)| (key.as_str(), *n)).collect();
    let mut mirror = StoreMirror::default();
    mirror.apply_listing(listing(&items, listed as u64));
    mirror.apply_batch(changes[listed..seen].to_vec(), revision(seen as u64));
    mirror
}

quickcheck! {
    /// Three nodes started at any time and learn from each other in a chain. Each has the items of
    /// the store at the latest revision that it has heard of.
    fn nodes_that_started_at_any_time_have_the_items_of_the_store(
        steps: Vec<u8>,
        cuts: (usize, usize, usize, usize, usize, usize)
    ) -> bool {
        let changes = history(&steps);
        let seen_of = |listed: usize, seen: usize| {
            let listed = listed % (changes.len() + 1);
            (listed, listed + seen % (changes.len() + 1 - listed))
        };
        let nodes = [(cuts.0, cuts.1), (cuts.2, cuts.3), (cuts.4, cuts.5)];
        let nodes = nodes.map(|(listed, seen)| seen_of(listed, seen));
        let mut known = 0;
        let mut previous = StoreMirror::default();
        nodes.into_iter().all(|(listed, seen)| {
            let mut mirror = restarted_mirror(&changes, listed, seen);
            mirror.apply_update(previous.update_after(mirror.complete_to()));
            known = known.max(seen);
            previous = mirror;
            keys(&previous) == expected_items(&changes[..known]) && previous.verify().is_ok()
        })
    }

    /// A mirror that gets the history from a peer and by changes, with some changes repeated, ends
    /// in the state of the store, and a late update from the peer does not change it.
    fn mirrors_converge_to_the_store(steps: Vec<u8>, cut: usize, repeated: Vec<usize>) -> bool {
        let changes = history(&steps);
        let cut = cut % (changes.len() + 1);
        let mut peer = StoreMirror::default();
        let (early, late) = changes.split_at(cut);
        peer.apply_batch(early.to_vec(), revision(cut as u64));
        let mut mirror = StoreMirror::default();
        mirror.apply_update(peer.update_after(revision(0)));
        mirror.apply_batch(late.to_vec(), revision(changes.len() as u64));
        for index in repeated {
            if let Some(change) = changes.get(index % changes.len().max(1)) {
                mirror.apply(change.clone());
            }
        }
        // A late update from the peer changes nothing.
        let before = mirror.complete_to();
        mirror.apply_update(peer.update_after(revision(0)));
        keys(&mirror) == expected_items(&changes)
            && mirror.complete_to() == before
            && mirror.verify().is_ok()
    }
}
