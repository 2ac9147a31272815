//! Tests of operations on records, retained outcomes and Idempotency-Keys.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use redwingrill_ledger::AttemptId;
use redwingrill_ledger::FencingNumber;
use redwingrill_ledger::IdempotencyKey;
use redwingrill_ledger::KeyError;
use redwingrill_ledger::KeyHash;
use redwingrill_ledger::KeyTime;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::OutcomeBody;
use redwingrill_ledger::record::Action;
use redwingrill_ledger::record::Claim;
use redwingrill_ledger::record::EarlierRun;
use redwingrill_ledger::record::Operation;
use redwingrill_ledger::record::Permit;
use redwingrill_ledger::record::Record;
use redwingrill_ledger::record::RecordState;
use redwingrill_ledger::record::TakeOver;
use redwingrill_ledger::record::Verdict;
use redwingrill_ledger::record::apply;

const WINDOW_MS: u64 = 10_000;
const NOW_MS: u64 = 100_000;

fn outcome() -> Outcome {
    Outcome::from_response(
        201,
        [("etag", "1"), ("server", "x")].into_iter(),
        Bytes::from_static(b"done"),
    )
}

fn record(state: RecordState) -> Record {
    Record {
        fingerprint: support::fingerprint("pens"),
        attempt: AttemptId(1),
        fencing: FencingNumber(3),
        recorded_at_ms: NOW_MS - 5_000,
        bound_to: Some(Arc::from("shop-1")),
        taken_over: false,
        state,
    }
}

fn claim(body: &str, after_ms: Option<u64>) -> Action {
    let take_over = after_ms.map(|after_ms| TakeOver { after_ms, bind_to: Arc::from("shop-2") });
    let fingerprint = support::fingerprint(body);
    Action::Claim(Claim { fingerprint, window_ms: WINDOW_MS, take_over })
}

fn claimed(fencing: u64, bound_to: Option<&str>) -> Verdict {
    claimed_after(EarlierRun::None, fencing, bound_to)
}

fn claimed_after(earlier_run: EarlierRun, fencing: u64, bound_to: Option<&str>) -> Verdict {
    let bound_to = bound_to.map(Arc::from);
    Verdict::Claimed(Permit { fencing: FencingNumber(fencing), bound_to, earlier_run })
}

struct ApplyCase {
    name: &'static str,
    existing: Option<Record>,
    attempt: u128,
    action: Action,
    verdict: Verdict,
    changes: bool,
}

impl ApplyCase {
    fn new(
        name: &'static str,
        existing: Option<Record>,
        (attempt, action): (u128, Action),
        (verdict, changes): (Verdict, bool),
    ) -> Self {
        Self { name, existing, attempt, action, verdict, changes }
    }
}

fn claim_cases() -> Vec<ApplyCase> {
    use RecordState::Finished;
    use RecordState::Recorded;
    use RecordState::Void;

    let old = Record { recorded_at_ms: NOW_MS - WINDOW_MS - 1, ..record(Finished(outcome())) };
    let unbound = Record { bound_to: None, ..record(Recorded) };
    let finished = || record(Finished(outcome()));
    let case = ApplyCase::new;
    vec![
        case("first claim", None, (2, claim("pens", None)), (claimed(1, None), true)),
        case(
            "first claim, bound to an upstream",
            None,
            (2, claim("pens", Some(1))),
            (claimed(1, Some("shop-2")), true),
        ),
        case(
            "repeated claim by the same attempt",
            Some(record(Recorded)),
            (1, claim("pens", None)),
            (claimed(3, Some("shop-1")), false),
        ),
        case(
            "claim by a withdrawn attempt",
            Some(record(Void)),
            (1, claim("pens", None)),
            (Verdict::Superseded, false),
        ),
        case(
            "claim after the withdrawal of another attempt",
            Some(record(Void)),
            (2, claim("pens", None)),
            (claimed(4, None), true),
        ),
        case(
            "claim of a finished order",
            Some(finished()),
            (2, claim("pens", None)),
            (Verdict::Finished(outcome()), false),
        ),
        case(
            "claim with a different body",
            Some(finished()),
            (2, claim("ink", None)),
            (Verdict::KeyReused, false),
        ),
        case(
            "claim of an expired record",
            Some(old),
            (2, claim("pens", None)),
            (Verdict::Expired, false),
        ),
        case(
            "claim of an unfinished order",
            Some(record(Recorded)),
            (2, claim("pens", None)),
            (Verdict::Unfinished { age_ms: 5_000 }, false),
        ),
        case(
            "unfinished, too recent to take over",
            Some(record(Recorded)),
            (2, claim("pens", Some(5_001))),
            (Verdict::Unfinished { age_ms: 5_000 }, false),
        ),
        case(
            "unfinished, taken over with the same upstream",
            Some(record(Recorded)),
            (2, claim("pens", Some(5_000))),
            (claimed_after(EarlierRun::Possible, 4, Some("shop-1")), true),
        ),
        case(
            "repeated claim by the attempt that took the order over",
            Some(Record { taken_over: true, ..record(Recorded) }),
            (1, claim("pens", Some(5_000))),
            (claimed_after(EarlierRun::Possible, 3, Some("shop-1")), false),
        ),
        case(
            "unfinished, not bound to an upstream",
            Some(unbound),
            (2, claim("pens", Some(5_000))),
            (Verdict::Unfinished { age_ms: 5_000 }, false),
        ),
    ]
}

