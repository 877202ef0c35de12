//! Tests of the parser of the scenario language.

use scenario::parse_script;

fn assert_parse_error(text: &str, line: usize, message: &str) {
    let error = parse_script(text).expect_err("the script must be rejected");
    assert_eq!((error.line, error.message.as_str()), (line, message));
}

#[test]
fn parse_script_skips_blank_lines_and_comments() {
    let script = "# a comment\n\nplatform lag=500ms\n  wait 2s\n";
    assert!(parse_script(script).is_ok());
}

#[test]
fn parse_script_invalid_line_reports_number_and_reason() {
    let cases = [
        ("platform\nfly away", 2, "unknown command \"fly\""),
        ("start entry", 1, "an instance is missing"),
        ("engine e1", 1, "domain= is missing"),
        ("platform now", 1, "unexpected argument \"now\""),
        ("platform speed=3", 1, "unexpected argument speed="),
        ("wait 3m", 1, "\"3m\" is not a duration such as 250ms or 4s"),
        (
            "kill reactor r1",
            1,
            "\"reactor\" is not control, entry, batch or upstream",
        ),
        (
            "repeats at_most=few",
            1,
            "at_most=few is not a valid number",
        ),
        ("fault platform melt", 1, "unknown kind of fault \"melt\""),
        ("engine e1 flags=\"--a", 1, "a double quote is not closed"),
    ];
    for (text, line, message) in cases {
        assert_parse_error(text, line, message);
    }
}
