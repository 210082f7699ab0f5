//! Tests of the split of a stream into whole events.

use bytes::Bytes;
use verbenaring_core::path::event::{EventProgress, EventSplitter};
use verbenaring_core::path::framing::AnswerFraming;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda";

/// Guards against an event that is passed on in part, or twice, where the bytes of
/// a stream arrive in other pieces than its events.
#[test]
fn whole_events_only_whatever_the_pieces() {
    for size in 1..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut passed_on = Vec::new();
        for piece in STREAM.as_bytes().chunks(size) {
            let whole = splitter.push(&Bytes::copy_from_slice(piece)).unwrap();
            passed_on.extend_from_slice(&whole.unwrap_or_default());
        }
        let end = STREAM.find("id: 4").unwrap();
        assert_eq!(
            passed_on,
            &STREAM.as_bytes()[..end],
            "pieces of {size} bytes"
        );
        assert_eq!(splitter.last_id(), Some("3"));
        assert_eq!(splitter.take_incomplete(), "id: 4\nda");
    }
}

/// Guards against a splitter that looks at all bytes of an event again for every
/// piece of it: the time for an event that never ends grew with the square of its
/// length.
#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from_static(&[b'x'; 16]);
    let refused = (0..200_000).find(|_| splitter.push(&piece).is_err());
    assert_eq!(refused, Some(65_536));
}

/// Load: a server in trouble sends blank lines without end.
#[test]
fn blank_lines_are_no_progress() {
    let mut progress = EventProgress::default();
    assert_eq!(progress.push(b"\n\n\r\n\n\n"), None);
    assert_eq!(progress.push(b"data: a\n\n\n\n"), Some(9));
    assert_eq!(progress.push(b"\n\n"), None);
}

/// Guards against a stream that is taken for complete at any end of its connection.
#[test]
fn only_a_stream_between_events_is_complete() {
    let ends = |stream: &str, framing| {
        let mut progress = EventProgress::default();
        progress.push(stream.as_bytes());
        progress.position().completes(framing)
    };
    for framing in [
        AnswerFraming::Chunks,
        AnswerFraming::Length,
        AnswerFraming::Connection,
    ] {
        let marked = framing != AnswerFraming::Connection;
        assert!(ends("data: a\n\n", framing));
        assert!(ends("data: a\r\n\r\n\r\n", framing));
        for cut in ["d", "data: a\n", "data: a\r\n\r", "data: a\n\ndata: b"] {
            assert!(!ends(cut, framing), "{cut:?} {framing:?}");
        }
        for empty in ["", "\n", "\r\n\r\n"] {
            assert_eq!(ends(empty, framing), marked, "{empty:?} {framing:?}");
        }
    }
}
