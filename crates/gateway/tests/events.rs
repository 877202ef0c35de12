//! Splitting streams into events, independently of how the bytes are divided
//! into chunks.

use gateway::{EventError, EventSplitter};
use proptest::prelude::*;

fn encoded_events(first: u64, count: u64) -> Vec<u8> {
    (first..first + count)
        .flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes())
        .collect()
}

fn take_events(splitter: &mut EventSplitter) -> Vec<u64> {
    std::iter::from_fn(|| splitter.next_event().unwrap())
        .map(|event| event.id)
        .collect()
}

proptest! {
    #[test]
    fn next_event_independent_of_chunk_boundaries(cuts in prop::collection::vec(0_usize..200, 0..8)) {
        let bytes = encoded_events(1, 6);
        let mut ends: Vec<_> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        ends.push(bytes.len());
        ends.sort_unstable();
        let mut splitter = EventSplitter::new();
        let mut ids = Vec::new();
        let mut start = 0;
        for end in ends {
            splitter.push(&bytes[start..end]);
            ids.extend(take_events(&mut splitter));
            start = end;
        }
        prop_assert_eq!(ids, vec![1, 2, 3, 4, 5, 6]);
        prop_assert!(!splitter.has_partial_event());
    }
}

#[test]
fn next_event_withholds_partial_event() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(take_events(&mut splitter), [1]);
    assert!(splitter.has_partial_event());
}

#[test]
fn next_event_gap_is_a_lasting_error() {
    let mut splitter = EventSplitter::new().with_last_id(Some(4));
    splitter.push(&encoded_events(6, 2));
    let expected = Err(EventError::OutOfOrder { previous: 4, id: 6 });
    assert_eq!(splitter.next_event(), expected);
    assert_eq!(splitter.next_event(), expected);
}

#[test]
fn next_event_without_id_is_an_error() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"data: noise\n\n");
    assert_eq!(splitter.next_event(), Err(EventError::NoId));
}

#[test]
fn data_joins_data_lines_and_skips_other_fields() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"redwingtack-weight-versions: 3\nid: 9\ndata: a\ndata:b\n\n");
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(event.data(), "a\nb");
    assert!(event.bytes.starts_with(b"redwingtack-weight"));
}

/// An event that arrives byte by byte and never ends must not be searched from its start
/// each time.
#[test]
fn next_event_of_endless_event_takes_linear_time() {
    let started = std::time::Instant::now();
    let mut splitter = EventSplitter::new();
    let mut byte_count = 0;
    while splitter.next_event() != Err(EventError::TooLong) {
        splitter.push(b"x");
        byte_count += 1;
    }
    assert!((100_000..1_000_000).contains(&byte_count), "{byte_count}");
    assert!(started.elapsed() < std::time::Duration::from_secs(5));
}
