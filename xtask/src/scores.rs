//! Plays the users' days on several sites and compares what they are worth with a stored
//! baseline, so that a merge which serves an earlier site worse is seen at once.
//!
//! The bench is a program of the users; its path and those of the sites are arguments.

use std::{
    collections::BTreeMap,
    fmt, fs, io,
    path::{Path, PathBuf},
    process::{Command, ExitCode, Stdio},
};

/// Largest loss of worth that a merge may bring on one day.
const LOSS_MAX: f64 = 0.03;
/// Columns of a line of the bench that describes a day: name, machines, score, worth.
const NAME_COLUMN: usize = 0;
const WORTH_COLUMN: usize = 3;

/// Worth of each day that was played, by site and day.
pub type Scores = BTreeMap<(String, String), f64>;

/// What to play and what to compare it with.
#[derive(Debug)]
pub struct ScoreRun {
    /// The bench.
    pub bench: PathBuf,
    /// Site files.
    pub sites: Vec<PathBuf>,
    /// File with the baseline.
    pub baseline: PathBuf,
    /// Whether the results replace those of the same sites in the baseline.
    pub saves: bool,
}

/// One day, before and after.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Name of the site.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Worth in the baseline, if the day stands there.
    pub before: Option<f64>,
    /// Worth now.
    pub after: f64,
}

impl Comparison {
    /// Returns whether the day lost more than a merge may bring.
    #[must_use]
    pub fn is_loss(&self) -> bool {
        self.before
            .is_some_and(|before| before - self.after > LOSS_MAX)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            site,
            day,
            before,
            after,
        } = self;
        match before {
            Some(before) => {
                let verdict = if self.is_loss() { "  LOSS" } else { "" };
                let difference = after - before;
                write!(
                    f,
                    "{site:28} {day:12} {before:.3} {after:.3} {difference:+.3}{verdict}"
                )
            }
            None => write!(f, "{site:28} {day:12}     - {after:.3}"),
        }
    }
}

/// Plays the light days of each site, and prints each day before and after. Fails if a day
/// lost too much, or if a site could not be played.
#[must_use]
pub fn run(root: &Path, options: &ScoreRun) -> ExitCode {
    let mut baseline = match read_baseline(&options.baseline) {
        Ok(baseline) => baseline,
        Err(error) => {
            eprintln!("{}: {error}", options.baseline.display());
            return ExitCode::FAILURE;
        }
    };
    let mut is_accepted = true;
    for site in &options.sites {
        let name = site_name(site);
        let played = match play(root, &options.bench, site) {
            Ok(played) if !played.is_empty() => played,
            Ok(_) => {
                eprintln!("{name}: no day was played");
                is_accepted = false;
                continue;
            }
            Err(error) => {
                eprintln!("{name}: {error}");
                is_accepted = false;
                continue;
            }
        };
        for comparison in compare(&name, &played, &baseline) {
            println!("{comparison}");
            is_accepted &= !comparison.is_loss();
        }
        for (day, worth) in played {
            baseline.insert((name.clone(), day), worth);
        }
    }
    if options.saves
        && let Err(error) = fs::write(&options.baseline, format_scores(&baseline))
    {
        eprintln!("{}: {error}", options.baseline.display());
        is_accepted = false;
    }
    if is_accepted {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Compares the days of a site with the baseline.
#[must_use]
pub fn compare(site: &str, played: &[(String, f64)], baseline: &Scores) -> Vec<Comparison> {
    let comparisons = played.iter().map(|(day, worth)| {
        let key = (site.to_owned(), day.clone());
        Comparison {
            site: site.to_owned(),
            day: day.clone(),
            before: baseline.get(&key).copied(),
            after: *worth,
        }
    });
    comparisons.collect()
}

/// Reads the worth of each day from what the bench prints: the lines after the heading that
/// begins with `day`, as long as they have numbers in the columns.
#[must_use]
pub fn parse_days(output: &str) -> Vec<(String, f64)> {
    let lines = output
        .lines()
        .skip_while(|line| !line.starts_with("day "))
        .skip(1);
    lines.map_while(parse_day).collect()
}

/// Parses a baseline: one line a day, `site day worth`.
///
/// # Errors
///
/// Returns the first line that is malformed.
pub fn parse_scores(text: &str) -> Result<Scores, String> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| parse_score(line).ok_or_else(|| format!("malformed line {line:?}")))
        .collect()
}

/// Formats a baseline.
#[must_use]
pub fn format_scores(scores: &Scores) -> String {
    let header = "# site, day, worth without processor time (cargo xtask scores)\n";
    let lines = scores
        .iter()
        .map(|((site, day), worth)| format!("{site} {day} {worth:.3}\n"));
    lines.fold(header.to_owned(), |text, line| text + &line)
}

fn parse_score(line: &str) -> Option<((String, String), f64)> {
    let mut fields = line.split_whitespace();
    let (site, day) = (fields.next()?, fields.next()?);
    let worth = fields.next()?.parse().ok()?;
    Some(((site.to_owned(), day.to_owned()), worth))
}

fn parse_day(line: &str) -> Option<(String, f64)> {
    let columns: Vec<_> = line.split_whitespace().collect();
    let worth = columns.get(WORTH_COLUMN)?.parse().ok()?;
    Some((columns[NAME_COLUMN].to_owned(), worth))
}

fn play(root: &Path, bench: &Path, site: &Path) -> io::Result<Vec<(String, f64)>> {
    let output = Command::new(bench)
        .arg("score")
        .arg(site)
        .args(["--quick", "--no-cpu", "--jobs", "3"])
        .args(["--why", "comparison with the baseline"])
        .current_dir(root)
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output()?;
    Ok(parse_days(&String::from_utf8_lossy(&output.stdout)))
}

fn read_baseline(path: &Path) -> Result<Scores, String> {
    match fs::read_to_string(path) {
        Ok(text) => parse_scores(&text),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Scores::new()),
        Err(error) => Err(error.to_string()),
    }
}

fn site_name(site: &Path) -> String {
    let stem = site.file_stem().unwrap_or(site.as_os_str());
    stem.to_string_lossy().into_owned()
}
