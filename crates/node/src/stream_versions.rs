//! Finds out at which software version a stream may go on. The decisions are in
//! [`gateway::StreamOrigins`] and [`gateway::VersionHistory`]; peers are asked by
//! [`crate::origin_exchange`].

use std::rc::Rc;

use gateway::{AttemptHash, OriginRecord, STREAM_LIFETIME_MS, VersionHash};
use model::{ServiceName, SoftwareVersion};

use crate::{
    freshness_check::{self, Subject},
    node::Node,
    origin_exchange::{self, Confirmation, HoldersAnswer},
    record_holders::Peers,
};

/// By what a stream is found again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamKeys<'a> {
    /// Id of the attempt that the caller takes up, if it names one.
    pub(crate) resumed_attempt: Option<&'a str>,
    /// Id of the caller's attempt.
    pub(crate) request_id: &'a str,
    /// Hash of the content of the request.
    pub(crate) content: AttemptHash,
}

impl StreamKeys<'_> {
    /// Returns the keys under which the origin is recorded: callers may or may not name the
    /// attempt when they come back.
    fn all(self) -> [AttemptHash; 2] {
        let attempt = self.resumed_attempt.unwrap_or(self.request_id);
        [AttemptHash::new(attempt), self.content]
    }

    /// Returns the version of the attempt that the caller names, if this instance knows it.
    fn named_attempt_version(self, node: &Node) -> Option<VersionHash> {
        let attempt = AttemptHash::new(self.resumed_attempt?);
        let origins = node.stream_origins.borrow();
        origins.version_of(attempt, node.store_now_ms())
    }

    /// Returns the key under which the origin is looked for.
    fn take_up_key(self) -> AttemptHash {
        self.resumed_attempt.map_or(self.content, AttemptHash::new)
    }
}

/// The version at which a stream began, and how that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) version: VersionHash,
    pub(crate) proof: OriginProof,
}

/// How the version at which a stream began is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginProof {
    /// This instance, or a holder, has the record.
    Record,
    /// By the registrations that the store has now, all streams began at this version.
    Registrations,
    /// The same, as confirmed by a peer.
    PeerRegistrations,
}

impl OriginProof {
    /// Returns the name of the proof in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Registrations => "registrations",
            Self::PeerRegistrations => "peer_registrations",
        }
    }
}

impl Origin {
    fn new(version: VersionHash, proof: OriginProof) -> Self {
        Self { version, proof }
    }
}

/// The version at which a stream began cannot be proven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginUnknown {
    /// Those that may know it did not answer.
    Now,
    /// Nobody knows it, and it cannot be proven for this time, milliseconds.
    ForMs(u64),
}

/// Records at which version a stream began, and tells the holders.
pub(crate) fn record_origin(node: &Node, keys: StreamKeys<'_>, version: &SoftwareVersion) {
    let version = VersionHash::new(version);
    let now_ms = node.store_now_ms();
    let records = keys.all().map(|attempt| OriginRecord { attempt, version });
    let mut origins = node.stream_origins.borrow_mut();
    for record in records {
        origins.record_own(record, now_ms);
    }
    drop(origins);
    Peers::new(node).send_records(node, &records);
}

/// Sends the records of this instance's streams whose holders may not have got them.
pub(crate) fn send_records(node: &Node) {
    let records = node.stream_origins.borrow().unsent(node.store_now_ms());
    if !records.is_empty() {
        Peers::new(node).send_records(node, &records);
    }
}

/// Finds out at which version a stream must go on that a caller takes up.
///
/// # Errors
///
/// Returns an error if the version cannot be proven.
pub(crate) async fn find_origin(
    node: &Rc<Node>,
    service: &ServiceName,
    keys: StreamKeys<'_>,
) -> Result<Origin, OriginUnknown> {
    if let Some(version) = keys.named_attempt_version(node) {
        return Ok(Origin::new(version, OriginProof::Record));
    }
    // Requests of the same content may contradict each other, so all holders must answer.
    let needs_all = keys.resumed_attempt.is_none();
    let asked = origin_exchange::ask_holders(node, keys.take_up_key(), needs_all);
    tokio::pin!(asked);
    tokio::select! {
        holders = &mut asked => origin_by_holders(node, service, holders).await,
        Ok(version) = confirmed_only_version(node, service) => {
            Ok(Origin::new(version, OriginProof::Registrations))
        }
    }
}

async fn origin_by_holders(
    node: &Rc<Node>,
    service: &ServiceName,
    holders: HoldersAnswer,
) -> Result<Origin, OriginUnknown> {
    match holders {
        HoldersAnswer::Version(version) => Ok(Origin::new(version, OriginProof::Record)),
        HoldersAnswer::Contradicted => Err(OriginUnknown::ForMs(STREAM_LIFETIME_MS)),
        // The holders may have been told nothing, or may have been restarted since.
        HoldersAnswer::NoRecord => origin_by_registrations(node, service).await,
        HoldersAnswer::Silent => origin_by_registrations(node, service)
            .await
            .map_err(|_| OriginUnknown::Now),
    }
}

/// Returns the only version, as confirmed by the store or, if this instance does not reach it,
/// by a peer that does.
async fn origin_by_registrations(
    node: &Rc<Node>,
    service: &ServiceName,
) -> Result<Origin, OriginUnknown> {
    match confirmed_only_version(node, service).await {
        Ok(version) => return Ok(Origin::new(version, OriginProof::Registrations)),
        Err(OriginUnknown::ForMs(time_ms)) => return Err(OriginUnknown::ForMs(time_ms)),
        Err(OriginUnknown::Now) => {}
    }
    match origin_exchange::ask_for_confirmation(node, service).await {
        Confirmation::Only(version) => Ok(Origin::new(version, OriginProof::PeerRegistrations)),
        Confirmation::Several { for_ms } => Err(OriginUnknown::ForMs(for_ms)),
        Confirmation::Unconfirmed => Err(OriginUnknown::Now),
    }
}

/// Returns the version at which every stream of a service began that may still be taken up,
/// by the registrations that the store has now.
///
/// # Errors
///
/// Returns an error if there may be several, or if the store did not confirm it.
pub(crate) async fn confirmed_only_version(
    node: &Rc<Node>,
    service: &ServiceName,
) -> Result<VersionHash, OriginUnknown> {
    if node.store_health.is_unreachable() {
        return Err(OriginUnknown::Now);
    }
    if only_version(node, service).is_some()
        && !freshness_check::confirm(node, Subject::Registrations).await
    {
        return Err(OriginUnknown::Now);
    }
    only_version(node, service).ok_or_else(|| {
        let history = node.version_history.borrow();
        let upstreams = node.upstreams.borrow();
        let now_ms = node.store_now_ms();
        OriginUnknown::ForMs(history.unproven_for_ms(service, &upstreams, now_ms))
    })
}

fn only_version(node: &Node, service: &ServiceName) -> Option<VersionHash> {
    let history = node.version_history.borrow();
    let only = history.only_version(service, &node.upstreams.borrow(), node.store_now_ms());
    only.as_ref().map(VersionHash::new)
}
