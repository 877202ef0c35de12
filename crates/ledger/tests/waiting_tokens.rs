//! Admission of jobs to a route with a limit on waiting tokens: single decisions, and a
//! model of several instances over one store with random interleavings.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use ledger::{Admission, AdmissionRequest, Directory, JobPhase, JobRecord, OwnerId, StoredJob};
use model::{CustomerName, InstanceId, JobId};
use proptest::prelude::*;

const ROUTE: &str = "nightly";
const DECISION_WINDOW_MS: u64 = 500;

fn owner(index: usize) -> OwnerId {
    OwnerId {
        instance: InstanceId::new(&format!("n{index}")),
        started_unix_ms: 1,
    }
}

fn record(unfinished_tokens: u64, is_admitted: bool) -> JobRecord {
    JobRecord {
        route: ROUTE.into(),
        unfinished_tokens,
        is_admitted,
        ..support::record(Some(owner(0)))
    }
}

fn stored(id: &str, version: u64, record: JobRecord) -> StoredJob {
    StoredJob {
        id: JobId::new(id),
        record: Arc::new(record),
        version,
    }
}

fn request(tokens: u64, version: Option<u64>) -> AdmissionRequest<'static> {
    AdmissionRequest {
        route: ROUTE,
        customer: None,
        tokens,
        tokens_max: 100,
        version,
    }
}

#[test]
fn decide_admission_counts_admitted_and_decided_jobs() {
    let mut directory = Directory::new(owner(0));
    directory.record_job(stored("a", 1, record(40, true)), 0);
    directory.record_job(stored("b", 2, record(30, false)), 0);
    let now_ms = DECISION_WINDOW_MS;
    let decide = |tokens| directory.decide_admission(&request(tokens, Some(3)), now_ms);
    assert_eq!(decide(30), Admission::Admitted);
    let refused = Admission::Refused { waiting_tokens: 70 };
    assert_eq!(decide(31), refused);
}

/// A job with a lower version that does not fit is going to be removed, so a smaller one
/// must not be refused because of it.
#[test]
fn decide_admission_waits_for_undecided_job() {
    let mut directory = Directory::new(owner(0));
    directory.record_job(stored("a", 1, record(50, true)), 0);
    directory.record_job(stored("b", 2, record(60, false)), 10);
    let decide = |directory: &Directory| directory.decide_admission(&request(30, Some(3)), 20);
    assert_eq!(decide(&directory), Admission::Undecided);
    directory.remove_job(&JobId::new("b"), 2, 30);
    assert_eq!(decide(&directory), Admission::Admitted);
}

#[test]
fn decide_admission_ignores_unconfirmed_jobs_with_higher_versions() {
    let mut directory = Directory::new(owner(0));
    directory.record_job(stored("later", 9, record(90, false)), 0);
    let decide = |version| directory.decide_admission(&request(50, version), 0);
    assert_eq!(decide(Some(8)), Admission::Admitted);
    assert_eq!(decide(Some(10)), Admission::Undecided);
    assert_eq!(decide(None), Admission::Undecided, "not stored yet");
}

#[test]
fn decide_admission_frees_tokens_of_finished_and_ended_jobs() {
    let mut directory = Directory::new(owner(0));
    directory.record_job(stored("a", 1, record(60, true)), 0);
    directory.record_job(stored("b", 2, record(40, true)), 0);
    directory.record_job(stored("a", 3, record(20, true)), 0);
    assert_eq!(directory.waiting_tokens(ROUTE, None), 60);
    let mut ended = record(40, true);
    ended.phase = JobPhase::Ended;
    directory.record_job(stored("b", 4, ended), 0);
    assert_eq!(directory.waiting_tokens(ROUTE, None), 20);
}

/// What one customer has waiting leaves the room of the others as it is.
#[test]
fn decide_admission_counts_each_customer_by_itself() {
    let customers = ["one", "two"].map(CustomerName::new);
    let mut directory = Directory::new(owner(0));
    let mut own = record(90, true);
    own.customer = Some(customers[0].clone());
    directory.record_job(stored("a", 1, own), 0);
    let decide = |customer| {
        let request = AdmissionRequest {
            customer,
            ..request(20, Some(2))
        };
        directory.decide_admission(&request, 0)
    };
    let refused = Admission::Refused { waiting_tokens: 90 };
    assert_eq!(decide(Some(&customers[0])), refused);
    assert_eq!(decide(Some(&customers[1])), Admission::Admitted);
    assert_eq!(decide(None), Admission::Admitted);
}

/// 60 tokens finished lately, so the missing 30 take about half of that time.
#[test]
fn admission_retry_follows_rate_of_finished_tokens() {
    let mut directory = Directory::new(owner(0));
    directory.record_job(stored("a", 1, record(160, true)), 0);
    directory.record_job(stored("a", 2, record(100, true)), 1_000);
    let retry_ms = |spread| directory.admission_retry_ms(&request(30, None), spread, 1_000);
    assert_eq!(retry_ms(0.0), 2_500);
    assert_eq!(retry_ms(1.0), 5_000);
    let never_fits = directory.admission_retry_ms(&request(200, None), 0.0, 1_000);
    assert_eq!(never_fits, 1_000);
}

