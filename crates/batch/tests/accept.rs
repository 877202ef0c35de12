//! Checks which uploads and batches are accepted, and how the others are refused.

mod support;

use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use standin::{Fault, FaultKind};
use support::{Client, Fleet, line, lines};

/// Target time for accepting a job of the maximum size, in seconds.
const ACCEPT_MAX_S: f64 = 5.0;

#[tokio::test]
async fn upload_refuses_malformed_files() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let valid = line("a", "p", 1);
    let oversized = line("b", &"x".repeat(2 << 20), 1);
    let unknown_model = valid.replace("oraculo", "nobody");
    let cases: [(&str, String, u16, &str); 8] = [
        ("empty file", String::new(), 400, "invalid_request"),
        ("blank lines", "\n\n".to_owned(), 400, "invalid_request"),
        (
            "broken JSON",
            format!("{valid}\n{{oops"),
            400,
            "invalid_request",
        ),
        ("no object", format!("{valid}\n[1]"), 400, "invalid_request"),
        ("no custom_id", "{}".to_owned(), 400, "invalid_request"),
        (
            "duplicate custom_id",
            format!("{valid}\n{valid}"),
            400,
            "invalid_request",
        ),
        ("oversized line", oversized, 413, "body_too_large"),
        ("unknown model", unknown_model, 404, "model_not_found"),
    ];
    for (case, content, status, code) in cases {
        let answer = client.upload(&content).await;
        assert_eq!(answer.status.as_u16(), status, "{case}: {}", answer.text);
        assert_eq!(answer.error_code(), code, "{case}");
        assert_eq!(answer.header("redwingtack-ran"), "no", "{case}");
    }
}

#[tokio::test]
async fn create_refuses_batch_that_cannot_run() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let file = client.upload(&line("a", "p", 1)).await.id();
    let chat = "/v1/chat/completions";
    let cases = [
        (
            "unknown class",
            file.as_str(),
            chat,
            "no-such-class",
            400,
            "class_not_found",
        ),
        ("online class", &file, chat, "hint", 400, "class_not_found"),
        (
            "unknown endpoint",
            &file,
            "/v1/embeddings",
            "bundle",
            400,
            "invalid_request",
        ),
        (
            "unknown service",
            &file,
            "/services/none/x",
            "bundle",
            404,
            "service_not_found",
        ),
        (
            "unknown file",
            "file-none",
            chat,
            "bundle",
            404,
            "not_found",
        ),
    ];
    for (case, file, endpoint, class, status, code) in cases {
        let headers = [("redwingtack-class", class)];
        let answer = client.create_for(file, endpoint, &headers).await;
        assert_eq!(answer.status.as_u16(), status, "{case}: {}", answer.text);
        assert_eq!(answer.error_code(), code, "{case}");
    }
    let listed = client.get("/v1/batches").await.json();
    assert_eq!(listed["data"].as_array().unwrap().len(), 0);
}

#[tokio::test]
async fn create_requires_api_key_and_hides_files_of_other_customers() {
    let fleet = Fleet::start(0).await;
    let file = fleet.client().upload(&line("a", "p", 1)).await.id();
    let other_customer = fleet.client().with_api_key("school");
    let answer = other_customer.create(&file, &[]).await;
    assert_eq!(answer.error_code(), "not_found");
    let anonymous = fleet.client().with_api_key("");
    let answer = anonymous.create(&file, &[]).await;
    assert_eq!(answer.error_code(), "missing_api_key");
}

#[tokio::test]
async fn create_sent_to_two_entries_concurrently_makes_one_job() {
    let fleet = Fleet::start(0).await;
    let (first, second) = (Client::new(fleet.entries[0]), Client::new(fleet.entries[1]));
    let file = first.upload(&lines(3, 1)).await.id();
    let second_file = second.upload(&lines(3, 1)).await.id();
    let key = [("idempotency-key", "evening-1")];
    let (first_answer, second_answer) =
        tokio::join!(first.create(&file, &key), second.create(&second_file, &key));
    assert_eq!(first_answer.status, StatusCode::OK, "{first_answer:?}");
    assert_eq!(first_answer.id(), second_answer.id());
    let different_file = first.upload(&lines(4, 1)).await.id();
    let conflict = second.create(&different_file, &key).await;
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    assert_eq!(conflict.error_code(), "idempotency_conflict");
    let listed = first.get("/v1/batches").await.json();
    assert_eq!(listed["data"].as_array().unwrap().len(), 1);
}

/// The platform stores the job, but its reply is lost. The entry must find out that the
/// job was stored, and a resend must get the same job.
#[tokio::test]
async fn create_resolves_lost_answer() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let file = client.upload(&lines(3, 1)).await.id();
    let lost_answer = Fault::new(FaultKind::ResetAfterBody).with_path("/rows-tx");
    let platform_client = fleet.platform_client();
    platform_client
        .add_fault(&lost_answer.with_times(1))
        .await
        .unwrap();
    let key = [("idempotency-key", "evening-2")];
    let created = client.create(&file, &key).await;
    assert_eq!(created.status, StatusCode::OK, "{created:?}");
    let resent = client.create(&file, &key).await;
    assert_eq!(created.id(), resent.id());
}

#[tokio::test]
async fn create_during_platform_outage_is_refused_as_not_run() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let file = client.upload(&lines(3, 1)).await.id();
    let refuse_transactions = Fault::new(FaultKind::Refuse).with_path("/rows-tx");
    let platform_client = fleet.platform_client();
    platform_client
        .add_fault(&refuse_transactions)
        .await
        .unwrap();
    let answer = client.create(&file, &[]).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.error_code(), "platform_unavailable");
    assert_eq!(answer.header("redwingtack-ran"), "no");
    assert!(!answer.header("retry-after").is_empty());
    platform_client.clear_faults().await.unwrap();
    let listed = client.get("/v1/batches").await.json();
    assert_eq!(listed["data"].as_array().unwrap().len(), 0);
}

#[tokio::test]
async fn upload_of_largest_job_is_accepted() {
    let fleet = Fleet::start(0).await;
    let client = fleet.client();
    let parts = (0..1_600).map(|part| {
        let mut text = String::new();
        for index in part * 100..(part + 1) * 100 {
            text.push_str(&line(&format!("i{index}"), &format!("p{index}"), 2));
            text.push('\n');
        }
        Bytes::from(text)
    });
    let started_at = Instant::now();
    let file = client.upload_parts(parts).await;
    assert_eq!(file.status, StatusCode::OK, "{file:?}");
    let batch = client.create(&file.id(), &[]).await;
    assert_eq!(batch.json()["request_counts"]["total"], 160_000);
    let took_s = started_at.elapsed().as_secs_f64();
    println!("accept: items=160000 took_s={took_s:.2} target_s={ACCEPT_MAX_S}");
}
