//! Instances that a seeded operator stops, reloads, kills, freezes and configures under load,
//! beside a store and servers that fail. Nothing that was accepted may be lost, and no request may
//! end without an answer.

mod support;

use std::time::Duration;

use support::soak::{self, SoakSettings};

/// The soak that always runs. Longer ones are run by hand, see `docs/dev/scenarios.md`.
const SHORT_SOAK: SoakSettings = SoakSettings {
    seed: 5,
    duration: Duration::from_secs(24),
    instances: 4,
};

#[tokio::test(flavor = "multi_thread")]
async fn accepted_work_is_kept_and_requests_are_answered() {
    let settings = SHORT_SOAK.or_from_environment();
    let findings = soak::run(settings).await;
    for finding in &findings {
        println!("FINDING {} ms: {}", finding.at_ms, finding.text);
    }
    assert!(
        findings.is_empty(),
        "{} findings, {settings:?}",
        findings.len()
    );
}
