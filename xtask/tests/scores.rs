//! Comparison of days that were played with a baseline.

use xtask::scores::{Comparison, compare, format_scores, parse_days, parse_scores};

const OUTPUT: &str = "\
3 days, 2 at a time
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                  9/9   1.00  0.919  0.994   0.000  0.000  worst windows 0.97
trouble-1                9/9   1.00  0.756  0.905   0.001  0.001  worst windows 0.62
GATE passed on the days played; the full score decides
";

#[test]
fn parse_days_reads_worth_of_each_day() {
    let days = [
        ("quiet-1".to_owned(), 0.919),
        ("trouble-1".to_owned(), 0.756),
    ];
    assert_eq!(parse_days(OUTPUT), days);
    assert!(parse_days("no table").is_empty());
}

#[test]
fn compare_flags_a_loss_only() {
    let baseline = parse_scores("s quiet-1 0.93\ns trouble-1 0.80\n").unwrap();
    let comparisons = compare("s", &parse_days(OUTPUT), &baseline);
    let losses: Vec<_> = comparisons.iter().map(Comparison::is_loss).collect();
    assert_eq!(losses, [false, true]);
    assert!(comparisons[1].to_string().ends_with("LOSS"));
    let unknown = compare("t", &parse_days(OUTPUT), &baseline);
    assert!(unknown.iter().all(|day| day.before.is_none()));
}

#[test]
fn parse_scores_malformed_line_is_named() {
    let scores = parse_scores("# comment\ns quiet-1 0.930\n").unwrap();
    assert_eq!(parse_scores(&format_scores(&scores)).unwrap(), scores);
    let error = parse_scores("s quiet-1 high").unwrap_err();
    assert!(error.contains("s quiet-1 high"));
}
