//! Checks that the examples of the operators' page are valid and that the page
//! explains the events that the control program logs.

use model::parse_config;

const PAGE: &str = include_str!("../../../docs/operators.md");

/// Returns the fenced code blocks of `language` in the page.
fn code_blocks(language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    let blocks = PAGE.split(&fence).skip(1);
    blocks
        .filter_map(|rest| rest.split("```").next().map(str::to_owned))
        .collect()
}

#[test]
fn operators_page_examples_parse() {
    let blocks = code_blocks("toml");
    assert_eq!(
        blocks.len(),
        2,
        "expected one example for each of the two deployments"
    );
    for block in blocks {
        let config = parse_config(&block).unwrap_or_else(|problems| {
            panic!("{problems:?} in {block}");
        });
        assert!(config.classes.len() >= 3);
        assert_eq!(config.models.len(), 1);
    }
}

#[test]
fn operators_page_explains_events_of_control() {
    let sources = [
        include_str!("../../control/src/node.rs"),
        include_str!("../../control/src/api/config.rs"),
        include_str!("../../control/src/orders/driver.rs"),
        include_str!("../../peer/src/view_watch.rs"),
        include_str!("../../peer/src/pause_detector.rs"),
    ];
    for source in sources {
        // Debug logs are meant for developers, so the page need not explain them.
        let log_macros = ["info!(", "warn!(", "error!("];
        let calls = log_macros
            .iter()
            .flat_map(|log_macro| source.split(log_macro).skip(1));
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
