//! At which software version streams began.
//!
//! Load pattern: upstreams of several versions serve side by side, and callers come back to
//! any instance to take up streams that broke off. A stream may go on only at the version
//! that began it, and the instance that knows it may be lost.
//!
//! The instance that brings the first event of a stream keeps a record of it, and sends the
//! record to a few holders, which any instance finds by rendezvous hashing of the attempt. So
//! the cost of a stream does not depend on the number of instances. Records are sent while a
//! service has a single version, too: another one may come after the instance that brought
//! the stream was lost. An instance that finds no record knows nothing: it never takes this
//! as a sign that a version is the right one.
//!
//! All times are milliseconds on the store's clock.

use std::cmp::Reverse;

use model::{InstanceId, PromptPart, Region, SoftwareVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{RequestFingerprint, peers::election_rank};

/// Maximum time from the first event of a stream until a caller takes it up, milliseconds.
pub const STREAM_LIFETIME_MS: u64 = 60_000;
/// Maximum number of records. The ones that expire first are forgotten first.
const RECORDS_MAX: usize = 32_768;
/// Number of holders of a record in the region of the instance that sends it, and in others.
const REGION_HOLDERS: usize = 2;
const REMOTE_HOLDERS: usize = 1;
/// Number of possible holders that are asked for a record. There are more of them, since
/// instances may have come or gone since the record was sent.
const REGION_HOLDERS_ASKED: usize = 3;
const REMOTE_HOLDERS_ASKED: usize = 2;
/// Factor by which more possible holders are asked while no lease is known: some of those
/// that rank first may have had none when the record was sent.
const UNKNOWN_LEASES_FACTOR: usize = 2;

/// Hash of the id of a caller's attempt, or of the content of its request. Callers that do not
/// name the attempt which they take up send the same request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptHash(u64);

/// Hash of the name of a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionHash(u64);

/// The version at which the stream of an attempt began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The attempt that brought the first event.
    pub attempt: AttemptHash,
    /// The version.
    pub version: VersionHash,
}

/// Another instance that may hold records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordHolder {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: Region,
    /// Whether the instance is known to hold a valid lease.
    pub has_lease: bool,
}

/// Whether a record is to be sent or looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderUse {
    /// The record is sent to the holders.
    Send,
    /// The holders are asked for the record.
    Ask,
}

/// Records of the origins of streams, as known to one instance.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Sorted by attempt.
    rows: Vec<OriginRow>,
}

#[derive(Debug, Clone)]
struct OriginRow {
    attempt: AttemptHash,
    /// `None` if there are records of different versions.
    version: Option<VersionHash>,
    expires_at_ms: u64,
    /// Whether this is the record of a stream that this instance brought, and its holders
    /// may not have got it.
    is_unsent: bool,
}

impl AttemptHash {
    /// Returns the hash of an attempt's id.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }

    /// Returns the hash of the content of a request. `prompt_parts` tell requests apart whose
    /// bodies are equal.
    #[must_use]
    pub fn of_content(fingerprint: RequestFingerprint, prompt_parts: &[PromptPart]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&fingerprint.as_u64().to_le_bytes());
        for part in prompt_parts {
            hasher.update(&part.id.as_u64().to_le_bytes());
        }
        Self(hasher.digest())
    }
}

impl VersionHash {
    /// Returns the hash of a version's name.
    #[must_use]
    pub fn new(version: &SoftwareVersion) -> Self {
        Self(xxh3_64(version.as_str().as_bytes()))
    }
}

impl StreamOrigins {
    /// Adds the record of a stream of which this instance brought events. It is to be sent to
    /// its holders; see [`Self::unsent`].
    pub fn record_own(&mut self, record: OriginRecord, now_ms: u64) {
        self.insert(record.attempt, Some(record.version), true, now_ms);
    }

    /// Adds a record of a peer.
    pub fn receive(&mut self, record: OriginRecord, now_ms: u64) {
        self.insert(record.attempt, Some(record.version), false, now_ms);
    }

    /// Adds that there are records of different versions under an attempt.
    pub fn receive_contradiction(&mut self, attempt: AttemptHash, now_ms: u64) {
        self.insert(attempt, None, false, now_ms);
    }

