//! `redwingtack explain`: timeline of one request, job, item or prompt part, merged from
//! the logs of several processes.

mod clocks;
mod line;

use std::{fs, io, path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, positional};

use self::{clocks::Clocks, line::LogLine};

/// Time after the last line about the id for which starts and stops of processes
/// are still included, in milliseconds.
const LIFECYCLE_WINDOW_MS: i64 = 5_000;
/// Exit code if no line mentions the id.
const EXIT_NOT_FOUND: u8 = 1;
/// Exit code if a file cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// Options of `redwingtack explain`.
#[derive(Debug, Clone)]
pub struct ExplainOptions {
    id: String,
    files: Vec<PathBuf>,
}

/// Returns the parser of the options.
pub fn options() -> OptionParser<ExplainOptions> {
    let id = positional::<String>("ID").help("ID of the request, job, item or prompt part");
    let files = positional::<PathBuf>("FILE")
        .help("Log files of one or more processes")
        .some("at least one FILE is needed");
    construct!(ExplainOptions { id, files })
        .to_options()
        .descr("Print the log lines about one request, job, item or prompt part, in order of time")
}

/// Prints the timeline of an id and returns the exit code.
pub fn run(options: &ExplainOptions) -> ExitCode {
    let lines = match read_lines(&options.files) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("redwingtack: {error}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    let timeline = timeline(&options.id, &lines);
    if timeline.is_empty() {
        eprintln!("redwingtack: no line mentions {}", options.id);
        return ExitCode::from(EXIT_NOT_FOUND);
    }
    for line in timeline {
        println!("{line}");
    }
    ExitCode::SUCCESS
}

/// Reads the lines of all files. Lines that are not log lines are skipped.
///
/// # Errors
///
/// Returns an error that names the file if a file cannot be read.
fn read_lines(files: &[PathBuf]) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read(file).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", file.display()))
        })?;
        let source = file.file_stem().unwrap_or_default().to_string_lossy();
        let text = String::from_utf8_lossy(&text);
        lines.extend(
            text.lines()
                .filter_map(|line| LogLine::parse(&source, line)),
        );
    }
    Ok(lines)
}

/// Returns the lines about starts and stops of the processes in `matched`, from
/// the first matching line until [`LIFECYCLE_WINDOW_MS`] after the last. A process
/// that was killed logs no stop, so only its next start shows that it ended.
fn lifecycle_lines<'a>(
    lines: &'a [LogLine],
    clocks: &Clocks,
    matched: &[(i64, &LogLine)],
) -> Vec<(i64, &'a LogLine)> {
    let first_ms = matched.first().map_or(0, |(at_ms, _)| *at_ms);
    let last_ms = matched.last().map_or(0, |(at_ms, _)| *at_ms);
    let is_in_window = |at_ms: i64| (first_ms..=last_ms + LIFECYCLE_WINDOW_MS).contains(&at_ms);
    let has_matched_source =
        |line: &LogLine| matched.iter().any(|(_, other)| other.source == line.source);
    lines
        .iter()
        .filter(|line| line.is_process_lifecycle() && has_matched_source(line))
        .map(|line| (clocks.corrected_ms(line), line))
        .filter(|(at_ms, _)| is_in_window(*at_ms))
        .collect()
}

/// Returns the lines that tell why the requests in `matched` were refused because of their keys:
/// the version of the configuration that took a key away, and the last loss of the store before
/// a lease on accepting keys expired.
fn key_refusal_causes<'a>(
    lines: &'a [LogLine],
    clocks: &Clocks,
    matched: &[(i64, &LogLine)],
) -> Vec<(i64, &'a LogLine)> {
    let cause_of = |(refused_ms, refusal): &(i64, &LogLine)| {
        let reason = refusal.value("reason");
        let is_cause = |line: &&LogLine| match reason {
            Some("key_taken_away") => {
                line.value("event") == Some("config_applied")
                    && line.value("config_version") == refusal.value("removed_by")
            }
            Some("keys_unconfirmed") => line.value("event") == Some("store_lost"),
            _ => false,
        };
        let own_lines = lines.iter().filter(|line| line.source == refusal.source);
        let causes = own_lines
            .filter(is_cause)
            .map(|line| (clocks.corrected_ms(line), line));
        causes
            .filter(|(at_ms, _)| at_ms <= refused_ms)
            .max_by_key(|(at_ms, _)| *at_ms)
    };
    let mut causes: Vec<_> = matched.iter().filter_map(cause_of).collect();
    causes.sort_by_key(|(at_ms, line)| (*at_ms, line.source.clone()));
    causes.dedup_by(|a, b| std::ptr::eq(a.1, b.1));
    causes
}

/// Returns the lines about an id, ordered by corrected time, each with the time
/// since the first. Notes about corrected clocks follow.
fn timeline(id: &str, lines: &[LogLine]) -> Vec<String> {
    let clocks = Clocks::new(lines);
    let job = lines
        .iter()
        .find(|line| line.value("item") == Some(id))
        .and_then(|line| line.value("job"));
    let mut matched: Vec<_> = lines
        .iter()
        .filter(|line| line.mentions(id) || job.is_some_and(|job| line.is_about_job_only(job)))
        .map(|line| (clocks.corrected_ms(line), line))
        .collect();
    matched.sort_by_key(|(at_ms, _)| *at_ms);
    let Some((first_ms, _)) = matched.first().copied() else {
        return Vec::new();
    };
    let lifecycle = lifecycle_lines(lines, &clocks, &matched);
    let key_refusal_causes = key_refusal_causes(lines, &clocks, &matched);
    matched.extend(lifecycle);
    matched.extend(key_refusal_causes);
    matched.sort_by_key(|(at_ms, _)| *at_ms);
    let format_line = |(at_ms, line): &(i64, &LogLine)| {
        let since_ms = at_ms - first_ms;
        format!("{since_ms:>8} ms  {:<22} {}", line.source, line.text)
    };
    let mut timeline: Vec<_> = matched.iter().map(format_line).collect();
    timeline.extend(clocks.notes());
    timeline
}
