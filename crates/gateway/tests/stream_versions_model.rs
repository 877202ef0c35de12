//! A model of instances that lag behind, restart and lose messages while versions of a
//! service come and go: however a stream is taken up, it never goes on at another version.

mod support;

use gateway::{
    AttemptHash, FROM_THE_START_MS, HolderUse, ListedVersions, Listing, OriginRecord, RecordHolder,
    StreamOrigins, UpstreamTable, VersionHash, VersionHistory, record_holders,
};
use model::{InstanceId, Region, SoftwareVersion, UpstreamId};
use proptest::prelude::*;
use support::{entry, locality, service};

const INSTANCES: usize = 4;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Maximum time from the first event of a stream until it is taken up, milliseconds.
const LIFETIME_MS: u64 = 60_000;
/// Maximum time for which an upstream still serves after its registration ended,
/// milliseconds.
const LEAVING_MS: u64 = 30_000;

#[derive(Debug, Clone)]
enum Step {
    Pass {
        ms: u64,
    },
    Register {
        version: usize,
    },
    Unregister {
        upstream: usize,
    },
    CatchUp {
        instance: usize,
    },
    Restart {
        instance: usize,
    },
    RestartAll,
    RemoveUnused {
        instance: usize,
    },
    Begin {
        instance: usize,
        choice: usize,
        loses: [bool; 3],
    },
    TellHistory {
        from: usize,
        to: usize,
    },
    TakeUp {
        instance: usize,
        stream: usize,
        /// The instance that reads the registrations: the one that is asked, or a peer if it
        /// does not reach the store.
        reader: Option<usize>,
        loses: [bool; 5],
    },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => prop_oneof![0..200_u64, 0..3_000_u64, 0..70_000_u64].prop_map(|ms| Step::Pass { ms }),
        1 => (0..VERSIONS.len()).prop_map(|version| Step::Register { version }),
        2 => (0..6_usize).prop_map(|upstream| Step::Unregister { upstream }),
        4 => instance.clone().prop_map(|instance| Step::CatchUp { instance }),
        1 => instance.clone().prop_map(|instance| Step::Restart { instance }),
        1 => Just(Step::RestartAll),
        2 => instance.clone().prop_map(|instance| Step::RemoveUnused { instance }),
        4 => (instance.clone(), any::<usize>(), any::<[bool; 3]>())
            .prop_map(|(instance, choice, loses)| Step::Begin { instance, choice, loses }),
        3 => (instance.clone(), instance.clone())
            .prop_map(|(from, to)| Step::TellHistory { from, to }),
        6 => (
            instance,
            any::<usize>(),
            prop::option::of(0..INSTANCES),
            any::<[bool; 5]>()
        )
            .prop_map(|(instance, stream, reader, loses)| Step::TakeUp {
                instance,
                stream,
                reader,
                loses,
            }),
    ]
}

/// An upstream and when its registration began and ended.
#[derive(Debug, Clone)]
struct Upstream {
    id: String,
    version: SoftwareVersion,
    ended_ms: Option<u64>,
}

/// A change of a registration, in the order of the store.
#[derive(Debug, Clone, Copy)]
struct Change {
    upstream: usize,
    is_end: bool,
}

#[derive(Debug)]
struct Stream {
    attempt: AttemptHash,
    version: VersionHash,
    began_ms: u64,
}

struct Instance {
    table: UpstreamTable,
    history: VersionHistory,
    origins: StreamOrigins,
    /// Number of changes that this instance knows.
    known: usize,
    /// Versions that were looked up in the list, while the registrations are read again.
    looked_up: Vec<SoftwareVersion>,
}

struct Model {
    /// List of versions in the store.
    list: ListedVersions,
    now_ms: u64,
    upstreams: Vec<Upstream>,
    changes: Vec<Change>,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
    gone_on: usize,
}

impl Instance {
    /// Starts an instance, which reads the registrations of now.
    fn new(index: usize, upstreams: &[Upstream], known: usize) -> Self {
        let mut instance = Self {
            table: UpstreamTable::new(locality(&name(index)), 1),
            history: VersionHistory::default(),
            origins: StreamOrigins::default(),
            known,
            looked_up: Vec::new(),
        };
        let registered = upstreams
            .iter()
            .filter(|upstream| upstream.ended_ms.is_none());
        for upstream in registered {
            instance.register(upstream);
        }
        instance
            .history
            .record_snapshot(known as u64, FROM_THE_START_MS);
        instance
    }

    fn register(&mut self, upstream: &Upstream) {
        let mut entry = entry(&upstream.id, "north-a");
        entry.version = upstream.version.clone();
        self.table.upsert(entry, 0);
    }

