//! The documentation for callers agrees with the table of error kinds.

use model::ErrorKind;

const PAGE: &str = include_str!("../../../docs/callers.md");
/// Kinds that are never returned to callers.
const KINDS_NOT_RETURNED: [ErrorKind; 4] = [
    ErrorKind::ConfigConflict,
    ErrorKind::PeerVersion,
    ErrorKind::Cancelled,
    ErrorKind::Stopping,
];

#[test]
fn callers_page_has_every_code_with_its_status_and_ran() {
    for kind in ErrorKind::ALL {
        if KINDS_NOT_RETURNED.contains(&kind) {
            continue;
        }
        let answer = kind.answer();
        let code = format!("`{}`", answer.code);
        let row = PAGE
            .lines()
            .find(|line| line.starts_with('|') && line.contains(&code));
        let row = row.unwrap_or_else(|| panic!("{code} is missing"));
        let status = answer.status.to_string();
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        assert!(cells[2].starts_with(&status), "{row}");
        assert_eq!(cells[3], answer.ran.as_str(), "{row}");
    }
}
