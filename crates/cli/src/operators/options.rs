//! Flags of the operators' commands.

use std::{env, path::PathBuf};

use bpaf::{OptionParser, Parser, construct, long, positional};

use super::exit;

/// Default maximum number of rows shown.
const DEFAULT_LIMIT: u32 = 100;

/// Operator's command with the options that all commands share.
#[derive(Debug, Clone)]
pub struct OperatorCommand {
    /// Action to perform.
    pub action: Action,
    /// Control program to call, output format and name of the operator.
    pub common: CommonOptions,
}

/// Action of a command.
#[derive(Debug, Clone)]
pub enum Action {
    /// Replaces classes and targets.
    Apply(Apply),
    /// Shows classes and targets.
    ShowClasses,
    /// Shows which configuration version is in force on each node.
    ConfigStatus,
    /// Lists jobs.
    Jobs {
        /// Maximum number of jobs shown.
        limit: u32,
    },
    /// Shows one job.
    Job {
        /// Id of the job.
        id: String,
    },
    /// Lists upstreams.
    Upstreams,
    /// Lists instances.
    Instances,
    /// Shows the audit trail.
    Audit {
        /// Maximum number of records shown.
        limit: u32,
    },
}

/// Options of `classes apply`.
#[derive(Debug, Clone)]
pub struct Apply {
    /// Version that the document replaces. If absent, it replaces the current
    /// version.
    pub replaces: Option<u64>,
    /// Whether to wait until the new version is in force on all nodes.
    pub should_wait: bool,
    /// Path of the configuration document.
    pub file: PathBuf,
}

/// Options that all commands share.
#[derive(Debug, Clone)]
pub struct CommonOptions {
    /// Address of the operators' API of a control program.
    pub control: Option<String>,
    /// Whether to print responses as JSON.
    pub is_json: bool,
    operator: Option<String>,
}

impl CommonOptions {
    /// Returns the operator's name for the audit trail: the value of `--operator`,
    /// else the login name, else `unknown`.
    pub fn operator(&self) -> String {
        let name = self.operator.clone().or_else(|| env::var("USER").ok());
        name.filter(|name| !name.is_empty())
            .unwrap_or_else(|| "unknown".to_owned())
    }
}

/// Returns the parser of all operators' commands.
pub fn commands() -> impl Parser<OperatorCommand> {
    let classes = classes()
        .command("classes")
        .help("Show or replace classes and their targets");
    let config = config()
        .command("config")
        .help("Show which configuration version is in force on each node");
    let jobs = with_common_options(limit().map(|limit| Action::Jobs { limit }))
        .descr("List batch jobs")
        .command("jobs")
        .help("List batch jobs");
    let job = positional::<String>("ID").help("ID of the job");
    let job = with_common_options(job.map(|id| Action::Job { id }))
        .descr("Show one batch job")
        .command("job")
        .help("Show one batch job");
    let upstreams = with_common_options(bpaf::pure(Action::Upstreams))
        .descr("List engines and services as known to the control program")
        .command("upstreams")
        .help("List engines and services");
    let instances = with_common_options(bpaf::pure(Action::Instances))
        .descr("List programs of the fleet as known to the control program")
        .command("instances")
        .help("List programs of the fleet");
    let audit = with_common_options(limit().map(|limit| Action::Audit { limit }))
        .descr("List configuration changes, newest first")
        .command("audit")
        .help("List configuration changes");
    construct!([classes, config, jobs, job, upstreams, instances, audit])
}

fn classes() -> OptionParser<OperatorCommand> {
    let replaces = long("replaces")
        .help("Replace this version, and fail if another one is current [default: the current version]")
        .argument("VERSION")
        .optional();
    let should_wait = long("wait")
        .help("Wait until the new version is in force on all nodes")
        .switch();
    let file = positional("FILE").help("TOML document with [[class]] and [[model]] tables");
    let apply = construct!(Apply {
        replaces,
        should_wait,
        file,
    });
    let apply = with_common_options(apply.map(Action::Apply))
        .descr("Replace classes and targets with those in FILE")
        .command("apply")
        .help("Replace classes and targets");
    let show = with_common_options(bpaf::pure(Action::ShowClasses))
        .descr("Show classes and targets")
        .command("show")
        .help("Show classes and targets");
    construct!([apply, show])
        .to_options()
        .descr("Show or replace classes and their targets")
}

fn config() -> OptionParser<OperatorCommand> {
    let status = with_common_options(bpaf::pure(Action::ConfigStatus))
        .descr("Show which configuration version is in force on each node")
        .command("status")
        .help("Show which configuration version is in force on each node");
    construct!([status])
        .to_options()
        .descr("Show which configuration version is in force on each node")
}

fn with_common_options(action: impl Parser<Action> + 'static) -> OptionParser<OperatorCommand> {
    let control = long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Connect to the operators' API of a control program at this address (required)")
        .argument("IP:PORT")
        .optional();
    let is_json = long("json").help("Print responses as JSON").switch();
    let operator = long("operator")
        .env("REDWINGTACK_OPERATOR")
        .help("Record this name in the audit trail [default: the login name]")
        .argument("NAME")
        .optional();
    let common = construct!(CommonOptions {
        control,
        is_json,
        operator,
    });
    // bpaf requires that positional arguments come last.
    construct!(common, action)
        .map(|(common, action)| OperatorCommand { action, common })
        .to_options()
        .footer(exit::HELP)
}

fn limit() -> impl Parser<u32> {
    long("limit")
        .help("Show at most this many rows, up to 1000 [default: 100]")
        .argument("ROWS")
        .fallback(DEFAULT_LIMIT)
}
