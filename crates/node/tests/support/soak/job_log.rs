//! What clients saw of batch jobs.

use serde_json::Value;

use super::history::Span;

/// One item's result as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemResult {
    pub item: String,
    pub state: String,
    pub output: String,
}

/// What an instance listed from a position onward.
#[derive(Debug, Clone)]
pub struct Page {
    pub total: usize,
    pub results: Vec<ItemResult>,
}

/// A call about a job, and what was seen.
#[derive(Debug, Clone)]
pub struct Observation {
    pub instance: usize,
    pub span: Span,
    /// `None` if no complete answer came.
    pub status: Option<u16>,
    pub seen: Seen,
}

/// What a call about a job was for.
#[derive(Debug, Clone)]
pub enum Seen {
    /// The job was submitted, for the first time or again. Attempts of
    /// one client that belong together have the same `round`.
    Submission { round: u64 },
    /// Results were read from a position.
    Read { after: usize, page: Option<Page> },
    /// The body of an item was read.
    Body {
        item: String,
        is_right: bool,
        /// Whether a read sent after the answer listed the item; `None` if that read failed.
        is_listed: Option<bool>,
    },
    /// The job was ended.
    End,
}

/// A job and all calls about it.
#[derive(Debug, Clone)]
pub struct JobLog {
    pub id: String,
    pub items: Vec<String>,
    pub first_sent_ms: u64,
    /// When a client first asked for its end.
    pub end_sent_ms: Option<u64>,
    pub observations: Vec<Observation>,
    /// What was listed when the soak was over; `None` if the job could not be read.
    pub final_page: Option<Page>,
    /// Unlisted items that gave no body when the soak was over.
    pub bodies_missing: Vec<String>,
}

impl Page {
    pub fn decode(text: &str) -> Option<Self> {
        let page: Value = serde_json::from_str(text).ok()?;
        let results = page["results"].as_array()?.iter().map(|result| {
            let text = |name: &str| result[name].as_str().map(str::to_owned);
            Some(ItemResult {
                item: text("id")?,
                state: text("state")?,
                output: text("output").unwrap_or_default(),
            })
        });
        Some(Self {
            total: usize::try_from(page["total"].as_u64()?).ok()?,
            results: results.collect::<Option<_>>()?,
        })
    }

    pub fn lists(&self, item: &str) -> bool {
        self.results.iter().any(|result| result.item == item)
    }

    pub fn is_complete(&self) -> bool {
        self.results.len() == self.total
    }
}

impl JobLog {
    pub fn new(id: &str, items: Vec<String>, first_sent_ms: u64) -> Self {
        Self {
            id: id.to_owned(),
            items,
            first_sent_ms,
            end_sent_ms: None,
            observations: Vec::new(),
            final_page: None,
            bodies_missing: Vec::new(),
        }
    }

    /// Returns when the first acceptance reached a client.
    pub fn accepted_ms(&self) -> Option<u64> {
        let accepted = self.observations.iter().filter(|observation| {
            observation.status == Some(202) && matches!(observation.seen, Seen::Submission { .. })
        });
        accepted.map(|observation| observation.span.to_ms).min()
    }

    /// Returns the largest number of results that a read has shown.
    pub fn read_count(&self) -> usize {
        let ends = self
            .observations
            .iter()
            .map(|observation| match &observation.seen {
                Seen::Read {
                    after,
                    page: Some(page),
                } if !page.results.is_empty() => after + page.results.len(),
                _ => 0,
            });
        ends.max().unwrap_or(0)
    }
}
