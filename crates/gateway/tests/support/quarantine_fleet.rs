//! Instances that exchange notices about crashes, for the tests of the quarantine.

use std::rc::Rc;

use gateway::{
    CrashCause, LostRequest, Quarantine, QuarantineChange, QuarantineCheck, QuarantineNotice,
    RequestContent, RequestFingerprint, Target, UpstreamTable, WorkKind,
};
use model::{PromptPartId, ServiceName, SoftwareVersion, UpstreamId};

use super::upstream_table;

pub const BAD: u64 = 0xbad;
pub const OTHER_BAD: u64 = 0xbad2;
pub const COMMON: u64 = 0xc0;
/// Interval between notices, milliseconds.
pub const NOTICE_INTERVAL_MS: u64 = 100;
/// Time in which every instance has heard of everything, milliseconds.
pub const SETTLED_MS: u64 = 1_000;
pub const START_MS: u64 = 100_000;

pub fn part(id: u64) -> CrashCause {
    CrashCause::Part(PromptPartId::new(id))
}

pub fn parts(ids: &[u64]) -> Vec<PromptPartId> {
    let mut parts: Vec<_> = ids.iter().copied().map(PromptPartId::new).collect();
    parts.sort_unstable();
    parts
}

pub fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::from_u64(number)
}

pub fn request(number: u64) -> CrashCause {
    CrashCause::Request(fingerprint(number))
}

pub fn content(number: u64, ids: &[u64]) -> Rc<RequestContent> {
    Rc::new(RequestContent {
        fingerprint: fingerprint(number),
        shared_parts: parts(ids),
    })
}

pub fn incarnation(number: u64) -> Target {
    Target {
        upstream: UpstreamId::new(&format!("u{number}")),
        service: ServiceName::new("hints"),
        version: SoftwareVersion::new("v1"),
        address: "127.0.0.1:9000".parse().unwrap(),
        started_unix_ms: number,
    }
}

/// Several instances that exchange notices.
pub struct Fleet {
    pub instances: Vec<Quarantine>,
    pub table: UpstreamTable,
    pub now_ms: u64,
    pub crash_count: u64,
    /// Number of the last request that is like no other; low numbers are those of requests
    /// that come again.
    pub request_count: u64,
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        Self {
            instances: (0..size).map(|_| Quarantine::default()).collect(),
            table: upstream_table("a", &[("u0", "north-a")]),
            now_ms: START_MS,
            crash_count: 0,
            request_count: 1 << 32,
        }
    }

    /// An upstream crashes. Each instance sees the parts of its own requests there, which
    /// it sent just before.
    pub fn crash(&mut self, seen: &[(usize, &[u64])]) {
        self.crash_under_requests_sent_at(self.now_ms, seen);
    }

    pub fn crash_under_requests_sent_at(&mut self, sent_at_ms: u64, seen: &[(usize, &[u64])]) {
        self.crash_count += 1;
        for (instance, ids) in seen {
            self.request_count += 1;
            let content = content(self.request_count, ids);
            self.record_crash(*instance, content, WorkKind::Online, sent_at_ms);
        }
    }

    /// An upstream crashes. Each instance sees its own requests there, by their numbers,
    /// which it sent just before and which have one part in common.
    pub fn crash_under_requests(&mut self, seen: &[(usize, u64)]) {
        self.crash_count += 1;
        for (instance, number) in seen {
            let content = content(*number, &[COMMON]);
            self.record_crash(*instance, content, WorkKind::Online, self.now_ms);
        }
    }

    /// An upstream crashes under a request with this number and these parts, which an instance
    /// sent just before.
    pub fn crash_under_request(
        &mut self,
        instance: usize,
        number: u64,
        ids: &[u64],
        kind: WorkKind,
    ) {
        self.crash_count += 1;
        self.record_crash(instance, content(number, ids), kind, self.now_ms);
    }

    fn record_crash(
        &mut self,
        instance: usize,
        content: Rc<RequestContent>,
        kind: WorkKind,
        sent_at_ms: u64,
    ) {
        let lost = LostRequest {
            content,
            kind,
            sent_at_ms,
            lost_at_ms: self.now_ms,
        };
        let target = incarnation(self.crash_count);
        self.instances[instance].record_crash(&target, &lost, self.now_ms);
    }

    pub fn answer(&mut self, instance: usize, ids: &[u64]) {
        self.request_count += 1;
        self.answer_request(instance, self.request_count, ids);
    }

    pub fn answer_request(&mut self, instance: usize, number: u64, ids: &[u64]) {
        let content = content(number, ids);
        self.instances[instance].record_survival(&content, WorkKind::Online, self.now_ms);
    }

    /// Time passes, and every instance tells every other one what it knows again and
    /// again.
    pub fn pass(&mut self, ms: u64) -> Vec<QuarantineChange> {
        let end_ms = self.now_ms + ms;
        let mut changes = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + NOTICE_INTERVAL_MS);
            changes.extend(self.exchange());
        }
        changes
    }

    fn exchange(&mut self) -> Vec<QuarantineChange> {
        let notices: Vec<_> = self.notices();
        let mut changes = Vec::new();
        for instance in &mut self.instances {
            for notice in &notices {
                changes.extend(instance.receive(notice, self.now_ms));
            }
            changes.extend(instance.update(self.now_ms));
        }
        changes
    }

    pub fn notices(&self) -> Vec<QuarantineNotice> {
        let notices = self.instances.iter();
        notices
            .filter_map(|instance| instance.notice(self.now_ms))
            .collect()
    }

    pub fn quarantined(&self, instance: usize) -> Vec<CrashCause> {
        let quarantined = self.instances[instance].quarantined().iter();
        quarantined.map(|quarantined| quarantined.cause).collect()
    }

    /// Checks a request that is like no other.
    pub fn check(&self, instance: usize, ids: &[u64]) -> QuarantineCheck {
        self.check_request(instance, u64::MAX, ids)
    }

    pub fn check_request(&self, instance: usize, number: u64, ids: &[u64]) -> QuarantineCheck {
        let content = content(number, ids);
        self.instances[instance].check(&content, WorkKind::Online, &self.table, self.now_ms)
    }
}

/// Crashes that only one part explains, each seen by another instance. Requests with the
/// common part are answered in between.
pub fn fleet_with_quarantined_part() -> Fleet {
    let mut fleet = Fleet::new(3);
    for crash in 0..3 {
        let own = 0x100 + crash as u64;
        fleet.crash(&[(crash, &[BAD, COMMON, own])]);
        fleet.pass(200);
        fleet.answer((crash + 1) % 3, &[COMMON]);
    }
    fleet.pass(SETTLED_MS);
    fleet
}
