//! Splitting a byte stream at event boundaries.

use bytes::Bytes;
use quickcheck::quickcheck;

use redwingrill_gateway::forward::EventSplitter;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Framing;

fn stream(events: u64) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

quickcheck! {
    /// However a stream is cut into pieces, the output has the same bytes, in complete events.
    fn splitting_preserves_the_stream(events: u8, cuts: Vec<usize>) -> bool {
        let whole = stream(u64::from(events));
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (whole.len() + 1)).collect();
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::after(None, &ByteBudget::unlimited());
        let mut output = String::new();
        for pair in cuts.windows(2) {
            let piece = Bytes::copy_from_slice(&whole.as_bytes()[pair[0]..pair[1]]);
            let events = splitter.push(piece).expect("the ids increase");
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            output.push_str(std::str::from_utf8(&events).expect("the events are UTF-8"));
        }
        let last_id = (events > 0).then_some(u64::from(events));
        output == whole && splitter.take_incomplete().is_empty() && splitter.last_id() == last_id
    }
}

#[test]
fn incomplete_event_is_not_emitted() {
    let mut splitter = EventSplitter::after(Some(4), &ByteBudget::unlimited());
    let events =
        splitter.push(Bytes::from("id: 5\ndata: a\n\nid: 6\nda")).expect("the ids increase");
    assert_eq!(events, "id: 5\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(5));
    assert_eq!(splitter.take_incomplete(), "id: 6\nda");
}

#[test]
fn events_with_crlf_are_held_until_the_stream_ends() {
    let mut splitter = EventSplitter::after(None, &ByteBudget::unlimited());
    let events = splitter.push(Bytes::from("id: 1\r\ndata: a\r\n\r\n")).expect("ids increase");
    assert_eq!(events, "id: 1\r\ndata: a\r\n\r\n");
    let cut = ["id: 2\r\ndata: b\r", "\n\r", "\nid: 3\r\nda", "ta: c\r\n\r\n"];
    let mut output = Vec::new();
    for piece in cut {
        output.push(splitter.push(Bytes::from(piece)).expect("ids increase"));
    }
    assert_eq!(output, ["", "", "id: 2\r\ndata: b\r\n\r\n", "id: 3\r\ndata: c\r\n\r\n"]);
    assert_eq!(splitter.last_id(), Some(3));
    assert_eq!(splitter.finish(Framing::Connection).expect("the stream is whole"), "");
}

struct EndCase {
    stream: &'static str,
    framing: Framing,
    is_whole: bool,
}

const fn end(stream: &'static str, framing: Framing, is_whole: bool) -> EndCase {
    EndCase { stream, framing, is_whole }
}

#[test]
fn stream_that_is_cut_is_taken_as_whole() {
    let cases = [
        end("", Framing::Chunked, true),
        end("", Framing::Length, true),
        end("", Framing::Connection, false),
        end(": comment\n\n", Framing::Connection, false),
        end("id: 1\ndata: a\n\n", Framing::Connection, true),
        end("id: 1\r\ndata: a\r\n\r\n", Framing::Connection, true),
        end("id: 1\rdata: a\r\r", Framing::Connection, true),
        end("id: 1\ndata: a\n\nid", Framing::Connection, false),
        end("id: 1\ndata: a\n\nid", Framing::Chunked, false),
        end("id: 1\ndata: a\n", Framing::Connection, false),
        end("id: 1\r\ndata: a\r\n", Framing::Connection, false),
    ];
    for case in cases {
        let mut splitter = EventSplitter::after(None, &ByteBudget::unlimited());
        splitter.push(Bytes::from(case.stream)).expect("the ids increase");
        let is_whole = splitter.finish(case.framing).is_ok();
        assert_eq!(is_whole, case.is_whole, "{:?} by {}", case.stream, case.framing);
    }
}

#[test]
fn text_that_is_no_event_is_passed_on() {
    for (text, is_event) in [
        ("HTTP/1.1 500 Internal Server Error\r\n\r\n{}\n\n", false),
        ("{\"error\":\"none\"}\n\n", false),
        ("id: 5\ndata: a\n\nService Unavailable\n\n", false),
        ("content-type: text/plain\n\n", false),
        ("x-weight-versions: 3\nid: 5\ndata: a\n\n", true),
        (": comment\r\n\r\nevent: e\r\nid: 5\r\n\r\n", true),
        ("\n\n\nretry: 5\n\n", true),
    ] {
        let mut splitter = EventSplitter::after(Some(4), &ByteBudget::unlimited());
        assert_eq!(splitter.push(Bytes::from(text)).is_ok(), is_event, "{text:?}");
    }
}

#[test]
fn non_increasing_event_id_is_an_error() {
    for ids in ["id: 4\n\n", "id: 5\n\nid: 5\n\n", "id: 6\n\nid: 5\n\n"] {
        let mut splitter = EventSplitter::after(Some(4), &ByteBudget::unlimited());
        assert!(splitter.push(Bytes::from(ids)).is_err(), "{ids:?}");
    }
}

/// An upstream that sends bytes without an end of an event fills the buffers of the node.
#[test]
fn event_without_end_takes_the_room_of_other_streams() {
    let budget = ByteBudget::new(1 << 20);
    let piece = Bytes::from(vec![b'x'; 16 << 10]);
    let endless = (0..200).map(|_| EventSplitter::after(None, &budget));
    let mut endless: Vec<EventSplitter> = endless.collect();
    for _ in 0..64 {
        // One that is refused closes its connection, which gives its room back.
        endless.retain_mut(|splitter| splitter.push(piece.clone()).is_ok());
        let mut sound = EventSplitter::after(None, &budget);
        assert_eq!(sound.push(Bytes::from("id: 1\nda")), Ok(Bytes::new()));
        assert_eq!(sound.push(Bytes::from("ta: a\n\n")), Ok(Bytes::from("id: 1\ndata: a\n\n")));
        assert!(budget.used_bytes() <= budget.limit_bytes());
    }
    drop(endless);
    assert_eq!(budget.used_bytes(), 0);
}
