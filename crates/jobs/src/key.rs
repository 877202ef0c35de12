//! Keys of the rows in the platform's table, and names of chunks.

use std::{
    fmt::{self, Write as _},
    str::FromStr,
};

use model::{CustomerId, JobId, Region};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

/// Number of bytes of the hash of the customer's API key that a row key contains.
const CUSTOMER_HASH_BYTES: usize = 16;

/// Identifies a chunk of a job, or a part of a chunk that was split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkName {
    /// Index of the chunk in the job's manifest.
    pub index: u32,
    /// Half-open range of items in the chunk; set only for a part of a split
    /// chunk.
    pub part: Option<(u32, u32)>,
}

impl ChunkName {
    /// Returns the name of the unsplit chunk at `index`.
    #[must_use]
    pub const fn new(index: u32) -> Self {
        Self { index, part: None }
    }

    /// Returns the name of the part of the same chunk that holds the items from
    /// `start` up to, but not including, `end`.
    #[must_use]
    pub const fn with_part(self, start: u32, end: u32) -> Self {
        Self {
            index: self.index,
            part: Some((start, end)),
        }
    }
}

impl fmt::Display for ChunkName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:06}", self.index)?;
        if let Some((start, end)) = self.part {
            write!(f, ".{start:06}-{end:06}")?;
        }
        Ok(())
    }
}

impl FromStr for ChunkName {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((index, part)) = text.split_once('.') else {
            return Ok(Self::new(text.parse()?));
        };
        let (start, end) = part.split_once('-').unwrap_or((part, ""));
        Ok(Self::new(index.parse()?).with_part(start.parse()?, end.parse()?))
    }
}

impl Serialize for ChunkName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChunkName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}

/// Returns the key of a job's row.
#[must_use]
pub fn job_key(job: &JobId) -> String {
    format!("job/{job}")
}

/// Returns the key of a chunk's row.
#[must_use]
pub fn chunk_key(job: &JobId, chunk: ChunkName) -> String {
    format!("chunk/{job}/{chunk}")
}

/// Returns the key prefix of a job's chunk rows.
#[must_use]
pub fn chunk_prefix(job: &JobId) -> String {
    format!("chunk/{job}/")
}

/// Returns the key of a file's row.
#[must_use]
pub fn file_key(file: &str) -> String {
    format!("file/{file}")
}

/// Returns the key of the row that lists a job under its customer. The newest
/// job sorts first.
#[must_use]
pub fn listed_key(customer: &CustomerId, created_at_ms: u64, job: &JobId) -> String {
    let newest_first = u64::MAX - created_at_ms;
    format!("{}{newest_first:020}/{job}", listed_prefix(customer))
}

/// Returns the key prefix of the rows that list a customer's jobs.
///
/// The prefix contains a hash of the customer's API key, because an API key is
/// secret and may contain any character.
#[must_use]
pub fn listed_prefix(customer: &CustomerId) -> String {
    let digest = Sha256::digest(customer.as_str());
    let mut prefix = String::from("listed/");
    for byte in digest.iter().take(CUSTOMER_HASH_BYTES) {
        // Writing to a `String` cannot fail.
        let _ = write!(prefix, "{byte:02x}");
    }
    prefix.push('/');
    prefix
}

/// Returns the key of the row that lists a job as open. The rows of a region
/// sort by deadline.
#[must_use]
pub fn open_key(region: &Region, deadline_ms: u64, job: &JobId) -> String {
    format!("open/{region}/{deadline_ms:016}/{job}")
}

/// Key prefix of the open jobs of all regions.
pub const ALL_OPEN_PREFIX: &str = "open/";

/// Returns the region of the open-job row at `key`, or `None` if `key` is not
/// the key of such a row.
#[must_use]
pub fn region_of_open_key(key: &str) -> Option<&str> {
    key.strip_prefix(ALL_OPEN_PREFIX)?.split('/').next()
}

/// Returns the key prefix of a region's open jobs.
#[must_use]
pub fn open_prefix(region: &Region) -> String {
    format!("open/{region}/")
}