/// One step of the model. The numbers select an instance or a job.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit {
        instance: usize,
        tokens: u64,
    },
    /// An instance reads all changes and decides about its oldest undecided job.
    Decide {
        instance: usize,
    },
    /// An instance writes its oldest decision.
    Write {
        instance: usize,
    },
    /// An instance reads the changes of the store.
    Read {
        instance: usize,
    },
    /// A caller submits a stored job again, which another instance then decides too.
    Repeat {
        instance: usize,
        job: usize,
    },
    /// The owner of an accepted job finishes some of its tokens.
    Finish {
        job: usize,
        tokens: u64,
    },
    End {
        job: usize,
    },
    Restart {
        instance: usize,
    },
    SetLimit {
        tokens_max: u64,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0_usize..INSTANCES;
    let tokens = || 1_u64..50;
    prop_oneof![
        4 => (instance(), tokens()).prop_map(|(instance, tokens)| Step::Submit { instance, tokens }),
        5 => instance().prop_map(|instance| Step::Decide { instance }),
        5 => instance().prop_map(|instance| Step::Write { instance }),
        2 => instance().prop_map(|instance| Step::Read { instance }),
        1 => (instance(), 0_usize..64).prop_map(|(instance, job)| Step::Repeat { instance, job }),
        3 => (0_usize..64, tokens()).prop_map(|(job, tokens)| Step::Finish { job, tokens }),
        1 => (0_usize..64).prop_map(|job| Step::End { job }),
        1 => instance().prop_map(|instance| Step::Restart { instance }),
        1 => (50_u64..150).prop_map(|tokens_max| Step::SetLimit { tokens_max }),
        2 => (0_u64..300).prop_map(|ms| Step::Wait { ms }),
    ]
}

const INSTANCES: usize = 4;

/// Several instances over one store.
struct Model {
    now_ms: u64,
    tokens_max: u64,
    /// Highest limit so far. Jobs accepted under it may still wait.
    tokens_max_ever: u64,
    version: u64,
    rows: BTreeMap<JobId, (JobRecord, u64)>,
    /// Changes in the order of their versions; a removed row has no record.
    changes: Vec<(u64, JobId, Option<JobRecord>)>,
    instances: Vec<Instance>,
    next_job: usize,
    /// Jobs that were acknowledged.
    accepted: BTreeSet<JobId>,
}

struct Instance {
    directory: Directory,
    read_version: u64,
    undecided: Vec<JobId>,
    /// Decisions to be written, with the version of the record that they require.
    decisions: Vec<(JobId, u64, Admission)>,
}

impl Model {
    fn new() -> Self {
        let instance = |index| Instance {
            directory: Directory::new(owner(index)),
            read_version: 0,
            undecided: Vec::new(),
            decisions: Vec::new(),
        };
        Self {
            now_ms: 0,
            tokens_max: 100,
            tokens_max_ever: 100,
            version: 0,
            rows: BTreeMap::new(),
            changes: Vec::new(),
            instances: (0..INSTANCES).map(instance).collect(),
            next_job: 0,
            accepted: BTreeSet::new(),
        }
    }

    fn write(&mut self, id: &JobId, record: Option<JobRecord>) {
        self.version += 1;
        match &record {
            Some(record) => self.rows.insert(id.clone(), (record.clone(), self.version)),
            None => self.rows.remove(id),
        };
        self.changes.push((self.version, id.clone(), record));
    }

    fn read(&mut self, instance: usize) {
        let now_ms = self.now_ms;
        let Instance {
            directory,
            read_version,
            ..
        } = &mut self.instances[instance];
        for (version, id, record) in &self.changes {
            if *version <= *read_version {
                continue;
            }
            match record {
                Some(record) => {
                    directory.record_job(stored(id.as_str(), *version, record.clone()), now_ms);
                }
                None => {
                    directory.remove_job(id, *version, now_ms);
                }
            }
        }
        *read_version = self.version;
    }

