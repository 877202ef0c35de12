//! What the operators' page shows can be used as it stands.

use model::parse_config;

const PAGE: &str = include_str!("../../../docs/operators.md");

/// Blocks of `language` in the page.
fn blocks(language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    let blocks = PAGE.split(&fence).skip(1);
    blocks
        .filter_map(|rest| rest.split("```").next().map(str::to_owned))
        .collect()
}

#[test]
fn operators_page_examples_parse() {
    let blocks = blocks("toml");
    assert_eq!(blocks.len(), 2, "one example for each deployment");
    for block in blocks {
        let config = parse_config(&block).unwrap_or_else(|problems| {
            panic!("{problems:?} in {block}");
        });
        assert!(config.classes.len() >= 3);
        assert_eq!(config.models.len(), 1);
    }
}

#[test]
fn operators_page_names_the_events_of_control() {
    let sources = [
        include_str!("../../control/src/node.rs"),
        include_str!("../../control/src/api/config.rs"),
        include_str!("../../control/src/orders/driver.rs"),
        include_str!("../../peer/src/view_watch.rs"),
        include_str!("../../peer/src/pause_detector.rs"),
    ];
    for source in sources {
        // What is logged at debug level is for developers.
        let alarms = ["info!(", "warn!(", "error!("];
        let calls = alarms.iter().flat_map(|alarm| source.split(alarm).skip(1));
        for call in calls {
            let Some((_, rest)) = call.split_once("event=") else {
                continue;
            };
            let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
            let event = &rest[..end.unwrap_or(rest.len())];
            assert!(
                PAGE.contains(&format!("`{event}")),
                "{event} is not explained"
            );
        }
    }
}
