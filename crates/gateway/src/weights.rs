//! Which versions of the model weights upstreams have.
//!
//! Load pattern: while the weights of a service are replaced, its upstreams have different
//! versions, and some callers still require the one of before. Such a request belongs to an
//! upstream that has it. An upstream that refuses it has said nothing about other requests.
//!
//! An upstream may change its weights while it runs. So one that lacked a version is tried again
//! after a while, if none is known to have it.

use std::fmt;

use model::ServiceName;

use crate::{target::Target, upstream_row::UpstreamRow, upstream_table::UpstreamTable};

/// Time for which an upstream that lacks a version is sent no requests that require it,
/// milliseconds.
const LACK_VALID_MS: u64 = 1_000;
/// Maximum number of versions that are known to be lacking at an upstream.
const LACKS_MAX: usize = 8;
/// Maximum time for which the items that require a version wait for the first of them, which finds
/// out whether the upstream has it, milliseconds.
const TRIAL_MS: u64 = 1_000;

/// Version of the weights of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WeightVersion(u64);

impl WeightVersion {
    /// Creates a version from its number.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self(version)
    }
}

impl fmt::Display for WeightVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a request requires of the weights of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequiredWeights {
    /// Nothing.
    #[default]
    Any,
    /// This version.
    Version(WeightVersion),
    /// Something that only upstreams can read.
    Unreadable,
}

impl RequiredWeights {
    /// Returns the version that is required, if it can be read.
    #[must_use]
    pub fn version(self) -> Option<WeightVersion> {
        match self {
            Self::Version(version) => Some(version),
            Self::Any | Self::Unreadable => None,
        }
    }
}

/// Whether an upstream has a version of the weights. The order is that of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WeightsFit {
    /// It said lately that it does not.
    Lacks,
    /// It said so longer ago.
    Unlikely,
    /// It has said nothing about it.
    Unknown,
    /// It said so.
    Has,
}

/// What an upstream has said of its weights.
#[derive(Debug, Clone, Default)]
pub(crate) struct Weights {
    stated: Option<Statement>,
    /// Versions for which it refused requests, the newest last.
    lacks: Vec<Lack>,
    /// Until when the outcome of an item that requires a version is awaited.
    trial_until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    version: WeightVersion,
    at_ms: u64,
}

/// A version that an upstream lacked.
#[derive(Debug, Clone, Copy)]
struct Lack {
    version: WeightVersion,
    at_ms: u64,
}

impl Weights {
    /// Records that the upstream says that it has a version.
    pub(crate) fn record_statement(&mut self, version: WeightVersion, now_ms: u64) {
        self.lacks.retain(|lack| lack.version != version);
        self.trial_until_ms = 0;
        self.stated = Some(Statement {
            version,
            at_ms: now_ms,
        });
    }

    /// Records that the upstream refused a request because it lacks a version.
    pub(crate) fn record_refusal(&mut self, version: WeightVersion, now_ms: u64) {
        self.stated = self.stated.filter(|stated| stated.version != version);
        self.lacks.retain(|lack| lack.version != version);
        if self.lacks.len() == LACKS_MAX {
            self.lacks.remove(0);
        }
        self.lacks.push(Lack {
            version,
            at_ms: now_ms,
        });
        self.trial_until_ms = 0;
    }

    /// Returns whether the upstream has a version.
    pub(crate) fn fit(&self, version: WeightVersion, now_ms: u64) -> WeightsFit {
        if self.stated.is_some_and(|stated| stated.version == version) {
            return WeightsFit::Has;
        }
        let refusal = self.lacks.iter().find(|lack| lack.version == version);
        let refused_ms = refusal.map(|lack| lack.at_ms);
        let lacked_ms = refused_ms.max(self.stated.map(|stated| stated.at_ms));
        match lacked_ms {
            None => WeightsFit::Unknown,
            Some(lacked_ms) if now_ms < lacked_ms + LACK_VALID_MS => WeightsFit::Lacks,
            Some(_) => WeightsFit::Unlikely,
        }
    }

    /// Returns whether an item that requires a version may be sent. If it is not known that the
    /// upstream has it, one item at a time finds out.
    pub(crate) fn takes_item(&self, fit: WeightsFit, now_ms: u64) -> bool {
        match fit {
            WeightsFit::Lacks => false,
            WeightsFit::Unlikely | WeightsFit::Unknown => now_ms >= self.trial_until_ms,
            WeightsFit::Has => true,
        }
    }
}

impl UpstreamTable {
    /// Records that an upstream says that it has a version of the weights.
    pub fn record_weights(&mut self, target: &Target, version: WeightVersion, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.weights.record_statement(version, now_ms);
        }
    }

    /// Records that an upstream refused a request because it lacks a version of the weights.
    pub fn record_weights_refusal(&mut self, target: &Target, version: WeightVersion, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.weights.record_refusal(version, now_ms);
        }
    }

    /// Returns whether an upstream has lately refused a request because it lacks a version of the
    /// weights.
    #[must_use]
    pub fn lacks_weights(&self, target: &Target, version: WeightVersion, now_ms: u64) -> bool {
        self.known_incarnation(target)
            .is_some_and(|row| row.weights.fit(version, now_ms) == WeightsFit::Lacks)
    }

    /// Records that an item that requires a version of the weights is sent to an upstream.
    pub fn record_item_with_weights(&mut self, target: &Target, now_ms: u64) {
        if let Some(row) = self.incarnation_row(target) {
            row.weights.trial_until_ms = now_ms + TRIAL_MS;
        }
    }

    /// Returns whether an upstream in service may have a version of the weights.
    #[must_use]
    pub fn may_have_weights(
        &self,
        service: &ServiceName,
        version: WeightVersion,
        now_ms: u64,
    ) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|row| {
            row.entry.service == *service
                && row.is_ready()
                && row.weights.fit(version, now_ms) != WeightsFit::Lacks
        })
    }
}

impl UpstreamRow {
    /// Returns whether the upstream has the version that a request requires; `None` if it
    /// requires none.
    pub(crate) fn weights_fit(&self, version: Option<WeightVersion>, now_ms: u64) -> WeightsFit {
        version.map_or(WeightsFit::Has, |version| self.weights.fit(version, now_ms))
    }
}
