//! Choice of the work that a batch process tries to claim next.

use std::sync::Arc;

use jobs::{
    ActiveChunk, ChunkName, Deferral, OpId, OpenJob, OpenRow, SchedulingContext, WorkKind,
    choose_work, open_key,
};
use model::{CustomerId, InstanceId, JobId, Region};

const HOUR_MS: u64 = 3_600_000;

fn open_job(name: &str, customer: &str, deadline_ms: u64) -> OpenJob {
    let id = JobId::new(name);
    OpenJob {
        key: open_key(&Region::new("r"), deadline_ms, &id),
        version: 1,
        row: OpenRow {
            job: id,
            job_version: None,
            customer: CustomerId::new(customer),
            endpoint: String::new(),
            input_file: Arc::from("f"),
            models: Vec::new(),
            items: 1_000,
            chunks: 5,
            cursor: 0,
            active: Vec::new(),
            created_at_ms: 0,
            deadline_ms,
            op: OpId::new(1),
        },
    }
}

/// Adds a chunk that another instance leased until `lease_until_ms`.
fn with_leased_chunk(mut job: OpenJob, lease_until_ms: u64) -> OpenJob {
    job.row.cursor += 1;
    job.row.active.push(ActiveChunk {
        chunk: ChunkName::new(0),
        holder: Some(InstanceId::new("other")),
        lease_until_ms,
    });
    job
}

fn choose(jobs: &[OpenJob], deferrals: &[Deferral], now_ms: u64) -> Option<(String, WorkKind)> {
    let instance = InstanceId::new("me");
    let context = SchedulingContext {
        instance: &instance,
        peers: std::slice::from_ref(&instance),
        deferrals,
        capable_instances: &vec![vec![instance.clone()]; jobs.len()],
        has_capacity: true,
        held_chunks: &[],
        item_us: 1_000_000,
        now_ms,
    };
    let work = choose_work(jobs, &context)?;
    Some((jobs[work.job_index].row.job.to_string(), work.kind))
}

#[track_caller]
fn check_choice(jobs: &[OpenJob], now_ms: u64, expected: &str, kind: WorkKind) {
    assert_eq!(choose(jobs, &[], now_ms), Some((expected.to_owned(), kind)));
}

#[test]
fn choose_work_prefers_least_slack() {
    let jobs = [
        open_job("late", "a", 9 * HOUR_MS),
        open_job("soon", "a", 5 * HOUR_MS),
    ];
    check_choice(&jobs, 0, "soon", WorkKind::FreshClaim);
}

#[test]
fn choose_work_prefers_job_at_risk_over_idle_customer() {
    let busy = with_leased_chunk(open_job("risk", "busy", HOUR_MS / 5), HOUR_MS);
    let jobs = [busy, open_job("calm", "idle", 9 * HOUR_MS)];
    check_choice(&jobs, 0, "risk", WorkKind::FreshClaim);
}

#[test]
fn choose_work_prefers_customer_with_fewest_leased_chunks() {
    let busy = with_leased_chunk(open_job("soon", "busy", 5 * HOUR_MS), HOUR_MS);
    let jobs = [busy, open_job("late", "idle", 9 * HOUR_MS)];
    check_choice(&jobs, 0, "late", WorkKind::FreshClaim);
}

#[test]
fn choose_work_prefers_lapsed_lease_over_fresh_chunks() {
    let lapsed = with_leased_chunk(open_job("lapsed", "a", 9 * HOUR_MS), 1_000);
    let jobs = [open_job("fresh", "b", 5 * HOUR_MS), lapsed];
    let kind = WorkKind::Takeover(ChunkName::new(0));
    check_choice(&jobs, 2_000, "lapsed", kind);
}

#[test]
fn choose_work_skips_deferred_chunk_and_completion_check() {
    let mut only_job = with_leased_chunk(open_job("only", "a", 9 * HOUR_MS), 1_000);
    only_job.row.cursor = only_job.row.chunks;
    let deferral = |chunk: Option<ChunkName>| Deferral {
        job: only_job.row.job.clone(),
        chunk,
        until_ms: 5_000,
    };
    let deferrals = [deferral(Some(ChunkName::new(0))), deferral(None)];
    let only_job = [only_job];
    assert_eq!(choose(&only_job, &deferrals, 2_000), None);
    let takeover = WorkKind::Takeover(ChunkName::new(0));
    let expected = Some(("only".to_owned(), takeover));
    assert_eq!(choose(&only_job, &deferrals, 6_000), expected);
}

#[test]
fn choose_work_checks_completion_once_all_chunks_are_claimed() {
    let mut only_job = with_leased_chunk(open_job("only", "a", 9 * HOUR_MS), HOUR_MS);
    let expected = Some(("only".to_owned(), WorkKind::FreshClaim));
    assert_eq!(
        choose(std::slice::from_ref(&only_job), &[], 2_000),
        expected
    );
    only_job.row.cursor = only_job.row.chunks;
    let expected = Some(("only".to_owned(), WorkKind::CompletionCheck));
    assert_eq!(choose(&[only_job], &[], 2_000), expected);
}

#[test]
fn is_watcher_selects_three_of_many_peers() {
    let peers: Vec<_> = (0..1_000)
        .map(|index| InstanceId::from(format!("i{index:04}")))
        .collect();
    let watchers = peers
        .iter()
        .filter(|peer| jobs::is_watcher(peer, &peers, "chunk/x/000001"));
    assert_eq!(watchers.count(), 3);
}