fn settle_cases() -> Vec<ApplyCase> {
    use RecordState::Finished;
    use RecordState::Recorded;
    use RecordState::Void;

    let finish = || Action::Finish(outcome());
    let withdraw = || Action::Withdraw(support::fingerprint("pens"));
    let taken_over = Record { taken_over: true, ..record(Recorded) };
    let finished = || record(Finished(outcome()));
    let case = ApplyCase::new;
    vec![
        case("finish", Some(record(Recorded)), (1, finish()), (Verdict::Settled, true)),
        case("finish again", Some(finished()), (1, finish()), (Verdict::Settled, false)),
        case(
            "finish by another attempt",
            Some(record(Recorded)),
            (2, finish()),
            (Verdict::Superseded, false),
        ),
        case(
            "finish after withdrawal",
            Some(record(Void)),
            (1, finish()),
            (Verdict::Superseded, false),
        ),
        case("finish without a record", None, (1, finish()), (Verdict::Superseded, false)),
        case("withdraw", Some(record(Recorded)), (1, withdraw()), (Verdict::Settled, true)),
        case("withdraw again", Some(record(Void)), (1, withdraw()), (Verdict::Settled, false)),
        case(
            "withdraw before the claim was written",
            None,
            (1, withdraw()),
            (Verdict::Settled, true),
        ),
        case(
            "withdraw a record of another attempt",
            Some(record(Recorded)),
            (2, withdraw()),
            (Verdict::Superseded, false),
        ),
        case(
            "withdraw a record that was taken over",
            Some(taken_over),
            (1, withdraw()),
            (Verdict::Settled, false),
        ),
        case(
            "withdraw a finished order",
            Some(finished()),
            (1, withdraw()),
            (Verdict::Superseded, false),
        ),
    ]
}

#[test]
fn operations_apply_and_reapply_as_expected() {
    for case in claim_cases().into_iter().chain(settle_cases()) {
        let key = support::order_key("writers", "order-1");
        let attempt = AttemptId(case.attempt);
        let operation = Operation { key, attempt, action: case.action };
        let transition = apply(case.existing.as_ref(), &operation, NOW_MS);
        assert_eq!(transition.verdict, case.verdict, "{}", case.name);
        assert_eq!(transition.change.is_some(), case.changes, "{}", case.name);
        let Some(change) = transition.change else { continue };
        // Applying the operation again changes nothing and gives the same verdict.
        let again = apply(Some(&change), &operation, NOW_MS);
        assert_eq!(again.change, None, "{}", case.name);
        assert_eq!(again.verdict, transition.verdict, "{}", case.name);
    }
}

#[test]
fn withdrawal_rejects_a_claim_that_arrives_later() {
    let key = support::order_key("writers", "order-1");
    let attempt = AttemptId(1);
    let withdraw = Action::Withdraw(support::fingerprint("pens"));
    let withdrawal = Operation { key: key.clone(), attempt, action: withdraw };
    let void = apply(None, &withdrawal, NOW_MS).change;
    let late = Operation { key, attempt, action: claim("pens", None) };
    assert_eq!(apply(void.as_ref(), &late, NOW_MS).verdict, Verdict::Superseded);
}

