//! Parsing and validation of configuration documents.

use model::parse_config;

const VALID_DOCUMENT: &str = r#"
[[class]]
name = "live-hints"
work = "online"
first_token_ms = 430
between_tokens_ms = 64

[[class]]
name = "clue-bundles"
work = "batch"
complete_within_s = 3600

[[class]]
name = "court-booking"
work = "service"
service = "bookings"
answer_within_ms = 2000

[[model]]
name = "oraculo"
online_class = "live-hints"
batch_class = "clue-bundles"
"#;

fn assert_problems(text: &str, expected: &[(usize, &str)]) {
    let problems = parse_config(text).expect_err("the document is invalid");
    let actual: Vec<_> = problems
        .iter()
        .map(|problem| (problem.line, problem.message.as_str()))
        .collect();
    assert_eq!(actual, expected);
}

#[test]
fn parse_config_valid_document() {
    let config = parse_config(VALID_DOCUMENT).expect("the document is valid");
    assert_eq!(config.classes.len(), 3);
    assert!(
        config
            .class("live-hints")
            .is_some_and(model::Class::is_interactive)
    );
    assert!(config.model_defaults("oraculo").is_some());
    assert!(config.service_class("bookings").is_some());
}

#[test]
fn parse_config_reports_every_problem() {
    assert_problems(
        "[[class]]\nname = \"a b\"\nwork = \"online\"\nfirst_token_ms = 0\n",
        &[
            (
                2,
                "name must be 1 to 64 ASCII letters, digits, '-', '_' or '.'",
            ),
            (4, "first_token_ms must be at least 1"),
            (1, "between_tokens_ms is missing"),
        ],
    );
}

#[test]
fn parse_config_duplicate_class() {
    let class = "[[class]]\nname = \"a\"\nwork = \"batch\"\ncomplete_within_s = 1\n";
    assert_problems(
        &class.repeat(2),
        &[(5, "class \"a\" is defined more than once")],
    );
}

#[test]
fn parse_config_default_class_of_other_work() {
    let text = "[[class]]\nname = \"a\"\nwork = \"batch\"\ncomplete_within_s = 1\n\
                [[model]]\nname = \"m\"\nonline_class = \"a\"\n";
    assert_problems(
        text,
        &[(
            7,
            "online_class must name a class with work = \"online\", got \"a\"",
        )],
    );
}

#[test]
fn parse_config_placement_weight_is_unknown_key() {
    let text = "[[class]]\nname = \"a\"\nwork = \"batch\"\nweight = 3\n";
    let problems = parse_config(text).expect_err("weight is not a key of a class");
    assert_eq!(problems[0].line, 4);
}

#[test]
fn parse_config_customer_limit_of_batch_class() {
    let text = "[[class]]\nname = \"a\"\nwork = \"batch\"\ncomplete_within_s = 1\n\
                customer_requests_per_s = 5\n";
    let message = "customer_requests_per_s does not apply to work = \"batch\"";
    assert_problems(text, &[(5, message)]);
}
