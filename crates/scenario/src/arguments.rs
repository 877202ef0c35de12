//! Positional and named (`name=value`) arguments of one line of a scenario.

use std::str::FromStr;

const MS_PER_S: u64 = 1_000;

/// Arguments of a command that the parser has not taken yet.
///
/// Each method removes what it returns, so that [`Arguments::finish`] can
/// report arguments that the command does not know.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// Positional arguments in reverse order, so that the next one can be popped.
    positional: Vec<String>,
    /// Named arguments as names and values.
    named: Vec<(String, String)>,
}

impl Arguments {
    /// Splits a line at white space outside double quotes.
    ///
    /// # Errors
    ///
    /// Returns a message if a double quote is not closed.
    pub(crate) fn new(line: &str) -> Result<Self, String> {
        let mut positional = Vec::new();
        let mut named = Vec::new();
        for token in split_tokens(line)? {
            match token.split_once('=') {
                Some((name, value)) if is_parameter_name(name) => {
                    named.push((name.to_owned(), value.to_owned()));
                }
                _ => positional.push(token),
            }
        }
        positional.reverse();
        Ok(Self { positional, named })
    }

    /// Takes the next positional argument; `description` names it in the error
    /// message if it is missing.
    pub(crate) fn positional(&mut self, description: &str) -> Result<String, String> {
        self.positional
            .pop()
            .ok_or_else(|| format!("{description} is missing"))
    }

    /// Takes the value of an optional named argument.
    pub(crate) fn optional(&mut self, name: &str) -> Option<String> {
        let index = self.named.iter().position(|(other, _)| other == name)?;
        Some(self.named.remove(index).1)
    }

    /// Takes the value of a required named argument.
    pub(crate) fn required(&mut self, name: &str) -> Result<String, String> {
        self.optional(name)
            .ok_or_else(|| format!("{name}= is missing"))
    }

    /// Takes the value of an optional named argument as a number.
    pub(crate) fn number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let Some(value) = self.optional(name) else {
            return Ok(None);
        };
        let number = value.parse();
        number
            .map(Some)
            .map_err(|_| format!("{name}={value} is not a valid number"))
    }

    /// Takes the value of an optional named argument as a duration such as
    /// `250ms` or `4s` and returns it in milliseconds.
    pub(crate) fn duration_ms(&mut self, name: &str) -> Result<Option<u64>, String> {
        match self.optional(name) {
            Some(value) => parse_duration_ms(&value).map(Some),
            None => Ok(None),
        }
    }

    /// Takes the value of an optional named argument as a comma-separated list
    /// of names. A missing argument gives an empty list.
    pub(crate) fn names(&mut self, name: &str) -> Vec<String> {
        let value = self.optional(name).unwrap_or_default();
        let names = value.split(',').filter(|name| !name.is_empty());
        names.map(str::to_owned).collect()
    }

    /// Checks that the command has taken every argument.
    ///
    /// # Errors
    ///
    /// Returns a message that names the first argument left over.
    pub(crate) fn finish(self) -> Result<(), String> {
        if let Some(argument) = self.positional.last() {
            return Err(format!("unexpected argument {argument:?}"));
        }
        match self.named.first() {
            Some((name, _)) => Err(format!("unexpected argument {name}=")),
            None => Ok(()),
        }
    }
}

/// Parses a duration such as `250ms` or `4s` and returns it in milliseconds.
pub(crate) fn parse_duration_ms(text: &str) -> Result<u64, String> {
    let message = || format!("{text:?} is not a duration such as 250ms or 4s");
    let (digits, factor) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1),
        None => (text.strip_suffix('s').ok_or_else(message)?, MS_PER_S),
    };
    let number: u64 = digits.parse().map_err(|_| message())?;
    Ok(number * factor)
}

fn is_parameter_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

fn split_tokens(line: &str) -> Result<Vec<String>, String> {
    let mut tokens = Vec::new();
    let mut token = String::new();
    let mut is_quoted = false;
    for c in line.chars() {
        match c {
            '"' => is_quoted = !is_quoted,
            c if c.is_whitespace() && !is_quoted => {
                if !token.is_empty() {
                    tokens.push(std::mem::take(&mut token));
                }
            }
            c => token.push(c),
        }
    }
    if is_quoted {
        return Err("a double quote is not closed".to_owned());
    }
    if !token.is_empty() {
        tokens.push(token);
    }
    Ok(tokens)
}
