//! Tests of `redwingtack explain` on logs of several processes.

use std::{env, fs, path::PathBuf, process::Command};

/// Log files in a temporary directory that is removed on drop.
struct LogFiles {
    directory: PathBuf,
}

impl LogFiles {
    fn new(test: &str, files: &[(&str, &str)]) -> Self {
        let directory = env::temp_dir().join(format!("explain-{test}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        for (name, text) in files {
            fs::write(directory.join(name), text).unwrap();
        }
        Self { directory }
    }

    /// Returns the lines that `explain` prints for an id, and its exit code.
    fn explain(&self, id: &str) -> (Vec<String>, i32) {
        let files = fs::read_dir(&self.directory).unwrap();
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

impl Drop for LogFiles {
    fn drop(&mut self) {
        // A directory that remains among the temporary files does no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

const LOG_A: &str = "\
time=2026-10-09T15:30:01.000+00:00 level=info event=job_accepted job=j1 items=2 version=10
time=2026-10-09T15:30:01.100+00:00 level=info event=item_sent job=j1 item=i1 upstream=u1
time=2026-10-09T15:30:01.200+00:00 level=info event=request_sent request=r1 upstream=u1
time=2026-10-09T15:30:02.000+00:00 level=info event=results_stored job=j1 results=1 version=20
time=2026-10-09T15:30:03.000+00:00 level=info event=job_handed_back job=j1 version=30
time=2026-10-09T15:30:04.000+00:00 level=info event=job_accepted job=j2 items=1 version=40
";
/// Log of a process whose clock is five seconds behind.
const LOG_B: &str = "\
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
fn explain_job_corrects_clock_offset() {
    let logs = LogFiles::new("job", &[("a.log", LOG_A), ("b.log", LOG_B)]);
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
fn explain_item_includes_lines_about_its_job() {
    let logs = LogFiles::new("item", &[("a.log", LOG_A), ("b.log", LOG_B)]);
    let (lines, _) = logs.explain("i2");
    let events = events(&lines);
    assert!(events.contains(&"job_taken_over"), "{events:?}");
    let sent = lines.iter().filter(|line| line.contains("item_sent"));
    assert_eq!(sent.count(), 1, "expected only the runs of this item");
}

#[test]
fn explain_line_with_collector_prefix_shows_process() {
    let text = "  1.2 front-a-1 time=2026-10-09T15:30:01.200+00:00 level=warn \
                event=request_unanswered request=r9 outcome=saturated\nother output\n";
    let logs = LogFiles::new("prefix", &[("all.log", text)]);
    let (lines, code) = logs.explain("r9");
    assert_eq!(code, 0);
    assert_eq!(lines.len(), 1);
    assert!(lines[0].contains("front-a-1"), "{}", lines[0]);
}

#[test]
fn explain_unknown_id_exits_with_code_1() {
    let logs = LogFiles::new("unknown", &[("a.log", LOG_A)]);
    assert_eq!(logs.explain("r77"), (Vec::new(), 1));
}

/// A process that is killed logs no stop. Its next start, shortly after the last
/// line about the request, shows that it ended.
#[test]
fn explain_request_of_killed_process_includes_its_restart() {
    let text = "\
time=2026-10-09T15:30:00.000+00:00 level=info event=started instance=a
time=2026-10-09T15:30:01.000+00:00 level=info event=request_sent request=r1 upstream=u1
time=2026-10-09T15:30:02.000+00:00 level=info event=started instance=a
time=2026-10-09T15:30:20.000+00:00 level=info event=stopping grace_ms=8000
";
    let logs = LogFiles::new("killed", &[("a.log", text)]);
    let (lines, _) = logs.explain("r1");
    assert_eq!(events(&lines), ["request_sent", "started"]);
}

/// A prompt part that crashes upstreams is followed over requests and instances.
#[test]
fn explain_prompt_part_shows_crashes_and_refusals() {
    let first = "\
time=2026-10-09T15:30:01.000+00:00 level=info event=request_sent request=r1 shared_parts=a1,bad1
time=2026-10-09T15:30:01.100+00:00 level=warn event=upstream_crashed upstream=u1 shared_parts=a1,bad1
time=2026-10-09T15:30:01.200+00:00 level=info event=request_sent request=r2 shared_parts=a1,bad12
";
    let second = "\
time=2026-10-09T15:30:02.000+00:00 level=warn event=prompt_part_quarantined part=bad1 evidence=peer
time=2026-10-09T15:30:03.000+00:00 level=warn event=request_not_placed request=r3 part=bad1
";
    let logs = LogFiles::new("part", &[("a.log", first), ("b.log", second)]);
    let (lines, _) = logs.explain("bad1");
    assert_eq!(
        events(&lines),
        [
            "request_sent",
            "upstream_crashed",
            "prompt_part_quarantined",
            "request_not_placed"
        ]
    );
}

/// A refusal because of a key is followed back to the version that took the key away, or to the
/// loss of the store without which the keys would have been confirmed.
#[test]
fn explain_refused_key_shows_its_cause() {
    let text = "\
time=2026-10-09T15:30:01.000+00:00 level=info event=config_applied config_version=6 customers=2
time=2026-10-09T15:30:02.000+00:00 level=info event=config_applied config_version=7 customers=2
time=2026-10-09T15:30:03.000+00:00 level=warn event=request_refused request=r1 reason=key_taken_away customer=one removed_by=6 config_version=7
time=2026-10-09T15:30:04.000+00:00 level=warn event=store_lost table=op
time=2026-10-09T15:30:09.000+00:00 level=warn event=request_refused request=r2 reason=keys_unconfirmed customer=one config_version=7
time=2026-10-09T15:30:10.000+00:00 level=warn event=request_refused request=r3 reason=unknown_key customer=none config_version=7
";
    let logs = LogFiles::new("key", &[("a.log", text)]);
    for (id, expected) in [
        ("r1", &["config_applied", "request_refused"][..]),
        ("r2", &["store_lost", "request_refused"]),
        ("r3", &["request_refused"]),
    ] {
        let (lines, _) = logs.explain(id);
        assert_eq!(events(&lines), expected, "{lines:?}");
    }
    assert!(logs.explain("r1").0[0].contains("config_version=6"));
}