#[test]
fn retained_body_and_headers_are_bounded() {
    let long = Outcome::from_response(200, std::iter::empty(), Bytes::from(vec![0; 4097]));
    assert_eq!(long.body, OutcomeBody::TooLong { length_bytes: 4097 });
    assert_eq!(outcome().headers, vec![("etag".to_owned(), "1".to_owned())]);
}

struct KeyCase {
    value: &'static str,
    key: Result<&'static str, KeyError>,
}

#[test]
fn idempotency_keys_are_parsed() {
    let cases = [
        KeyCase { value: "\"abc\"", key: Ok("abc") },
        KeyCase { value: " abc ", key: Ok("abc") },
        KeyCase {
            value: "8e03978e-40d5-43dd-bc93-6894a57f9324",
            key: Ok("8e03978e-40d5-43dd-bc93-6894a57f9324"),
        },
        KeyCase { value: "", key: Err(KeyError::Empty) },
        KeyCase { value: "\"\"", key: Err(KeyError::Empty) },
        KeyCase { value: "\"", key: Err(KeyError::BadCharacter) },
        KeyCase { value: "\"abc", key: Err(KeyError::BadCharacter) },
        KeyCase { value: "a b", key: Err(KeyError::BadCharacter) },
        KeyCase { value: "a\\\"b", key: Err(KeyError::BadCharacter) },
        KeyCase { value: "\u{e9}", key: Err(KeyError::BadCharacter) },
    ];
    for case in cases {
        let parsed = IdempotencyKey::parse(case.value.as_bytes());
        let key = parsed.as_ref().map(IdempotencyKey::as_str);
        assert_eq!(key, case.key.as_ref().copied(), "{:?}", case.value);
    }
    assert_eq!(IdempotencyKey::parse(&[b'a'; 256]), Err(KeyError::TooLong));
    assert!(IdempotencyKey::parse(&[b'a'; 255]).is_ok());
}

#[test]
fn only_version_7_uuids_have_a_timestamp() {
    let created_ms = 0x018b_cfe5_6800;
    let timed =
        IdempotencyKey::parse(b"018bcfe5-6800-7abc-8def-0123456789ab").expect("the key is valid");
    let random =
        IdempotencyKey::parse(b"8e03978e-40d5-43dd-bc93-6894a57f9324").expect("the key is valid");
    assert_eq!(timed.created_at_ms(), Some(created_ms));
    assert_eq!(timed.classify_time(WINDOW_MS, created_ms + WINDOW_MS), KeyTime::InWindow);
    assert_eq!(timed.classify_time(WINDOW_MS, created_ms + WINDOW_MS + 1), KeyTime::Expired);
    assert_eq!(timed.classify_time(WINDOW_MS, created_ms - 301_000), KeyTime::InFuture);
    assert_eq!(random.classify_time(WINDOW_MS, 0), KeyTime::NoTimestamp);
}

#[test]
fn parser_does_not_panic_on_random_bytes() {
    let mut random = Gen::from_size_and_seed(300, 7);
    for _ in 0..20_000 {
        let bytes = Vec::<u8>::arbitrary(&mut random);
        if let Ok(key) = IdempotencyKey::parse(&bytes) {
            assert!(key.as_str().bytes().all(|byte| byte.is_ascii_graphic()));
            let _time = key.classify_time(u64::arbitrary(&mut random), u64::arbitrary(&mut random));
        }
        // Text of UUID length with the version digit, to reach the timestamp parser.
        let text: String = String::arbitrary(&mut random).chars().take(36).collect();
        let uuid = format!("{:0<14}7{text:0<21}", text.chars().take(14).collect::<String>());
        if let Ok(key) = IdempotencyKey::parse(uuid.as_bytes()) {
            let _time = key.created_at_ms();
        }
    }
}

#[test]
fn key_hash_depends_on_the_account() {
    let key = |text: &str| IdempotencyKey::parse(text.as_bytes()).expect("the key is valid");
    assert_ne!(KeyHash::of("a", &key("bc")), KeyHash::of("ab", &key("c")));
    assert_ne!(KeyHash::of("a", &key("k")), KeyHash::of("b", &key("k")));
    assert_eq!(KeyHash::of("a", &key("k")), KeyHash::of("a", &key("\"k\"")));
}
