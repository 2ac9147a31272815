//! Property tests of the event parser.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use redwingrill_stream::Chunk;
use redwingrill_stream::SseError;
use redwingrill_stream::SseEvent;
use redwingrill_stream::SseParser;
use redwingrill_stream::Transcript;

const LIMIT_BYTES: usize = 64;
const SIZE: usize = 200;
const SEED: u64 = 7;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED)).tests(1_000).quickcheck(property);
}

fn parse(parts: &[&[u8]]) -> Result<Vec<SseEvent>, SseError> {
    let mut parser = SseParser::new(LIMIT_BYTES);
    let mut events = Vec::new();
    for part in parts {
        parser.push(part, &mut events)?;
    }
    Ok(events)
}

/// Maps each byte to a token of the event format, so that random input often contains events.
fn sse_like(bytes: &[u8]) -> Vec<u8> {
    const TOKENS: &[&[u8]] =
        &[b"data: ", b"data:", b"id: ", b"\n", b"\r\n", b"\r", b"\n\n", b"7", b"x", b":", b"\xff"];
    bytes.iter().flat_map(|&byte| TOKENS[usize::from(byte) % TOKENS.len()]).copied().collect()
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    fn property(bytes: Vec<u8>, cut: usize) -> bool {
        let bytes = sse_like(&bytes);
        let (head, tail) = bytes.split_at(cut % (bytes.len() + 1));
        let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        let whole = parse(&[&bytes]);
        whole == parse(&[head, tail]) && whole == parse(&single_bytes)
    }
    check(property as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn events_round_trip() {
    fn property(events: Vec<(u64, u8)>) -> bool {
        let events: Vec<SseEvent> = events
            .into_iter()
            .map(|(id, data)| SseEvent { id: Some(id), data: data.to_string() })
            .collect();
        let text: String = events
            .iter()
            .map(|event| format!("id: {}\ndata: {}\n\n", event.id.unwrap_or(0), event.data))
            .collect();
        parse(&[text.as_bytes()]) == Ok(events)
    }
    check(property as fn(Vec<(u64, u8)>) -> bool);
}

#[test]
fn events_above_the_limit_are_rejected() {
    let long = format!("data: {}\n\n", "x".repeat(LIMIT_BYTES));
    assert_eq!(parse(&[long.as_bytes()]), Err(SseError::TooLong { limit_bytes: LIMIT_BYTES }));
}

#[test]
fn accepted_data_is_always_a_chunk() {
    fn property(data: String, id: Option<u64>) -> bool {
        let mut transcript = Transcript::new("answer", "req-0", true);
        let accepted = transcript.accept(&SseEvent { id, data: data.clone() }).is_ok();
        !accepted || Chunk::parse(&data).is_some() || id.is_some_and(|id| id == 0)
    }
    check(property as fn(String, Option<u64>) -> bool);
}