    /// Returns whether there are records of different versions under an attempt.
    #[must_use]
    pub fn is_contradicted(&self, attempt: AttemptHash, now_ms: u64) -> bool {
        let row = self.find(attempt).map(|index| &self.rows[index]);
        row.is_ok_and(|row| row.version.is_none() && now_ms < row.expires_at_ms)
    }

    /// Returns the version at which the stream of an attempt began, if it is known without
    /// contradiction.
    #[must_use]
    pub fn version_of(&self, attempt: AttemptHash, now_ms: u64) -> Option<VersionHash> {
        let row = &self.rows[self.find(attempt).ok()?];
        row.version.filter(|_| now_ms < row.expires_at_ms)
    }

    /// Returns the records of this instance that have not been sent to their holders yet.
    #[must_use]
    pub fn unsent(&self, now_ms: u64) -> Vec<OriginRecord> {
        let unsent = self
            .rows
            .iter()
            .filter(|row| row.is_unsent && now_ms < row.expires_at_ms);
        let records = unsent.filter_map(|row| {
            Some(OriginRecord {
                attempt: row.attempt,
                version: row.version?,
            })
        });
        records.collect()
    }

    /// Records that the record of an attempt was sent to its holders.
    pub fn record_sent(&mut self, attempt: AttemptHash) {
        if let Ok(index) = self.find(attempt) {
            self.rows[index].is_unsent = false;
        }
    }

    /// Forgets streams that nobody takes up any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|row| now_ms < row.expires_at_ms);
    }

    /// Inserts a record; `version` is `None` if there are records of different versions.
    fn insert(
        &mut self,
        attempt: AttemptHash,
        version: Option<VersionHash>,
        is_unsent: bool,
        now_ms: u64,
    ) {
        let expires_at_ms = now_ms + STREAM_LIFETIME_MS;
        match self.find(attempt) {
            Ok(index) => {
                let row = &mut self.rows[index];
                row.version = row.version.filter(|known| version == Some(*known));
                row.expires_at_ms = row.expires_at_ms.max(expires_at_ms);
            }
            Err(index) => {
                let row = OriginRow {
                    attempt,
                    version,
                    expires_at_ms,
                    is_unsent,
                };
                self.rows.insert(index, row);
                self.limit(now_ms);
            }
        }
    }

    fn limit(&mut self, now_ms: u64) {
        if self.rows.len() <= RECORDS_MAX {
            return;
        }
        self.expire(now_ms);
        if self.rows.len() > RECORDS_MAX {
            let rows = self.rows.iter().enumerate();
            let oldest = rows.min_by_key(|(_, row)| row.expires_at_ms);
            let index = oldest.map_or(0, |(index, _)| index);
            self.rows.remove(index);
        }
    }

    fn find(&self, attempt: AttemptHash) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&attempt, |row| row.attempt)
    }
}

/// Returns the positions in `peers` of the holders of an attempt's record, as seen from an
/// instance in `own_region`. Callers mostly come back within a region. Those that hold a lease
/// come first; one without may be alive, but out of touch with the store.
#[must_use]
pub fn record_holders(
    attempt: AttemptHash,
    peers: &[RecordHolder],
    own_region: &Region,
    holder_use: HolderUse,
) -> Vec<usize> {
    let (region_count, remote_count) = holder_counts(peers, holder_use);
    let mut ranked: Vec<_> = (0..peers.len()).collect();
    ranked.sort_by_cached_key(|index| {
        let peer = &peers[*index];
        let rank = election_rank(&peer.instance, attempt.0);
        Reverse((peer.has_lease, rank))
    });
    let (own, remote): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|index| peers[*index].region == *own_region);
    let own = own.into_iter().take(region_count);
    own.chain(remote.into_iter().take(remote_count)).collect()
}

/// Returns the number of holders in the own region and in others.
fn holder_counts(peers: &[RecordHolder], holder_use: HolderUse) -> (usize, usize) {
    match holder_use {
        HolderUse::Send => (REGION_HOLDERS, REMOTE_HOLDERS),
        HolderUse::Ask => {
            let knows_leases = peers.iter().any(|peer| peer.has_lease);
            let factor = if knows_leases {
                1
            } else {
                UNKNOWN_LEASES_FACTOR
            };
            (REGION_HOLDERS_ASKED * factor, REMOTE_HOLDERS_ASKED * factor)
        }
    }
}
