//! The operators' commands as separate processes against a control program.

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

use control::{Control, ControlSettings};
use model::{FailureDomain, InstanceId, Liveness, Region};
use process::{AdminState, NodeSettings, Shutdown};
use standin::{Fault, FaultKind, PlatformSettings, Standin, StandinClient, start_platform};
use store::{InstanceListing, ListedInstance, ListedRole};

/// Longest time that a test waits for the list to be read.
const PATIENCE: Duration = Duration::from_secs(30);

struct Site {
    platform: Standin,
    control: SocketAddr,
}

async fn start() -> Site {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = start_platform(PlatformSettings::default())
        .await
        .expect("platform");
    let settings = ControlSettings {
        node: NodeSettings {
            peer_listen: any,
            admin_listen: any,
            platform: platform.address(),
            instance_id: InstanceId::new("i-1"),
            region: Region::new("lima"),
            failure_domain: FailureDomain::new("lima-a"),
            log_level: "info".to_owned(),
        },
        listen: any,
        seeds: Vec::new(),
    };
    let control = Control::start(&settings, AdminState::default())
        .await
        .expect("control");
    let address = control.listen_address();
    tokio::spawn(async move { control.run_until(&Shutdown::new()).await });
    Site {
        platform,
        control: address,
    }
}

impl Site {
    async fn run(&self, arguments: &[&str]) -> Output {
        let control = self.control.to_string();
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let run = tokio::task::spawn_blocking(move || {
            Command::new(env!("CARGO_BIN_EXE_redwingtack"))
                .args(arguments)
                .env("REDWINGTACK_CONTROL", control)
                .env("REDWINGTACK_OPERATOR", "ana")
                .output()
        });
        run.await.expect("task").expect("command")
    }

    async fn check(&self, arguments: &[&str], code: i32, expected: &[&str]) {
        let output = self.run(arguments).await;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        for part in expected {
            assert!(text.contains(part), "{arguments:?} lacks {part:?}: {text}");
        }
    }
}

/// Writes a document and returns its path.
fn document(name: &str, text: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-{name}", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("create");
    file.write_all(text.as_bytes()).expect("write");
    path.to_string_lossy().into_owned()
}

const GOOD: &str = "[[class]]\nname = \"clue-bundles\"\nwork = \"batch\"\ncomplete_within_s = 60\n";

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_show_status_audit() {
    let site = start().await;
    let file = document("good.toml", GOOD);
    site.check(&["classes", "apply", "--wait", &file], 0, &["1 of 1 nodes"])
        .await;
    site.check(&["classes", "show"], 0, &["version 1", "clue-bundles"])
        .await;
    site.check(&["config", "status"], 0, &["i-1", "confirmed"])
        .await;
    site.check(&["audit"], 0, &["ana", "applied"]).await;
    site.check(&["audit", "--json"], 0, &["\"who\":\"ana\""])
        .await;
    site.check(&["instances"], 0, &["i-1", "Control"]).await;
    site.check(&["upstreams", "--json"], 0, &["[]"]).await;
    site.check(&["jobs"], 0, &["CUSTOMER"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_every_problem_with_its_line() {
    let site = start().await;
    let file = document("bad.toml", "[[class]]\nname = \"a b\"\nwork = \"sleep\"\n");
    site.check(
        &["classes", "apply", &file],
        2,
        &["bad.toml:2:", "bad.toml:3:"],
    )
    .await;
    site.check(
        &["classes", "apply", "/nowhere.toml"],
        2,
        &["/nowhere.toml"],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_older_version_is_a_conflict() {
    let site = start().await;
    let file = document("race.toml", GOOD);
    site.check(&["classes", "apply", "--replaces", "0", &file], 0, &[])
        .await;
    let arguments = ["classes", "apply", "--replaces", "0", &file];
    site.check(&arguments, 3, &["config_conflict", "ana made version 1"])
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_platform_down_is_told() {
    let site = start().await;
    let file = document("down.toml", GOOD);
    let fault = Fault::new(FaultKind::Refuse);
    let remote = StandinClient::new(site.platform.address());
    remote.add_fault(&fault).await.expect("fault");
    let arguments = ["classes", "apply", "--replaces", "0", &file];
    site.check(
        &arguments,
        4,
        &["platform_unavailable", "nothing was changed"],
    )
    .await;
    site.check(&["jobs"], 4, &["platform_unavailable"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_unknown_is_not_found() {
    let site = start().await;
    site.check(&["job", "nope"], 6, &["not_found"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn command_unreachable_control_is_told() {
    let site = start().await;
    let arguments = ["jobs", "--control", "127.0.0.1:1"];
    site.check(&arguments, 4, &["cannot be reached"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn command_wrong_flags_are_told() {
    let site = start().await;
    let arguments = ["jobs", "--control", "here"];
    site.check(&arguments, 2, &["--control (REDWINGTACK_CONTROL)"])
        .await;
    // There is no setting for weights, pins or placement.
    let output = site
        .run(&["classes", "apply", "--weight", "3", "x.toml"])
        .await;
    assert!(!output.status.success());
    site.check(
        &["classes", "apply", "--help"],
        0,
        &["Exit codes", "--replaces"],
    )
    .await;
}

#[tokio::test]
async fn upstreams_name_what_they_serve() {
    let site = start().await;
    let listed = |id: &str, role: ListedRole| ListedInstance {
        id: id.to_owned(),
        role,
        address: "127.0.0.1:1".to_owned(),
        region: Region::new("lima"),
        failure_domain: FailureDomain::new("lima-a"),
        state: Liveness::Live,
    };
    let models = vec!["oraculo".into(), "platzbot".into()];
    let listing = InstanceListing {
        instances: vec![
            listed(
                "courts-0",
                ListedRole::Service {
                    service: "courts".into(),
                },
            ),
            listed("engine-0", ListedRole::Engine { models }),
        ],
    };
    let remote = StandinClient::new(site.platform.address());
    remote
        .set_instances(&listing)
        .await
        .expect("the list is set");
    let began = Instant::now();
    let text = loop {
        let output = site.run(&["upstreams"]).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.contains("engine-0") && text.contains("courts-0") {
            break text;
        }
        assert!(began.elapsed() < PATIENCE, "{text}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    let serves: Vec<_> = text
        .lines()
        .filter_map(|line| line.split_whitespace().last())
        .collect();
    assert_eq!(serves, ["SERVES", "courts", "oraculo,platzbot"]);
}