    /// Returns the versions of changed registrations that have to be looked up.
    fn new_versions(&self, upstreams: &[Upstream], changes: &[Change]) -> Vec<SoftwareVersion> {
        let new = &changes[self.known..];
        let mentioned: Vec<_> = new
            .iter()
            .map(|change| UpstreamId::new(&upstreams[change.upstream].id))
            .collect();
        let registered = new.iter().filter(|change| !change.is_end);
        let versions = registered.map(|change| upstreams[change.upstream].version.clone());
        let unknown = versions.filter(|version| {
            !self.looked_up.contains(version)
                && !self.table.has_version(&service(), version, &mentioned)
        });
        unknown.collect()
    }

    /// Looks up versions in the list, and adds those that are missing.
    fn look_up(&mut self, versions: &[SoftwareVersion], list: &mut ListedVersions, now_ms: u64) {
        for version in versions {
            self.history.record_listed(&service(), list, now_ms);
            if list.listing(version, now_ms) == Listing::Write {
                *list = list.clone().with_version(version, now_ms);
            }
            self.looked_up.push(version.clone());
        }
    }

    /// Applies all changes. One that came and went between two reads shows only its end.
    fn catch_up(&mut self, upstreams: &[Upstream], changes: &[Change], now_ms: u64) {
        let new = &changes[self.known..];
        for (position, change) in new.iter().enumerate() {
            let upstream = &upstreams[change.upstream];
            let later = &new[position + 1..];
            if !change.is_end {
                if later.iter().all(|other| other.upstream != change.upstream) {
                    self.register(upstream);
                }
                continue;
            }
            let id = UpstreamId::new(&upstream.id);
            match self.table.entry(&id) {
                Some(_) => self
                    .history
                    .record_vanished(&service(), &upstream.version, now_ms),
                None => self.history.record_unseen(now_ms),
            }
            self.table.remove(&id, false, 0);
        }
        self.looked_up.clear();
        self.known = changes.len();
        self.history.record_changes(changes.len() as u64);
        self.history.expire(now_ms);
    }
}

fn name(index: usize) -> String {
    format!("i-{index}")
}

/// Returns the holders of an attempt's record, as seen from an instance.
fn holders(attempt: AttemptHash, own: usize, holder_use: HolderUse) -> Vec<usize> {
    let others: Vec<_> = (0..INSTANCES).filter(|index| *index != own).collect();
    let peers: Vec<_> = others
        .iter()
        .map(|index| RecordHolder {
            instance: InstanceId::new(&name(*index)),
            region: Region::new("north"),
            has_lease: true,
        })
        .collect();
    let positions = record_holders(attempt, &peers, &Region::new("north"), holder_use);
    positions
        .into_iter()
        .map(|position| others[position])
        .collect()
}

impl Model {
    fn new() -> Self {
        let now_ms = 1_000_000;
        let mut model = Self {
            list: ListedVersions::default(),
            now_ms,
            upstreams: Vec::new(),
            changes: Vec::new(),
            instances: Vec::new(),
            streams: Vec::new(),
            gone_on: 0,
        };
        model.register(0);
        model.register(0);
        for index in 0..INSTANCES {
            let instance = model.start(index);
            model.instances.push(instance);
        }
        model
    }

    /// Starts an instance that has read the registrations and the list.
    fn start(&mut self, index: usize) -> Instance {
        let registered = self.upstreams.iter().filter(|up| up.ended_ms.is_none());
        let mut versions: Vec<_> = registered.map(|up| up.version.clone()).collect();
        versions.dedup();
        let mut instance = Instance::new(index, &self.upstreams, self.changes.len());
        instance.look_up(&versions, &mut self.list, self.now_ms);
        instance.looked_up.clear();
        instance
    }

    /// An instance takes a step to remove unused versions from the list.
    fn remove_unused(&mut self, index: usize) {
        if !self.catch_up(index) {
            return;
        }
        let instance = &self.instances[index];
        let is_used = |version: &SoftwareVersion| {
            let history = &instance.history;
            instance.table.has_version(&service(), version, &[])
                || history.has_vanished_lately(&service(), version, self.now_ms)
        };
        if let Some(next) = self.list.without_unused(is_used, self.now_ms) {
            self.list = next;
        }
    }

