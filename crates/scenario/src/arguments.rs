//! Words and `name=value` pairs of one line.

use std::str::FromStr;

const MS_PER_S: u64 = 1_000;

/// Arguments of a command that have not been taken yet.
#[derive(Debug)]
pub(crate) struct Arguments {
    words: Vec<String>,
    pairs: Vec<(String, String)>,
}

impl Arguments {
    /// Splits a line at blanks outside double quotes.
    pub(crate) fn new(line: &str) -> Result<Self, String> {
        let mut words = Vec::new();
        let mut pairs = Vec::new();
        for piece in split(line)? {
            match piece.split_once('=') {
                Some((name, value)) if is_name(name) => {
                    pairs.push((name.to_owned(), value.to_owned()));
                }
                _ => words.push(piece),
            }
        }
        words.reverse();
        Ok(Self { words, pairs })
    }

    /// Takes the next word.
    pub(crate) fn word(&mut self, what: &str) -> Result<String, String> {
        self.words.pop().ok_or_else(|| format!("{what} is missing"))
    }

    /// Takes the value of an optional pair.
    pub(crate) fn text(&mut self, name: &str) -> Option<String> {
        let index = self.pairs.iter().position(|(other, _)| other == name)?;
        Some(self.pairs.remove(index).1)
    }

    /// Takes the value of a required pair.
    pub(crate) fn required(&mut self, name: &str) -> Result<String, String> {
        self.text(name).ok_or_else(|| format!("{name}= is missing"))
    }

    /// Takes a number.
    pub(crate) fn number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = text.parse();
        number
            .map(Some)
            .map_err(|_| format!("{name}={text} is not a valid number"))
    }

    /// Takes a span of time such as `250ms` or `4s`, in milliseconds.
    pub(crate) fn span_ms(&mut self, name: &str) -> Result<Option<u64>, String> {
        match self.text(name) {
            Some(text) => parse_span_ms(&text).map(Some),
            None => Ok(None),
        }
    }

    /// Takes a list of names separated by commas.
    pub(crate) fn names(&mut self, name: &str) -> Vec<String> {
        let text = self.text(name).unwrap_or_default();
        let names = text.split(',').filter(|name| !name.is_empty());
        names.map(str::to_owned).collect()
    }

    /// Fails if something is left.
    pub(crate) fn finish(self) -> Result<(), String> {
        if let Some(word) = self.words.last() {
            return Err(format!("unexpected word {word:?}"));
        }
        match self.pairs.first() {
            Some((name, _)) => Err(format!("unexpected argument {name}=")),
            None => Ok(()),
        }
    }
}

/// Parses a span of time such as `250ms` or `4s`.
pub(crate) fn parse_span_ms(text: &str) -> Result<u64, String> {
    let message = || format!("{text:?} is not a span of time such as 250ms or 4s");
    let (digits, factor) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1),
        None => (text.strip_suffix('s').ok_or_else(message)?, MS_PER_S),
    };
    let number: u64 = digits.parse().map_err(|_| message())?;
    Ok(number * factor)
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

fn split(line: &str) -> Result<Vec<String>, String> {
    let mut pieces = Vec::new();
    let mut piece = String::new();
    let mut is_quoted = false;
    for c in line.chars() {
        match c {
            '"' => is_quoted = !is_quoted,
            c if c.is_whitespace() && !is_quoted => {
                if !piece.is_empty() {
                    pieces.push(std::mem::take(&mut piece));
                }
            }
            c => piece.push(c),
        }
    }
    if is_quoted {
        return Err("a quote is not closed".to_owned());
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    Ok(pieces)
}
