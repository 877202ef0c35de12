//! Checks that the operations page for on-call engineers names every metric and
//! every log event above the debug level. An engineer who meets an event that the
//! page lacks would have to read the source.

use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Reads all Rust source files below a folder and appends their contents to `texts`.
fn collect_sources(folder: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, texts);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(fs::read_to_string(path).unwrap());
        }
    }
}

fn all_sources() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut texts = Vec::new();
    for folder in ["crates/node/src", "platform/src"] {
        collect_sources(&root.join(folder), &mut texts);
    }
    let log_queue = root.join("crates/process/src/log_queue.rs");
    texts.push(fs::read_to_string(log_queue).unwrap());
    texts
}

/// Returns the names of the events that are logged above the debug level.
fn events() -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for text in all_sources() {
        // `log_queue.rs` reports dropped lines without a `log::` call: it assigns the
        // line to a variable `report`.
        for call in text
            .split("log::")
            .skip(1)
            .chain(text.split("report = ").skip(1))
        {
            if call.starts_with("debug!") {
                continue;
            }
            let Some((before, rest)) = call.split_once("event=") else {
                continue;
            };
            // A statement ends before the event, so the event belongs to a later call.
            if before.contains(';') {
                continue;
            }
            let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
            events.insert(rest[..end.unwrap_or(rest.len())].to_owned());
        }
    }
    events
}

#[test]
fn operations_page_names_every_event() {
    let events = events();
    assert!(events.len() > 50, "{events:?}");
    for event in events {
        assert!(
            PAGE.contains(&format!("`{event}`")),
            "{event} is not on the page"
        );
    }
}

#[test]
fn operations_page_names_every_metric() {
    let metrics = concat!(
        include_str!("../src/metrics.rs"),
        include_str!("../src/quota_metrics.rs")
    );
    let mut count = 0;
    for name in metrics
        .split('"')
        .filter(|text| text.contains("redwingtack."))
    {
        if name == "redwingtack.node" {
            continue;
        }
        count += 1;
        let exported = name.replace('.', "_");
        assert!(PAGE.contains(&exported), "{exported} is not on the page");
    }
    assert!(count > 15, "{count}");
}
