//! Property tests of the messages of the etcd gateway.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use redwingrill_etcd::wire::Base64Bytes;
use redwingrill_etcd::wire::DecimalString;
use redwingrill_etcd::wire::KeyValue;
use redwingrill_etcd::wire::RangeResponse;
use redwingrill_etcd::wire::Streamed;
use redwingrill_etcd::wire::TxnResponse;
use redwingrill_etcd::wire::WatchEvent;
use redwingrill_etcd::wire::WatchResponse;
use redwingrill_etcd::wire::prefix_end;
use redwingrill_ports::Change;
use redwingrill_ports::Entry;
use redwingrill_ports::Revision;

const SIZE: usize = 100;
const SEED: u64 = 13;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED)).tests(1_000).quickcheck(property);
}

#[test]
fn entries_round_trip_through_json() {
    fn property(key: String, value: Vec<u8>, revision: u32) -> bool {
        let mod_revision = DecimalString(revision.into());
        let kv =
            KeyValue { key: key.as_str().into(), value: Base64Bytes(value.clone()), mod_revision };
        let text = serde_json::to_string(&kv).expect("messages always serialize");
        let decoded: KeyValue = serde_json::from_str(&text).expect("an encoded message decodes");
        let expected = Entry { key, value: value.into(), revision: Revision(revision.into()) };
        Entry::try_from(decoded) == Ok(expected)
    }
    check(property as fn(String, Vec<u8>, u32) -> bool);
}

#[test]
fn watch_event_converts_only_if_valid() {
    fn property(kind: Option<String>, key: Vec<u8>, revision: i64) -> bool {
        let mod_revision = DecimalString(revision);
        let kv = KeyValue { key: Base64Bytes(key.clone()), mod_revision, ..Default::default() };
        let is_known = kind.as_deref().is_none_or(|kind| kind == "PUT" || kind == "DELETE");
        let is_valid = is_known && revision >= 0 && std::str::from_utf8(&key).is_ok();
        Change::try_from(WatchEvent { kind, kv }).is_ok() == is_valid
    }
    check(property as fn(Option<String>, Vec<u8>, i64) -> bool);
}

#[test]
fn parsing_arbitrary_text_does_not_panic() {
    fn property(text: String) -> bool {
        // The test fails only by a panic.
        let _range = serde_json::from_str::<RangeResponse>(&text).is_ok();
        let _txn = serde_json::from_str::<TxnResponse>(&text).is_ok();
        let _watch = serde_json::from_str::<Streamed<WatchResponse>>(&text).is_ok();
        true
    }
    check(property as fn(String) -> bool);
}

#[test]
fn prefix_end_bounds_exactly_the_keys_with_the_prefix() {
    fn property(prefix: String, key: String) -> bool {
        let end = prefix_end(&prefix).0;
        let is_unbounded = end == [0];
        let is_inside =
            key.as_bytes() >= prefix.as_bytes() && (is_unbounded || key.as_bytes() < &end[..]);
        prefix.is_empty() || is_inside == key.starts_with(&prefix)
    }
    check(property as fn(String, String) -> bool);
}
