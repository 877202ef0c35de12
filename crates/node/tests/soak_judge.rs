//! What the judge of the soak finds, and what it excuses.

mod support;

use std::collections::BTreeMap;

use standin::{EventRun, EventRuns};
use support::soak::{
    Finding, Shared,
    exchange::Ending,
    history::{Deed, Part, Span},
    job_log::{ItemResult, JobLog, Observation, Page, Seen},
    judge_jobs, judge_requests,
    requests::RequestRecord,
};

/// A moment in calm, milliseconds.
const CALM_MS: u64 = 20_000;

fn shared() -> Shared {
    Shared::new(1, Vec::new())
}

fn with_deed(part: Part, deed: Deed, span: Span) -> Shared {
    let shared = shared();
    shared.history.lock().unwrap().record(part, deed, span);
    shared
}

fn request(ending: Ending, span: Span) -> RequestRecord {
    RequestRecord {
        id: "r".to_owned(),
        path: "/once/x".to_owned(),
        limit_ms: 5_000,
        instance: 0,
        earlier: 0,
        ending,
        status: None,
        span,
        is_wrong: false,
    }
}

/// Returns runs at two servers, of which the first has run the request.
fn passed_on() -> Vec<EventRuns> {
    let run = EventRun {
        path: "/once/x".to_owned(),
        after_event: None,
        time_left_ms: None,
        customer: None,
        has_key: false,
        body: String::new(),
    };
    let runs = BTreeMap::from([("r".to_owned(), vec![run])]);
    vec![runs, EventRuns::new()]
}

fn not_passed_on() -> Vec<EventRuns> {
    vec![EventRuns::new(), EventRuns::new()]
}

fn count_cuts(shared: &Shared, span: Span, runs: &[EventRuns]) -> usize {
    shared.add_request(request(Ending::Cut, span));
    judge_requests::judge(shared, runs).len()
}

#[test]
fn cut_in_calm_is_found() {
    let span = Span::new(CALM_MS, CALM_MS + 50);
    assert_eq!(count_cuts(&shared(), span, &passed_on()), 1);
}

#[test]
fn request_that_crosses_the_close_is_excused_unless_it_was_passed_on() {
    let shortly = Span::new(CALM_MS, CALM_MS + 150);
    assert_eq!(count_cuts(&shared(), shortly, &not_passed_on()), 0);
    let later = Span::new(CALM_MS, CALM_MS + 250);
    assert_eq!(count_cuts(&shared(), later, &not_passed_on()), 1);
}

#[test]
fn cut_beside_a_disruption_is_excused_until_all_is_stable() {
    let freeze = Span::new(CALM_MS - 5_000, CALM_MS - 3_900);
    let part = Part::Instance(0);
    let deed = Deed::Disrupt("freeze");
    let span = Span::new(CALM_MS, CALM_MS + 50);
    assert_eq!(
        count_cuts(&with_deed(part, deed, freeze), span, &passed_on()),
        0
    );
    let stable = Span::new(CALM_MS + 200, CALM_MS + 250);
    assert_eq!(
        count_cuts(&with_deed(part, deed, freeze), stable, &passed_on()),
        1
    );
    let other = with_deed(Part::Instance(1), deed, freeze);
    assert_eq!(count_cuts(&other, span, &passed_on()), 1);
}

#[test]
fn cut_by_a_server_is_excused_if_that_server_ran_the_request() {
    let crash = Span::new(CALM_MS, CALM_MS + 40);
    let deed = Deed::Disrupt("crash");
    let span = Span::new(CALM_MS, CALM_MS + 50);
    let own = with_deed(Part::Server(0), deed, crash);
    assert_eq!(count_cuts(&own, span, &passed_on()), 0);
    let other = with_deed(Part::Server(1), deed, crash);
    assert_eq!(count_cuts(&other, span, &passed_on()), 1);
}

