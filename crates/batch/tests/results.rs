//! Runs a batch from the upload to its results.

mod support;

use serde_json::Value;
use support::{Fleet, client::custom_ids, line};

#[tokio::test]
async fn batch_writes_each_item_to_output_or_errors_file() {
    let fleet = Fleet::start(1).await;
    let _batch = fleet.start_batch("b-1");
    let client = fleet.client();
    let content = [
        line("good-1", "one two three", 4),
        line("fails", "[[fail]] please", 4),
        r#"{"custom_id":"no-body","method":"POST","url":"/v1/chat/completions"}"#.to_owned(),
        line("crashes", "[[crash]] please", 4),
        r#"{"custom_id":"no-messages","method":"POST","url":"/v1/chat/completions","body":{"model":"oraculo"}}"#.to_owned(),
        r#"{"custom_id":"other-url","method":"POST","url":"/v1/embeddings","body":{"model":"oraculo"}}"#.to_owned(),
        line("good-2", "four five six", 4),
    ];
    let id = client.submit(&content.join("\n")).await;
    let batch = client.wait_until_completed(&id).await;
    assert_eq!(batch["request_counts"]["completed"], 2, "{batch}");
    assert_eq!(batch["request_counts"]["failed"], 5, "{batch}");
    let output = client.results(&id, "output").await;
    assert_eq!(custom_ids(&output), ["good-1", "good-2"]);
    for line in &output {
        let message = &line["response"]["body"]["choices"][0]["message"];
        assert_eq!(line["response"]["status_code"], 200);
        assert!(!message["content"].as_str().unwrap().is_empty());
        assert_eq!(line["error"], Value::Null);
    }
    let errors = client.results(&id, "errors").await;
    let expected = ["crashes", "fails", "no-body", "no-messages", "other-url"];
    assert_eq!(custom_ids(&errors), expected);
    for line in &errors {
        assert!(line["error"]["code"].is_string(), "{line}");
    }
}