    fn register(&mut self, version: usize) {
        self.changes.push(Change {
            upstream: self.upstreams.len(),
            is_end: false,
        });
        self.upstreams.push(Upstream {
            id: format!("u{}", self.upstreams.len()),
            version: SoftwareVersion::new(VERSIONS[version]),
            ended_ms: None,
        });
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Pass { ms } => self.now_ms += ms,
            Step::Register { version } => self.register(*version),
            Step::Unregister { upstream } => self.unregister(*upstream),
            Step::CatchUp { instance } => {
                self.catch_up(*instance);
            }
            Step::Restart { instance } => self.instances[*instance] = self.start(*instance),
            Step::RestartAll => {
                for instance in 0..INSTANCES {
                    self.instances[instance] = self.start(instance);
                }
            }
            Step::RemoveUnused { instance } => self.remove_unused(*instance),
            Step::Begin {
                instance,
                choice,
                loses,
            } => self.begin(*instance, *choice, *loses),
            Step::TellHistory { from, to } => {
                if let Some(observed) = self.instances[*from].history.observed() {
                    self.instances[*to].history.receive(&observed);
                }
            }
            Step::TakeUp {
                instance,
                stream,
                reader,
                loses,
            } => {
                self.take_up(*instance, *stream, *reader, *loses);
            }
        }
    }

    fn unregister(&mut self, choice: usize) {
        let registered: Vec<_> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].ended_ms.is_none())
            .collect();
        if registered.len() < 2 {
            return;
        }
        let upstream = registered[choice % registered.len()];
        self.upstreams[upstream].ended_ms = Some(self.now_ms);
        self.changes.push(Change {
            upstream,
            is_end: true,
        });
    }

    /// Applies all changes, or looks up their versions first. Returns whether they were
    /// applied.
    fn catch_up(&mut self, index: usize) -> bool {
        let instance = &mut self.instances[index];
        let versions = instance.new_versions(&self.upstreams, &self.changes);
        if !versions.is_empty() {
            instance.look_up(&versions, &mut self.list, self.now_ms);
            return false;
        }
        instance.catch_up(&self.upstreams, &self.changes, self.now_ms);
        self.send_records(index, [false; 3]);
        true
    }

    /// An instance begins a stream at an upstream that it knows and that still serves.
    fn begin(&mut self, index: usize, choice: usize, loses: [bool; 3]) {
        let instance = &mut self.instances[index];
        let is_serving = |upstream: &&Upstream| {
            let is_known = instance
                .table
                .entry(&UpstreamId::new(&upstream.id))
                .is_some();
            let serves_until_ms = upstream.ended_ms.map(|ended_ms| ended_ms + LEAVING_MS);
            is_known && serves_until_ms.is_none_or(|until_ms| self.now_ms < until_ms)
        };
        let serving: Vec<_> = self.upstreams.iter().filter(is_serving).collect();
        if serving.is_empty() {
            return;
        }
        let upstream = serving[choice % serving.len()];
        let stream = Stream {
            attempt: AttemptHash::new(&format!("a{}", self.streams.len())),
            version: VersionHash::new(&upstream.version),
            began_ms: self.now_ms,
        };
        let record = OriginRecord {
            attempt: stream.attempt,
            version: stream.version,
        };
        instance.origins.record_own(record, self.now_ms);
        self.streams.push(stream);
        self.send_records(index, loses);
    }

    fn send_records(&mut self, index: usize, loses: [bool; 3]) {
        let now_ms = self.now_ms;
        let records = self.instances[index].origins.unsent(now_ms);
        for record in records {
            self.instances[index].origins.record_sent(record.attempt);
            let holders = holders(record.attempt, index, HolderUse::Send);
            for (holder, is_lost) in holders.into_iter().zip(loses) {
                if !is_lost {
                    self.instances[holder].origins.receive(record, now_ms);
                }
            }
        }
    }

    /// A caller takes up a stream, at an instance that may or may not reach the store. If it
    /// does not, it asks a peer, which may have been restarted a moment ago.
    fn take_up(&mut self, index: usize, choice: usize, reader: Option<usize>, loses: [bool; 5]) {
        let alive: Vec<_> = self
            .streams
            .iter()
            .filter(|stream| self.now_ms < stream.began_ms + LIFETIME_MS)
            .collect();
        if alive.is_empty() {
            return;
        }
        let Stream {
            attempt, version, ..
        } = *alive[choice % alive.len()];
        let mut known = self.instances[index]
            .origins
            .version_of(attempt, self.now_ms);
        let holders = holders(attempt, index, HolderUse::Ask);
        for (holder, is_lost) in holders.into_iter().zip(loses) {
            let told = self.instances[holder]
                .origins
                .version_of(attempt, self.now_ms);
            known = known.or(told.filter(|_| !is_lost));
        }
        if known.is_none()
            && let Some(reader) = reader
            && self.catch_up(reader)
        {
            let instance = &self.instances[reader];
            let only = instance
                .history
                .only_version(&service(), &instance.table, self.now_ms);
            known = only.map(|only| VersionHash::new(&only));
        }
        if let Some(known) = known {
            assert_eq!(known, version, "a stream goes on at another version");
            self.gone_on += 1;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn take_up_never_mixes_versions(steps in prop::collection::vec(step(), 0..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.play(step);
        }
    }
}

/// While a single version is registered, streams go on although no record is sent.
#[test]
fn take_up_goes_on_at_the_only_version() {
    let mut model = Model::new();
    model.now_ms += 200_000;
    for instance in 0..INSTANCES {
        model.catch_up(instance);
    }
    for choice in 0..8 {
        model.begin(0, choice, [true; 3]);
    }
    for stream in 0..8 {
        let index = 1 + stream % 3;
        model.take_up(index, stream, Some(index), [true; 5]);
    }
    assert_eq!(model.gone_on, 8);
}
