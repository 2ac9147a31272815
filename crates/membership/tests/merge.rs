//! Properties of merging (commutative, idempotent, monotonic), and decoding of untrusted bytes
//! without panics.

use std::net::SocketAddr;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use redwingrill_membership::Digest;
use redwingrill_membership::EngineLevels;
use redwingrill_membership::Frame;
use redwingrill_membership::HeavyHitters;
use redwingrill_membership::Item;
use redwingrill_membership::ItemKind;
use redwingrill_membership::Link;
use redwingrill_membership::MemberInfo;
use redwingrill_membership::MemberRecord;
use redwingrill_membership::MemberState;
use redwingrill_membership::MemberTable;
use redwingrill_membership::NodeKey;
use redwingrill_membership::Payload;
use redwingrill_membership::Version;
use redwingrill_membership::WatchList;

#[derive(Clone, Debug)]
struct AnyItem(NodeKey, ItemKind, Item);

impl Arbitrary for AnyItem {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = *g.choose(&ItemKind::ALL).expect("the list of kinds is not empty");
        let version = Version { epoch: u32::arbitrary(g) % 3, sequence: u32::arbitrary(g) % 4 };
        let payload = vec![u8::arbitrary(g) % 3].into();
        Self(NodeKey(u64::arbitrary(g) % 3), kind, Item { version, payload })
    }
}

#[derive(Clone, Debug)]
struct AnyRecord(MemberRecord);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let states =
            [MemberState::Live, MemberState::Leaving, MemberState::Suspect, MemberState::Dead];
        let port = u16::arbitrary(g) % 2;
        Self(MemberRecord {
            incarnation: u32::arbitrary(g) % 3,
            state: *g.choose(&states).expect("the list of states is not empty"),
            boot: u32::arbitrary(g) % 2,
            info: MemberInfo {
                name: format!("entry-{}", u8::arbitrary(g) % 2),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                failure_domain: "domain-0".to_owned(),
            },
        })
    }
}

fn digest_of<'a>(items: impl Iterator<Item = &'a AnyItem>) -> Vec<(NodeKey, ItemKind, Item)> {
    let mut digest = Digest::new();
    for AnyItem(origin, kind, item) in items {
        digest.merge(0, *origin, *kind, item.clone());
    }
    digest.iter().map(|(origin, kind, item)| (origin, kind, item.clone())).collect()
}

fn table_of<'a>(records: impl Iterator<Item = &'a AnyRecord>) -> Vec<MemberRecord> {
    let mut table = MemberTable::new();
    for AnyRecord(record) in records {
        table.merge(0, record.clone());
    }
    table.iter().map(|(_, record)| record.clone()).collect()
}

/// Runs a property with a fixed seed.
fn check(property: impl Testable) {
    const SIZE: usize = 60;
    const SEED: u64 = 6;
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED)).tests(300).quickcheck(property);
}

#[test]
fn merge_laws_hold_and_decoding_never_panics() {
    check(item_merge_ignores_order_and_duplicates as fn(Vec<AnyItem>, usize) -> bool);
    check(record_merge_ignores_order_and_duplicates as fn(Vec<AnyRecord>, usize) -> bool);
    check(older_item_never_replaces_newer as fn(Vec<AnyItem>) -> bool);
    check(arbitrary_bytes_do_not_panic_decoding as fn(Vec<u8>) -> bool);
    check(corrupt_frames_do_not_panic_decoding as fn(Vec<AnyItem>, usize, u8) -> bool);
}

fn item_merge_ignores_order_and_duplicates(items: Vec<AnyItem>, cut: usize) -> bool {
    let forward = digest_of(items.iter());
    let backward = digest_of(items.iter().rev());
    let cut = cut % (items.len() + 1);
    let rotated = digest_of(items[cut..].iter().chain(&items[..cut]));
    let twice = digest_of(items.iter().chain(&items));
    forward == backward && forward == rotated && forward == twice
}

fn record_merge_ignores_order_and_duplicates(records: Vec<AnyRecord>, cut: usize) -> bool {
    let forward = table_of(records.iter());
    let backward = table_of(records.iter().rev());
    let cut = cut % (records.len() + 1);
    let rotated = table_of(records[cut..].iter().chain(&records[..cut]));
    let twice = table_of(records.iter().chain(&records));
    forward == backward && forward == rotated && forward == twice
}

fn older_item_never_replaces_newer(items: Vec<AnyItem>) -> bool {
    let mut digest = Digest::new();
    items.into_iter().all(|AnyItem(origin, kind, item)| {
        let before = digest.get(origin, kind).map(|stored| stored.version);
        digest.merge(0, origin, kind, item);
        before <= digest.get(origin, kind).map(|stored| stored.version)
    })
}

fn arbitrary_bytes_do_not_panic_decoding(bytes: Vec<u8>) -> bool {
    let _ = WatchList::decode(&bytes);
    let _ = EngineLevels::decode(&bytes);
    let _ = HeavyHitters::decode(&bytes);
    if let Ok(frame) = postcard::from_bytes::<Frame>(&bytes) {
        let _ = Link::new().read_frame(frame);
    }
    true
}

fn corrupt_frames_do_not_panic_decoding(items: Vec<AnyItem>, offset: usize, value: u8) -> bool {
    let mut digest = Digest::new();
    for AnyItem(origin, kind, item) in items {
        digest.merge(0, origin, kind, item);
    }
    let members = MemberTable::new();
    let local_state = redwingrill_membership::LocalState {
        own_key: NodeKey(9),
        members: &members,
        digest: &digest,
    };
    let frame = Link::new().write_frame(0, local_state);
    let mut bytes = postcard::to_allocvec(&frame).expect("frames are serialisable");
    let offset = offset % bytes.len();
    bytes[offset] = value;
    if let Ok(frame) = postcard::from_bytes::<Frame>(&bytes) {
        let _ = Link::new().read_frame(frame);
    }
    true
}
