//! Jobs: submissions, results, and their records in the store.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{Answer, HOST, NodeProcess, TestCluster, WAIT_TIMEOUT, send_request};

impl TestCluster {
    /// Replaces the record of a job.
    pub async fn put_job_record(&self, job: &str, record: &Value) {
        let partition = job_partition(job);
        self.put_row_in_partition("redwingtack_jobs", &partition, job, record)
            .await;
    }

    /// Removes the record of a job.
    pub async fn remove_job_record(&self, job: &str) {
        let row = json!({"table": "redwingtack_jobs", "part": job_partition(job), "key": job});
        self.put_rows(&json!({"remove": [row]})).await;
    }
}

impl NodeProcess {
    /// Submits a job with a deadline of 4 s. `items` are pairs of id and path.
    pub async fn submit_job(&self, id: &str, items: &[(&str, &str)]) -> Answer {
        self.job_submission(id, items).await
    }

    /// Like [`NodeProcess::submit_job`]. `items` are pairs of id and parts of the prompt.
    pub async fn submit_prompts(&self, id: &str, items: &[(&str, &str)]) -> Answer {
        let items: Vec<_> = items
            .iter()
            .map(|(id, parts)| {
                item(
                    id,
                    "/batch/x/0",
                    &json!({"Redwingtack-Prompt-Prefix": parts}),
                )
            })
            .collect();
        self.submit_items(id, &items).await
    }

    /// Like [`NodeProcess::submit_job`], as a task of its own needs it.
    pub fn job_submission(
        &self,
        id: &str,
        items: &[(&str, &str)],
    ) -> impl Future<Output = Answer> + use<> {
        let items = items.iter();
        let items: Vec<_> = items
            .map(|(id, path)| item(id, path, &json!({"X-A": "b"})))
            .collect();
        let (address, id) = (self.callers_address, id.to_owned());
        async move { submit_items(address, &id, &items).await }
    }

    pub async fn submit_items(&self, id: &str, items: &[Value]) -> Answer {
        submit_items(self.callers_address, id, items).await
    }

    /// Reads the results of a job from position `after`.
    pub async fn read_results(&self, job: &str, after: usize) -> Answer {
        let path = format!("/lots/{job}?after={after}");
        self.send_job_request("GET", &path).await
    }

    pub async fn send_job_request(&self, method: &str, path: &str) -> Answer {
        let headers = [("host", HOST), ("redwingtack-wait-ms", "300")];
        send_request(self.callers_address, method, path, &headers, Vec::new())
            .await
            .unwrap()
    }

    /// Waits until every item of a job has a result. Returns the results.
    pub async fn wait_for_results(&self, job: &str) -> Vec<Value> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = self.read_results(job, 0).await;
            if answer.status == StatusCode::OK {
                let page: Value = serde_json::from_str(&answer.body).unwrap();
                let results = page["results"].as_array().unwrap().clone();
                if Some(results.len() as u64) == page["total"].as_u64() {
                    return results;
                }
            }
            assert!(
                Instant::now() < deadline,
                "job {job} did not complete in time: {answer:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns the partition of the table of jobs that holds a job.
pub fn job_partition(job: &str) -> String {
    let byte_sum: usize = job.bytes().map(usize::from).sum();
    (byte_sum % 8).to_string()
}

/// Returns the record of a job of one item without an owner, as an earlier version of the
/// program stored it.
pub fn orphaned_job_record() -> Value {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now_unix_ms = u64::try_from(since_epoch.as_millis()).unwrap();
    json!({
        "owner": null, "phase": "Open", "host": HOST, "path": "/batch/x", "item_count": 1,
        "accepted_unix_ms": now_unix_ms, "due_unix_ms": now_unix_ms + 18_000,
        "give_up_unix_ms": now_unix_ms + 60_000, "listed": [], "failures": []
    })
}

async fn submit_items(address: SocketAddr, id: &str, items: &[Value]) -> Answer {
    let headers = [
        ("host", HOST),
        ("redwingtack-request-id", id),
        ("redwingtack-deadline-ms", "4000"),
    ];
    let body = json!({"items": items}).to_string().into_bytes();
    send_request(address, "POST", "/batch/x", &headers, body)
        .await
        .unwrap()
}

fn item(id: &str, path: &str, headers: &Value) -> Value {
    json!({"id": id, "path": path, "headers": headers,
           "body": BASE64.encode(format!("body of {id}")), "tokens": 9})
}