#[test]
fn cut_at_the_end_of_a_stop_is_excused_if_the_request_was_sent_early() {
    let stop = || {
        with_deed(
            Part::Instance(0),
            Deed::Stop,
            Span::new(CALM_MS, CALM_MS + 9_000),
        )
    };
    let early = Span::new(CALM_MS + 2_900, CALM_MS + 7_600);
    assert_eq!(count_cuts(&stop(), early, &passed_on()), 0);
    let late = Span::new(CALM_MS + 3_100, CALM_MS + 7_600);
    assert_eq!(count_cuts(&stop(), late, &passed_on()), 1);
    let ended_early = Span::new(CALM_MS + 2_900, CALM_MS + 6_000);
    assert_eq!(count_cuts(&stop(), ended_early, &passed_on()), 1);
}

#[test]
fn cut_beside_a_configuration_is_found() {
    let written = Span::new(CALM_MS, CALM_MS + 5);
    let shared = with_deed(Part::Store, Deed::Configure, written);
    let span = Span::new(CALM_MS - 20, CALM_MS + 50);
    assert_eq!(count_cuts(&shared, span, &passed_on()), 1);
}

#[test]
fn cut_is_excused_while_the_soak_itself_stalls() {
    let span = Span::new(CALM_MS, CALM_MS + 50);
    let short = |from_ms| {
        let stall = Span::new(from_ms, from_ms + 100);
        with_deed(Part::Machine, Deed::Stall, stall)
    };
    assert_eq!(count_cuts(&short(CALM_MS), span, &passed_on()), 0);
    assert_eq!(count_cuts(&short(CALM_MS - 200), span, &passed_on()), 1);
    let long = Span::new(CALM_MS - 4_000, CALM_MS - 3_000);
    let long = with_deed(Part::Machine, Deed::Stall, long);
    assert_eq!(count_cuts(&long, span, &passed_on()), 0);
}

#[test]
fn request_at_its_deadline_is_excused() {
    let span = Span::new(CALM_MS, CALM_MS + 5_000);
    assert_eq!(count_cuts(&shared(), span, &passed_on()), 0);
}

#[test]
fn request_is_excused_at_its_own_limit_only() {
    let count = |limit_ms, lasted_ms| {
        let shared = shared();
        let span = Span::new(CALM_MS, CALM_MS + lasted_ms);
        let mut request = request(Ending::Cut, span);
        request.limit_ms = limit_ms;
        shared.add_request(request);
        judge_requests::judge(&shared, &passed_on()).len()
    };
    assert_eq!(count(9_000, 5_000), 1);
    assert_eq!(count(9_000, 9_000), 0);
    assert_eq!(count(3_000, 2_900), 1);
    assert_eq!(count(3_000, 3_000), 0);
}

fn observation(at_ms: u64, status: u16, seen: Seen) -> Observation {
    Observation {
        instance: 0,
        span: Span::new(at_ms, at_ms + 20),
        status: Some(status),
        seen,
    }
}

fn done(item: &str) -> ItemResult {
    ItemResult {
        item: item.to_owned(),
        state: "done".to_owned(),
        output: support::complete_output(item),
    }
}

fn read(at_ms: u64, after: usize, results: Vec<ItemResult>) -> Observation {
    let page = Some(Page { total: 2, results });
    observation(at_ms, 200, Seen::Read { after, page })
}

fn submission(at_ms: u64, status: u16, round: u64) -> Observation {
    observation(at_ms, status, Seen::Submission { round })
}

/// Returns a job of two items that was accepted in calm, and what was listed at the end.
fn accepted_job(final_results: Vec<ItemResult>) -> JobLog {
    let mut job = JobLog::new("j", vec!["i0".to_owned(), "i1".to_owned()], 0);
    job.observations.push(submission(CALM_MS, 202, 0));
    job.final_page = Some(Page {
        total: 2,
        results: final_results,
    });
    job
}

fn complete_job(observations: impl IntoIterator<Item = Observation>) -> JobLog {
    let mut job = accepted_job(vec![done("i0"), done("i1")]);
    job.observations.extend(observations);
    job
}

fn judge(job: JobLog) -> Vec<Finding> {
    judge_in(&shared(), job)
}

fn judge_in(shared: &Shared, job: JobLog) -> Vec<Finding> {
    shared.add_job(job);
    judge_jobs::judge(shared)
}

fn unknown(at_ms: u64) -> Observation {
    observation(
        at_ms,
        404,
        Seen::Read {
            after: 0,
            page: None,
        },
    )
}

