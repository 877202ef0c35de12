//! Validation of uploaded files and their split into segments and chunks.

use jobs::{CHUNK_MAX_ITEMS, FileSummary, InputError, InputSplitter, Segment};
use proptest::prelude::*;

fn line(index: usize, padding: usize) -> String {
    let padding = "x".repeat(padding);
    format!(r#"{{"custom_id":"i{index}","body":{{"model":"m","padding":"{padding}"}}}}"#)
}

/// Splits `content`, pushed in pieces of `piece_bytes` bytes.
fn split(content: &str, piece_bytes: usize) -> Result<(Vec<Segment>, FileSummary), InputError> {
    let mut splitter = InputSplitter::new(7);
    let mut segments = Vec::new();
    for piece in content.as_bytes().chunks(piece_bytes.max(1)) {
        splitter.push(piece)?;
        segments.extend(splitter.take_segments());
    }
    let mut summary = splitter.finish()?;
    segments.append(&mut summary.remaining_segments);
    Ok((segments, summary))
}

#[track_caller]
fn check_error(content: &str, expected: &str) {
    let error = split(content, 16).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn splitter_rejects_invalid_files() {
    let (first, second) = (line(1, 0), line(2, 0));
    check_error("", "the file contains no items");
    check_error(" \n\n", "the file contains no items");
    check_error(
        &format!("{first}\n{second}\n{first}"),
        "lines 1 and 3 have the same custom_id",
    );
    check_error(
        &format!("{first}\n{{}}"),
        "line 2: custom_id is missing or empty",
    );
}

#[test]
fn splitter_bounds_chunks_and_segments() {
    let lines: Vec<_> = (0..2_000).map(|index| line(index, 3_000)).collect();
    let (segments, summary) = split(&lines.join("\n"), 65_536).unwrap();
    assert_eq!(summary.items, 2_000);
    assert!(segments.len() > 1);
    for chunk in &summary.manifest.chunks {
        assert!((1..=CHUNK_MAX_ITEMS).contains(&chunk.items));
    }
    let longest = segments.iter().map(|segment| segment.content.len()).max();
    assert!(longest < Some(4 << 20));
}

/// A last line without a line feed can complete a segment. That segment must not
/// be lost.
#[test]
fn splitter_keeps_segment_that_last_line_completes() {
    let content = [line(0, 10), line(1, 300_000)].join("\n");
    let (segments, summary) = split(&content, 65_536).unwrap();
    let joined: Vec<u8> = segments.iter().flat_map(|s| s.content.clone()).collect();
    assert!(joined == content.as_bytes());
    assert_eq!(summary.segments as usize, segments.len());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn splitter_keeps_every_byte_and_item(
        paddings in prop::collection::vec(0_usize..40_000, 1..150),
        piece_bytes in 1_usize..70_000,
        blank_lines in any::<bool>(),
    ) {
        let lines: Vec<_> = paddings.iter().enumerate().map(|(i, p)| line(i, *p)).collect();
        let content = lines.join(if blank_lines { "\n\n" } else { "\n" });
        let (segments, summary) = split(&content, piece_bytes).unwrap();
        let joined: Vec<u8> = segments.iter().flat_map(|s| s.content.clone()).collect();
        prop_assert!(joined == content.as_bytes());
        let mut found_lines = Vec::new();
        for chunk in &summary.manifest.chunks {
            let segment = &segments[chunk.segment as usize].content;
            let bytes = &segment[chunk.start_byte as usize..chunk.end_byte as usize];
            let text = std::str::from_utf8(bytes).unwrap();
            let chunk_lines: Vec<_> = text
                .lines()
                .filter(|l| !l.is_empty())
                .map(str::to_owned)
                .collect();
            prop_assert_eq!(chunk_lines.len(), chunk.items as usize);
            found_lines.extend(chunk_lines);
        }
        prop_assert_eq!(found_lines, lines);
    }
}
