//! The end of a soak: what the instances still know of each job when all is calm.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep};

use super::{
    Shared,
    history::STABLE_MS,
    job_clients::{self, AGE_MAX_MS},
    job_log::{JobLog, Page},
};
use crate::support::send_request;

/// Time that batch jobs have after the traffic has ended.
const FINISH: Duration = Duration::from_secs(18);
/// Attempts of a client to read a job or a body at the end.
const ATTEMPTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(200);

/// Removes the faults of a stand-in, as soon as it can be reached.
pub async fn clear_faults(standin: SocketAddr) {
    while send_request(standin, "DELETE", "/standin/faults", &[], Vec::new())
        .await
        .is_err()
    {
        sleep(PAUSE).await;
    }
}

/// Reads all jobs, once their items had time to end.
pub async fn finish(shared: &Shared) {
    sleep(Duration::from_millis(STABLE_MS)).await;
    let deadline = Instant::now() + FINISH;
    let count = shared.jobs.lock().unwrap().len();
    let mut rng = SmallRng::seed_from_u64(shared.seed_of("finish", 0));
    for job in 0..count {
        if shared.with_job(job, |job| is_kept(job, shared.clock.now_ms())) {
            finish_job(shared, &mut rng, job, deadline).await;
        }
    }
}

/// Returns whether the results of a job must still be there.
pub fn is_kept(job: &JobLog, now_ms: u64) -> bool {
    job.accepted_ms().is_some() && now_ms < job.first_sent_ms + AGE_MAX_MS
}

async fn finish_job(shared: &Shared, rng: &mut SmallRng, job: usize, deadline: Instant) {
    let is_ended = shared.with_job(job, |job| job.end_sent_ms.is_some());
    let page = loop {
        let page = read_whole(shared, rng, job).await;
        let is_complete = page.as_ref().is_some_and(Page::is_complete);
        if is_complete || is_ended || Instant::now() >= deadline {
            break page;
        }
        sleep(PAUSE).await;
    };
    let (id, items) = shared.with_job(job, |job| (job.id.clone(), job.items.clone()));
    let mut bodies_missing = Vec::new();
    if let Some(page) = &page
        && !is_ended
    {
        for item in items.iter().filter(|item| !page.lists(item)) {
            if !gives_body(shared, rng, &id, item).await {
                bodies_missing.push(item.clone());
            }
        }
    }
    shared.with_job(job, |job| {
        job.final_page = page;
        job.bodies_missing = bodies_missing;
    });
}

/// Reads a job from the start, again after each failure.
async fn read_whole(shared: &Shared, rng: &mut SmallRng, job: usize) -> Option<Page> {
    for _ in 0..ATTEMPTS {
        let instance = rng.random_range(0..shared.addresses.len());
        if let Some(page) = job_clients::read_results(shared, instance, job, 0).await {
            return Some(page);
        }
        sleep(PAUSE).await;
    }
    None
}

async fn gives_body(shared: &Shared, rng: &mut SmallRng, job: &str, item: &str) -> bool {
    for _ in 0..ATTEMPTS {
        let instance = rng.random_range(0..shared.addresses.len());
        if job_clients::has_body(shared, instance, job, item).await {
            return true;
        }
        sleep(PAUSE).await;
    }
    false
}
