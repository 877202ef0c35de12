//! Checks settings and reports all problems at once.

use std::{fmt, net::SocketAddr, process, str::FromStr};

/// Exit code of a program whose settings are invalid.
const EXIT_INVALID_SETTINGS: i32 = 2;

/// One setting that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingProblem {
    /// Name of the flag, without the leading dashes. The environment variable
    /// has the same name in upper case, with the prefix `REDWINGTACK_`.
    pub flag: &'static str,
    /// What is wrong with the value.
    pub message: String,
}

/// Parses the settings of a program and collects their problems.
#[derive(Debug, Default)]
pub struct SettingsChecker {
    problems: Vec<SettingProblem>,
}

impl SettingsChecker {
    /// Creates a checker without problems.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses a required value. Adds a problem and returns `None` if the value is
    /// absent or malformed.
    pub fn required<T>(&mut self, flag: &'static str, text: Option<&str>) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        if text.is_none() {
            self.add_problem(flag, "is required".to_owned());
        }
        self.parse(flag, text?)
    }

    /// Parses an optional value. Returns `default` if the value is absent, and
    /// also if it is malformed, after adding a problem.
    pub fn or_default<T>(&mut self, flag: &'static str, text: Option<&str>, default: T) -> T
    where
        T: FromStr<Err: fmt::Display>,
    {
        match text {
            Some(text) => self.parse(flag, text).unwrap_or(default),
            None => default,
        }
    }

    /// Parses a required address of the form `IP:PORT`. Host names are not
    /// resolved.
    pub fn address(&mut self, flag: &'static str, text: Option<&str>) -> Option<SocketAddr> {
        self.required(flag, text)
    }

    /// Adds a problem with the value of `flag`.
    pub fn add_problem(&mut self, flag: &'static str, message: String) {
        self.problems.push(SettingProblem { flag, message });
    }

    /// Returns the checked settings if no problem was found.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn finish<T>(self, checked: Option<T>) -> Result<T, Vec<SettingProblem>> {
        match checked {
            Some(checked) if self.problems.is_empty() => Ok(checked),
            _ => Err(self.problems),
        }
    }

    /// Returns the problems found, in the order in which the settings were
    /// checked.
    #[must_use]
    pub fn into_problems(self) -> Vec<SettingProblem> {
        self.problems
    }

    fn parse<T>(&mut self, flag: &'static str, text: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem(flag, format!("{text:?} is not valid: {error}"));
                None
            }
        }
    }
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = self.flag.replace('-', "_").to_uppercase();
        write!(
            f,
            "--{} (REDWINGTACK_{variable}): {}",
            self.flag, self.message
        )
    }
}

/// Prints all problems to standard error and exits with code 2.
pub fn exit_with_problems(program: &str, problems: &[SettingProblem]) -> ! {
    eprintln!("{program}: {} settings are wrong:", problems.len());
    for problem in problems {
        eprintln!("  {problem}");
    }
    process::exit(EXIT_INVALID_SETTINGS)
}
