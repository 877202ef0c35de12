//! `redwingtack explain` on logs of several processes.

use std::{env, fs, path::PathBuf, process::Command};

/// Logs in a folder of their own, removed at the end.
struct Logs {
    folder: PathBuf,
}

impl Logs {
    fn new(test: &str, files: &[(&str, &str)]) -> Self {
        let folder = env::temp_dir().join(format!("explain-{test}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        for (name, text) in files {
            fs::write(folder.join(name), text).unwrap();
        }
        Self { folder }
    }

    /// Lines printed for an id, and the exit code.
    fn explain(&self, id: &str) -> (Vec<String>, i32) {
        let files = fs::read_dir(&self.folder).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_redwingtack"))
            .arg("explain")
            .arg(id)
            .args(files.map(|file| file.unwrap().path()))
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let lines = text.lines().map(str::to_owned).collect();
        (lines, output.status.code().unwrap())
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        // A folder that stays in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

const A: &str = "\
time=2026-10-09T15:30:01.000+00:00 level=info event=job_accepted job=j1 items=2 version=10
time=2026-10-09T15:30:01.100+00:00 level=info event=item_sent job=j1 item=i1 upstream=u1
time=2026-10-09T15:30:01.200+00:00 level=info event=request_sent request=r1 upstream=u1
time=2026-10-09T15:30:02.000+00:00 level=info event=results_stored job=j1 results=1 version=20
time=2026-10-09T15:30:03.000+00:00 level=info event=job_handed_back job=j1 version=30
time=2026-10-09T15:30:04.000+00:00 level=info event=job_accepted job=j2 items=1 version=40
";
/// Its clock is five seconds behind.
const B: &str = "\
time=2026-10-09T15:29:58.100+00:00 level=info event=job_taken_over job=j1 version=31
time=2026-10-09T15:29:58.200+00:00 level=info event=item_sent job=j1 item=i2 upstream=u2
";

fn events(lines: &[String]) -> Vec<&str> {
    lines
        .iter()
        .filter_map(|line| line.split(' ').find_map(|word| word.strip_prefix("event=")))
        .collect()
}

#[test]
fn explain_job_across_processes_whose_clocks_differ() {
    let logs = Logs::new("job", &[("a.log", A), ("b.log", B)]);
    let (lines, code) = logs.explain("j1");
    assert_eq!(code, 0);
    assert_eq!(
        events(&lines),
        [
            "job_accepted",
            "item_sent",
            "results_stored",
            "job_handed_back",
            "job_taken_over",
            "item_sent"
        ]
    );
    assert!(lines.last().unwrap().contains("clock of b corrected"));
}

#[test]
fn explain_item_with_what_happened_to_its_job() {
    let logs = Logs::new("item", &[("a.log", A), ("b.log", B)]);
    let (lines, _) = logs.explain("i2");
    let told = events(&lines);
    assert!(told.contains(&"job_taken_over"), "{told:?}");
    let sent = lines.iter().filter(|line| line.contains("item_sent"));
    assert_eq!(sent.count(), 1, "only this item's own runs");
}

#[test]
fn explain_lines_with_the_prefix_of_a_collector() {
    let text = "  1.2 front-a-1 time=2026-10-09T15:30:01.200+00:00 level=warn \
                event=request_unanswered request=r9 outcome=saturated\nother output\n";
    let logs = Logs::new("prefix", &[("all.log", text)]);
    let (lines, code) = logs.explain("r9");
    assert_eq!(code, 0);
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("front-a-1"), "{}", lines[0]);
}

#[test]
fn explain_unknown_id() {
    let logs = Logs::new("unknown", &[("a.log", A)]);
    assert_eq!(logs.explain("r77"), (Vec::new(), 1));
}

/// A process that was killed says nothing; that it started again does.
#[test]
fn explain_request_whose_process_was_killed() {
    let text = "\
time=2026-10-09T15:30:00.000+00:00 level=info event=started instance=a
time=2026-10-09T15:30:01.000+00:00 level=info event=request_sent request=r1 upstream=u1
time=2026-10-09T15:30:02.000+00:00 level=info event=started instance=a
time=2026-10-09T15:30:20.000+00:00 level=info event=stopping grace_ms=8000
";
    let logs = Logs::new("killed", &[("a.log", text)]);
    let (lines, _) = logs.explain("r1");
    assert_eq!(events(&lines), ["request_sent", "started"]);
}