    fn request(&self, tokens: u64, version: Option<u64>) -> AdmissionRequest<'static> {
        AdmissionRequest {
            route: ROUTE,
            customer: None,
            tokens,
            tokens_max: self.tokens_max,
            version,
        }
    }

    fn submit(&mut self, instance: usize, tokens: u64) {
        let request = self.request(tokens, None);
        let directory = &self.instances[instance].directory;
        let decision = directory.decide_admission(&request, self.now_ms);
        if matches!(decision, Admission::Refused { .. }) {
            return;
        }
        let id = JobId::new(&format!("j{}", self.next_job));
        self.next_job += 1;
        self.write(&id, Some(record(tokens, false)));
        self.instances[instance].undecided.push(id);
    }

    fn decide(&mut self, instance: usize) {
        self.read(instance);
        let Some(id) = self.instances[instance].undecided.first().cloned() else {
            return;
        };
        let decision = self.rows.get(&id).and_then(|(record, version)| {
            let is_undecided = !record.is_admitted && record.is_open();
            let request = self.request(record.waiting_tokens(), Some(*version));
            let directory = &self.instances[instance].directory;
            let decide = || directory.decide_admission(&request, self.now_ms);
            is_undecided.then(|| (*version, decide()))
        });
        match decision {
            Some((_, Admission::Undecided)) => return,
            Some((_, Admission::Refused { waiting_tokens }))
                if self.is_wrong(&id, waiting_tokens) =>
            {
                panic!("job {id} is refused because of tokens that do not wait")
            }
            Some((version, decision)) => self.instances[instance]
                .decisions
                .push((id, version, decision)),
            None => {}
        }
        self.instances[instance].undecided.remove(0);
    }

    /// Returns whether a refusal counts more tokens than those of the other stored jobs.
    fn is_wrong(&self, id: &JobId, waiting_tokens: u64) -> bool {
        let others = self.rows.iter().filter(|(other, _)| *other != id);
        let stored: u64 = others.map(|(_, (row, _))| row.waiting_tokens()).sum();
        waiting_tokens > stored
    }

    /// Writes a decision, if the record still has the version that it requires.
    fn write_decision(&mut self, instance: usize) {
        if self.instances[instance].decisions.is_empty() {
            return;
        }
        let (id, version, decision) = self.instances[instance].decisions.remove(0);
        let Some((record, current_version)) = self.rows.get(&id).cloned() else {
            return;
        };
        if current_version != version {
            return;
        }
        match decision {
            Admission::Refused { .. } => {
                assert!(!self.accepted.contains(&id), "an accepted job is removed");
                self.write(&id, None);
            }
            Admission::Admitted | Admission::Undecided => {
                let is_admitted = true;
                let record = JobRecord {
                    is_admitted,
                    ..record
                };
                self.write(&id, Some(record));
                self.accept(&id);
            }
        }
    }

    /// Accepts a job, and checks that the accepted jobs keep the limit.
    fn accept(&mut self, id: &JobId) {
        self.accepted.insert(id.clone());
        let waiting = |id: &JobId| self.rows.get(id).map_or(0, |(row, _)| row.waiting_tokens());
        let sum: u64 = self.accepted.iter().map(waiting).sum();
        let limit = self.tokens_max_ever;
        assert!(
            sum <= limit,
            "{sum} tokens of accepted jobs wait, limit {limit}"
        );
    }

    fn repeat(&mut self, instance: usize, job: usize) {
        if let Some((id, _)) = self.nth_row(job) {
            self.instances[instance].undecided.push(id);
        }
    }

    fn nth_row(&self, job: usize) -> Option<(JobId, (JobRecord, u64))> {
        let index = job.checked_rem(self.rows.len())?;
        let (id, row) = self.rows.iter().nth(index)?;
        Some((id.clone(), row.clone()))
    }

    fn finish(&mut self, job: usize, tokens: u64) {
        let Some((id, (mut record, _))) = self.nth_row(job) else {
            return;
        };
        if self.accepted.contains(&id) {
            record.unfinished_tokens = record.unfinished_tokens.saturating_sub(tokens);
            self.write(&id, Some(record));
        }
    }

    fn end(&mut self, job: usize) {
        let Some((id, (mut record, _))) = self.nth_row(job) else {
            return;
        };
        record.phase = JobPhase::Ended;
        self.write(&id, Some(record));
    }

    /// Restarts an instance: everything that it knew is gone.
    fn restart(&mut self, index: usize) {
        let mut directory = Directory::new(owner(index));
        for (id, (record, version)) in &self.rows {
            directory.record_job(stored(id.as_str(), *version, record.clone()), self.now_ms);
        }
        self.instances[index] = Instance {
            directory,
            read_version: self.version,
            undecided: Vec::new(),
            decisions: Vec::new(),
        };
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit { instance, tokens } => self.submit(instance, tokens),
            Step::Decide { instance } => self.decide(instance),
            Step::Write { instance } => self.write_decision(instance),
            Step::Read { instance } => self.read(instance),
            Step::Repeat { instance, job } => self.repeat(instance, job),
            Step::Finish { job, tokens } => self.finish(job, tokens),
            Step::End { job } => self.end(job),
            Step::Restart { instance } => self.restart(instance),
            Step::SetLimit { tokens_max } => {
                self.tokens_max = tokens_max;
                self.tokens_max_ever = self.tokens_max_ever.max(tokens_max);
            }
            Step::Wait { ms } => self.now_ms += ms,
        }
    }

    /// Checks that an instance that has read everything counts what the store holds.
    fn check_counts(&mut self) {
        let rows = self.rows.values();
        let stored: u64 = rows.map(|(row, _)| row.waiting_tokens()).sum();
        for instance in 0..INSTANCES {
            self.read(instance);
            let directory = &self.instances[instance].directory;
            assert_eq!(directory.waiting_tokens(ROUTE, None), stored);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn decisions_of_all_instances_keep_limit(steps in prop::collection::vec(step(), 1..200)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
        }
        model.check_counts();
    }
}
