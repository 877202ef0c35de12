//! Instances that a seeded operator stops, reloads, kills, freezes and configures under load,
//! beside a store and servers that fail. Nothing that was accepted may be lost, and no request may
//! end without an answer.

mod support;

use std::time::Duration;

use support::soak::{self, SoakSettings};

/// The soaks that always run: everything mixed, and planned work alone, in which no fault of
/// another part excuses a cut. Longer ones are run by hand, see `docs/dev/scenarios.md`.
const SHORT_SOAKS: [SoakSettings; 2] = [
    SoakSettings {
        seed: 5,
        duration: Duration::from_secs(24),
        instances: 4,
    },
    SoakSettings {
        seed: 16,
        duration: Duration::from_secs(24),
        instances: 4,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn accepted_work_is_kept_and_requests_are_answered() {
    let soaks = match SoakSettings::from_environment(SHORT_SOAKS[0]) {
        Some(settings) => vec![settings],
        None => SHORT_SOAKS.to_vec(),
    };
    for settings in soaks {
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
}
