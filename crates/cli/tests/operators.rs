//! Tests of the operators' commands, run as separate processes against a control
//! program.

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

/// Maximum time that a test waits until the control program has read the list of
/// instances.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A running control program and the stand-in of its platform.
struct ControlFixture {
    platform: Standin,
    control: SocketAddr,
}

async fn start() -> ControlFixture {
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
    ControlFixture {
        platform,
        control: address,
    }
}

impl ControlFixture {
    /// Runs `redwingtack` with `arguments`.
    async fn run(&self, arguments: &[&str]) -> Output {
        let control = self.control.to_string();
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let task = tokio::task::spawn_blocking(move || {
            Command::new(env!("CARGO_BIN_EXE_redwingtack"))
                .args(arguments)
                .env("REDWINGTACK_CONTROL", control)
                .env("REDWINGTACK_OPERATOR", "ana")
                .output()
        });
        task.await.expect("task").expect("command")
    }

    /// Asserts the exit code of a command, and that its output contains all of
    /// `expected`.
    async fn assert_command(&self, arguments: &[&str], code: i32, expected: &[&str]) {
        let output = self.run(arguments).await;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        for part in expected {
            assert!(text.contains(part), "{arguments:?} lacks {part:?}: {text}");
        }
    }
}

/// Writes a configuration document and returns its path.
fn write_document(name: &str, text: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-{name}", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("create");
    file.write_all(text.as_bytes()).expect("write");
    path.to_string_lossy().into_owned()
}

const VALID_CONFIG: &str =
    "[[class]]\nname = \"clue-bundles\"\nwork = \"batch\"\ncomplete_within_s = 60\n";

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_is_shown_by_status_and_audit() {
    let fixture = start().await;
    let file = write_document("good.toml", VALID_CONFIG);
    fixture
        .assert_command(&["classes", "apply", "--wait", &file], 0, &["1 of 1 nodes"])
        .await;
    fixture
        .assert_command(&["classes", "show"], 0, &["version 1", "clue-bundles"])
        .await;
    fixture
        .assert_command(&["config", "status"], 0, &["i-1", "confirmed"])
        .await;
    fixture
        .assert_command(&["audit"], 0, &["ana", "applied"])
        .await;
    fixture
        .assert_command(&["audit", "--json"], 0, &["\"who\":\"ana\""])
        .await;
    fixture
        .assert_command(&["instances"], 0, &["i-1", "Control"])
        .await;
    fixture
        .assert_command(&["upstreams", "--json"], 0, &["[]"])
        .await;
    fixture.assert_command(&["jobs"], 0, &["CUSTOMER"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_reports_every_problem_with_its_line() {
    let fixture = start().await;
    let file = write_document("bad.toml", "[[class]]\nname = \"a b\"\nwork = \"sleep\"\n");
    fixture
        .assert_command(
            &["classes", "apply", &file],
            2,
            &["bad.toml:2:", "bad.toml:3:"],
        )
        .await;
    fixture
        .assert_command(
            &["classes", "apply", "/nowhere.toml"],
            2,
            &["/nowhere.toml"],
        )
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_replacing_older_version_is_a_conflict() {
    let fixture = start().await;
    let file = write_document("race.toml", VALID_CONFIG);
    fixture
        .assert_command(&["classes", "apply", "--replaces", "0", &file], 0, &[])
        .await;
    let arguments = ["classes", "apply", "--replaces", "0", &file];
    fixture
        .assert_command(&arguments, 3, &["config_conflict", "ana made version 1"])
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn classes_apply_unreachable_platform_is_reported() {
    let fixture = start().await;
    let file = write_document("down.toml", VALID_CONFIG);
    let fault = Fault::new(FaultKind::Refuse);
    let client = StandinClient::new(fixture.platform.address());
    client.add_fault(&fault).await.expect("fault");
    let arguments = ["classes", "apply", "--replaces", "0", &file];
    fixture
        .assert_command(
            &arguments,
            4,
            &["platform_unavailable", "nothing was changed"],
        )
        .await;
    fixture
        .assert_command(&["jobs"], 4, &["platform_unavailable"])
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_unknown_is_not_found() {
    let fixture = start().await;
    fixture
        .assert_command(&["job", "nope"], 6, &["not_found"])
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn command_unreachable_control_is_reported() {
    let fixture = start().await;
    let arguments = ["jobs", "--control", "127.0.0.1:1"];
    fixture
        .assert_command(&arguments, 4, &["cannot be reached"])
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn command_invalid_flags_are_reported() {
    let fixture = start().await;
    let arguments = ["jobs", "--control", "here"];
    fixture
        .assert_command(&arguments, 2, &["--control (REDWINGTACK_CONTROL)"])
        .await;
    // By design, there are no settings for weights, pins or placement.
    let output = fixture
        .run(&["classes", "apply", "--weight", "3", "x.toml"])
        .await;
    assert!(!output.status.success());
    fixture
        .assert_command(
            &["classes", "apply", "--help"],
            0,
            &["Exit codes", "--replaces"],
        )
        .await;
}

#[tokio::test]
async fn upstreams_output_lists_served_models_and_services() {
    let fixture = start().await;
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
    let client = StandinClient::new(fixture.platform.address());
    client
        .set_instances(&listing)
        .await
        .expect("the list of instances is set");
    let started = Instant::now();
    let text = loop {
        let output = fixture.run(&["upstreams"]).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.contains("engine-0") && text.contains("courts-0") {
            break text;
        }
        assert!(started.elapsed() < TIMEOUT, "{text}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    let serves: Vec<_> = text
        .lines()
        .filter_map(|line| line.split_whitespace().last())
        .collect();
    assert_eq!(serves, ["SERVES", "courts", "oraculo,platzbot"]);
}
