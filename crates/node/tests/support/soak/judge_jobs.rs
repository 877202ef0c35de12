//! Judges what became of accepted jobs.

use super::{
    Finding, Shared,
    finish::is_kept,
    history::History,
    job_log::{ItemResult, JobLog, Observation, Page, Seen},
};
use crate::support::complete_output;

/// Time after which what was accepted or read must be known at all instances, milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Number of times that a repeat may not be turned away.
const TURNED_AWAY_MAX: usize = 3;

/// Judges all jobs.
pub fn judge(shared: &Shared) -> Vec<Finding> {
    let history = shared.history.lock().unwrap();
    let jobs = shared.jobs.lock().unwrap();
    let now_ms = shared.clock.now_ms();
    let accepted: Vec<_> = jobs
        .iter()
        .filter_map(|job| Some((job, job.accepted_ms()?)))
        .collect();
    let results = accepted
        .iter()
        .filter_map(|(job, _)| job.final_page.as_ref());
    let dead = results.flat_map(|page| &page.results);
    let dead = dead.filter(|result| result.state == "dead").count();
    println!(
        "jobs: {}, accepted: {}, items dead at the end: {dead}",
        jobs.len(),
        accepted.len()
    );
    let mut findings = Vec::new();
    for (job, accepted_ms) in accepted {
        let mut judge = JobJudge {
            job,
            accepted_ms,
            history: &history,
            listed: Vec::new(),
            findings: Vec::new(),
        };
        judge.judge_calls();
        judge.judge_repeats();
        if is_kept(job, now_ms) {
            judge.judge_end(now_ms);
        }
        findings.extend(judge.findings);
    }
    findings
}

struct JobJudge<'a> {
    job: &'a JobLog,
    accepted_ms: u64,
    history: &'a History,
    /// Results by position, each with the time at which it was first read.
    listed: Vec<Option<(&'a ItemResult, u64)>>,
    findings: Vec<Finding>,
}

impl<'a> JobJudge<'a> {
    fn add(&mut self, at_ms: u64, text: &str) {
        let text = format!(
            "job {}, accepted at {}: {text}",
            self.job.id, self.accepted_ms
        );
        self.findings.push(Finding { at_ms, text });
    }

    /// Adds a finding if an instance in touch was asked when something known since `known_ms` had
    /// settled, and prints a note if the instance was out of touch.
    fn add_if_settled(&mut self, observation: &Observation, known_ms: u64, text: &str) {
        let text = format!("{text}: {observation:?}");
        if self.is_settled(observation, known_ms) {
            self.add(observation.span.to_ms, &text);
        } else if observation.span.from_ms > known_ms + SETTLE_MS {
            println!("NOTE out of touch: job {}: {text}", self.job.id);
        }
    }

    /// Returns whether an instance in touch was asked when something known since `known_ms` had
    /// settled.
    fn is_settled(&self, observation: &Observation, known_ms: u64) -> bool {
        observation.span.from_ms > known_ms + SETTLE_MS
            && self
                .history
                .is_in_touch(observation.instance, observation.span)
    }

    fn judge_calls(&mut self) {
        let mut observations: Vec<_> = self.job.observations.iter().collect();
        observations.sort_by_key(|observation| observation.span.to_ms);
        for observation in observations {
            let is_about_job = !matches!(observation.seen, Seen::Submission { .. });
            let is_body = matches!(observation.seen, Seen::Body { .. });
            let is_gone = matches!(observation.status, Some(404 | 410));
            if is_about_job && !is_body && is_gone {
                self.add_if_settled(observation, self.accepted_ms, "is not known");
            }
            match &observation.seen {
                Seen::Read {
                    after,
                    page: Some(page),
                } => self.judge_page(observation, *after, page),
                Seen::Body { .. } => self.judge_body(observation),
                _ => {}
            }
        }
    }

    fn judge_page(&mut self, observation: &'a Observation, after: usize, page: &'a Page) {
        let at_ms = observation.span.to_ms;
        if page.total != self.job.items.len() {
            self.add(at_ms, &format!("has another total: {observation:?}"));
        }
        if page.results.is_empty()
            && let Some(Some((_, read_ms))) = self.listed.get(after)
        {
            let read_ms = *read_ms;
            self.add_if_settled(observation, read_ms, "has nothing at a position");
        }
        for (offset, result) in page.results.iter().enumerate() {
            self.judge_result(at_ms, after + offset, result);
        }
    }

    fn judge_result(&mut self, at_ms: u64, position: usize, result: &'a ItemResult) {
        if self.listed.len() <= position {
            self.listed.resize(position + 1, None);
        }
        match self.listed[position] {
            Some((known, _)) if known != result => {
                let text = format!("position {position} holds {result:?}, before {known:?}");
                self.add(at_ms, &text);
            }
            Some(_) => {}
            None => {
                self.listed[position] = Some((result, at_ms));
                let listed = self.listed.iter().flatten();
                if listed
                    .filter(|(other, _)| other.item == result.item)
                    .count()
                    > 1
                {
                    self.add(at_ms, &format!("lists {} twice", result.item));
                }
                if result.state == "done" && result.output != complete_output(&result.item) {
                    self.add(at_ms, &format!("has a wrong output: {result:?}"));
                }
            }
        }
    }

    fn judge_body(&mut self, observation: &Observation) {
        let Seen::Body {
            item,
            is_right,
            is_listed,
        } = &observation.seen
        else {
            return;
        };
        let at_ms = observation.span.to_ms;
        if observation.status == Some(200) && !is_right {
            self.add(at_ms, &format!("gives another body for {item}"));
        }
        let is_open = self.job.end_sent_ms.is_none_or(|end_ms| at_ms < end_ms);
        let is_gone = matches!(observation.status, Some(404 | 410));
        if is_gone && *is_listed == Some(false) && is_open {
            self.add_if_settled(observation, self.accepted_ms, "gives no body");
        }
    }

    /// A client that submits a job again must not be turned away three times in a row by
    /// instances in touch.
    fn judge_repeats(&mut self) {
        let mut refusals: Vec<(u64, &Observation)> = Vec::new();
        for observation in &self.job.observations {
            let Seen::Submission { round } = observation.seen else {
                continue;
            };
            let is_turned_away = observation.status.is_some_and(is_turned_away);
            if is_turned_away && self.is_settled(observation, self.accepted_ms) {
                refusals.push((round, observation));
            }
        }
        refusals.sort_by_key(|(round, _)| *round);
        for group in refusals.chunk_by(|one, other| one.0 == other.0) {
            if group.len() >= TURNED_AWAY_MAX {
                let at_ms = group[0].1.span.from_ms;
                self.add(
                    at_ms,
                    &format!("was turned away when it came again: {group:?}"),
                );
            }
        }
    }

    fn judge_end(&mut self, now_ms: u64) {
        let Some(page) = &self.job.final_page else {
            return self.add(now_ms, "cannot be read at the end");
        };
        for position in 0..self.listed.len() {
            if page.results.len() <= position {
                self.add(now_ms, &format!("position {position} is gone at the end"));
            }
        }
        for item in &self.job.bodies_missing {
            self.add(now_ms, &format!("gives no body for {item} at the end"));
        }
        if self.job.end_sent_ms.is_none() {
            for item in self.job.items.iter().filter(|item| !page.lists(item)) {
                self.add(now_ms, &format!("{item} is neither done nor dead"));
            }
        }
    }
}

/// A success that accepts no job turns it away as well.
fn is_turned_away(status: u16) -> bool {
    matches!(status, 200..500) && status != 202
}
