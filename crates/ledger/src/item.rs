//! Items of jobs and their results.

use std::sync::Arc;

use model::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Memory that a header takes up besides its name and value, bytes.
const HEADER_BYTES: usize = size_of::<(String, String)>();

/// One request of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id, unique within the job. It is also the request id of the item's runs.
    pub id: Arc<str>,
    /// Path of the request.
    pub path: String,
    /// Headers of the request, as names and values.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Arc<[u8]>,
    /// Expected length of the output, in tokens.
    pub output_tokens: u32,
}

/// Items of a job as they are stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredItems {
    /// The items, in the order of their indices.
    pub items: Vec<JobItem>,
    /// Tokens of each item that count towards the limit of the route.
    pub item_tokens: Vec<u32>,
    /// Partial outputs that earlier owners of the job saved.
    pub partials: Vec<PartialOutput>,
}

/// Result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub item: Arc<str>,
    /// How the item ended.
    pub outcome: ItemOutcome,
    /// Complete output of the item; empty if the item failed.
    pub output: String,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// A run completed the item.
    Done,
    /// The item was given up.
    Failed,
}

/// Results of a job from a given position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub item_count: u64,
    /// Position after the last result of the page.
    pub next_position: u64,
    /// Results in the order of their positions.
    pub results: Vec<ItemResult>,
}

/// Output so far of an item that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Index of the item.
    pub item_index: u32,
    /// Id of the last event whose data is in `output`; `None` before the first
    /// event.
    pub last_event: Option<u64>,
    /// Data of the events so far, joined by line feeds.
    pub output: String,
    /// Software version of the upstreams that produced them; `None` before the first run, and
    /// in outputs that earlier versions of the program saved. It is saved beside the other
    /// fields, since those versions know only them.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// A run of an item that is to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemRun {
    /// Index of the item.
    pub item_index: u32,
    /// The item.
    pub item: JobItem,
    /// Output of earlier runs, after which this run resumes.
    pub partial: PartialOutput,
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run received the complete output.
    Done,
    /// The upstream answered with a server error.
    Error,
    /// The item can never succeed and must not run again.
    Impossible,
    /// The upstream did not run the item or the stream was interrupted, which
    /// does not count as a failure of the item.
    Interrupted,
    /// The upstream lacks what the item requires, so that it has to run at another one.
    Misplaced,
    /// The run was preempted in favor of online requests.
    Preempted,
}

impl JobItem {
    /// Returns how much memory the headers and the body take up, bytes.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let text_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.headers.len() * HEADER_BYTES + text_bytes + self.body.len()
    }
}

impl PartialOutput {
    /// Creates an empty output for an item.
    #[must_use]
    pub fn new(item_index: u32) -> Self {
        Self {
            item_index,
            last_event: None,
            output: String::new(),
            version: None,
        }
    }

    /// Returns the output that a run at an upstream of `version` resumes: this one if it is of
    /// the same version, and an empty one otherwise.
    #[must_use]
    pub fn for_version(&self, version: &SoftwareVersion) -> Self {
        if self.last_event.is_some() && self.version.as_ref() == Some(version) {
            return self.clone();
        }
        Self {
            version: Some(version.clone()),
            ..Self::new(self.item_index)
        }
    }

    /// Appends the data of the next event, whose id is `event`.
    pub fn push(&mut self, event: u64, data: &str) {
        if self.last_event.is_some() {
            self.output.push('\n');
        }
        self.output.push_str(data);
        self.last_event = Some(event);
    }
}