#[test]
fn job_that_is_kept_breaks_nothing() {
    let reads = [
        read(CALM_MS + 100, 0, vec![done("i0")]),
        read(CALM_MS + 200, 0, vec![done("i0"), done("i1")]),
        submission(CALM_MS + 3_000, 202, 1),
    ];
    let findings = judge(complete_job(reads));
    assert!(findings.is_empty(), "{findings:?}");
}

#[test]
fn unknown_job_is_found_once_it_has_settled() {
    assert_eq!(judge(complete_job([unknown(CALM_MS + 900)])).len(), 0);
    assert_eq!(judge(complete_job([unknown(CALM_MS + 1_100)])).len(), 1);
    let span = Span::new(CALM_MS, CALM_MS + 1);
    let started = with_deed(Part::Instance(0), Deed::Start, span);
    assert_eq!(
        judge_in(&started, complete_job([unknown(CALM_MS + 1_100)])).len(),
        0
    );
}

#[test]
fn nothing_at_a_position_is_found_once_it_has_settled() {
    let listed = read(CALM_MS + 100, 0, vec![done("i0")]);
    let soon = [listed.clone(), read(CALM_MS + 900, 0, Vec::new())];
    assert_eq!(judge(complete_job(soon)).len(), 0);
    let later = [listed.clone(), read(CALM_MS + 1_200, 0, Vec::new())];
    assert_eq!(judge(complete_job(later)).len(), 1);
    let next = [listed, read(CALM_MS + 1_200, 1, Vec::new())];
    assert_eq!(judge(complete_job(next)).len(), 0);
}

#[test]
fn repeat_that_is_turned_away_three_times_is_found() {
    let refusals = |rounds: [u64; 3], status: u16| {
        let times = [2_000, 2_200, 2_400];
        let refusals = times.into_iter().zip(rounds);
        complete_job(
            refusals.map(|(after_ms, round)| submission(CALM_MS + after_ms, status, round)),
        )
    };
    assert_eq!(judge(refusals([1, 1, 1], 429)).len(), 1);
    assert_eq!(judge(refusals([1, 1, 1], 404)).len(), 1);
    assert_eq!(judge(refusals([1, 1, 2], 429)).len(), 0);
    assert_eq!(judge(refusals([1, 1, 1], 503)).len(), 0);
}

#[test]
fn missing_body_is_found_while_the_item_is_unlisted() {
    let body = |is_listed| {
        let seen = Seen::Body {
            item: "i0".to_owned(),
            is_right: false,
            is_listed,
        };
        complete_job([observation(CALM_MS + 2_000, 404, seen)])
    };
    assert_eq!(judge(body(Some(false))).len(), 1);
    assert_eq!(judge(body(Some(true))).len(), 0);
    assert_eq!(judge(body(None)).len(), 0);
}

#[test]
fn job_that_is_gone_or_unfinished_at_the_end_is_found() {
    let mut gone = complete_job([]);
    gone.final_page = None;
    assert_eq!(judge(gone).len(), 1);
    assert_eq!(judge(accepted_job(vec![done("i0")])).len(), 1);
    let mut ended = accepted_job(vec![done("i0")]);
    ended.end_sent_ms = Some(CALM_MS);
    assert_eq!(judge(ended).len(), 0);
    let mut lost = accepted_job(Vec::new());
    lost.end_sent_ms = Some(CALM_MS);
    lost.observations.push(read(CALM_MS, 0, vec![done("i0")]));
    assert_eq!(judge(lost).len(), 1);
}

#[test]
fn result_that_changes_or_comes_twice_is_found() {
    let first = read(CALM_MS, 0, vec![done("i0")]);
    let changed = read(CALM_MS + 100, 0, vec![done("i1")]);
    assert_eq!(judge(complete_job([first.clone(), changed])).len(), 1);
    let twice = read(CALM_MS + 100, 1, vec![done("i0")]);
    assert_eq!(judge(complete_job([first, twice])).len(), 1);
    let mut part = done("i0");
    part.output.truncate(4);
    assert_eq!(judge(complete_job([read(CALM_MS, 0, vec![part])])).len(), 1);
}
