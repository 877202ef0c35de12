//! `redwingtack explain`: the story of one request, job or item from the logs
//! of several processes.

mod clocks;
mod line;

use std::{fs, io, path::PathBuf, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, positional};

use self::{clocks::Clocks, line::LogLine};

/// How long after the last line of a story the life of its processes is told,
/// milliseconds.
const AFTERMATH_MS: i64 = 5_000;
/// Exit code if no line mentions the id.
const EXIT_NOT_FOUND: u8 = 1;
/// Exit code if a file cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// Options of `explain`.
#[derive(Debug, Clone)]
pub struct ExplainOptions {
    id: String,
    files: Vec<PathBuf>,
}

/// Parser of the options.
pub fn options() -> OptionParser<ExplainOptions> {
    let id = positional::<String>("ID").help("Id of a request, a job or an item");
    let files = positional::<PathBuf>("FILE")
        .help("Logs of one or more processes")
        .some("at least one FILE is needed");
    construct!(ExplainOptions { id, files })
        .to_options()
        .descr("Prints what the logs say of one request, job or item, in order of time.")
}

/// Prints the story.
pub fn run(options: &ExplainOptions) -> ExitCode {
    let lines = match read(&options.files) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("redwingtack: {error}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    let story = story(&options.id, &lines);
    if story.is_empty() {
        eprintln!("redwingtack: no line mentions {}", options.id);
        return ExitCode::from(EXIT_NOT_FOUND);
    }
    for line in story {
        println!("{line}");
    }
    ExitCode::SUCCESS
}

fn read(files: &[PathBuf]) -> io::Result<Vec<LogLine>> {
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

/// Starts and ends of the processes that a story names, while it lasts and
/// shortly after: a process that was killed writes no last line.
fn life_lines<'a>(
    lines: &'a [LogLine],
    clocks: &Clocks,
    told: &[(i64, &LogLine)],
) -> Vec<(i64, &'a LogLine)> {
    let first_ms = told.first().map_or(0, |(at_ms, _)| *at_ms);
    let last_ms = told.last().map_or(0, |(at_ms, _)| *at_ms);
    let is_near = |at_ms: i64| (first_ms..=last_ms + AFTERMATH_MS).contains(&at_ms);
    let is_named = |line: &LogLine| told.iter().any(|(_, other)| other.source == line.source);
    lines
        .iter()
        .filter(|line| line.is_about_the_process() && is_named(line))
        .map(|line| (clocks.common_ms(line), line))
        .filter(|(at_ms, _)| is_near(*at_ms))
        .collect()
}

/// The lines about an id, on one clock, each with the time since the first.
fn story(id: &str, lines: &[LogLine]) -> Vec<String> {
    let clocks = Clocks::new(lines);
    let job = lines
        .iter()
        .find(|line| line.value("item") == Some(id))
        .and_then(|line| line.value("job"));
    let mut told: Vec<_> = lines
        .iter()
        .filter(|line| line.mentions(id) || job.is_some_and(|job| line.is_about_whole_job(job)))
        .map(|line| (clocks.common_ms(line), line))
        .collect();
    told.sort_by_key(|(at_ms, _)| *at_ms);
    let Some((first_ms, _)) = told.first().copied() else {
        return Vec::new();
    };
    let restarts = life_lines(lines, &clocks, &told);
    told.extend(restarts);
    told.sort_by_key(|(at_ms, _)| *at_ms);
    let tell = |(at_ms, line): &(i64, &LogLine)| {
        let since_ms = at_ms - first_ms;
        format!("{since_ms:>8} ms  {:<22} {}", line.source, line.text)
    };
    let mut story: Vec<_> = told.iter().map(tell).collect();
    story.extend(clocks.notes());
    story
}
