//! Flags of the operators' commands.

use std::{env, path::PathBuf};

use bpaf::{OptionParser, Parser, construct, long, positional};

use super::exit;

/// Rows shown unless asked otherwise.
const LIMIT: u32 = 100;

/// A command with the control program that it goes to.
#[derive(Debug, Clone)]
pub struct OperatorCommand {
    /// What to do.
    pub verb: Verb,
    /// Where and how.
    pub connection: Connection,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum Verb {
    /// Replace classes and targets.
    Apply(Apply),
    /// Show classes and targets.
    ShowClasses,
    /// Show who has which version in force.
    ConfigStatus,
    /// List jobs.
    Jobs {
        /// Most jobs shown.
        limit: u32,
    },
    /// Show one job.
    Job {
        /// Its id.
        id: String,
    },
    /// List upstreams.
    Upstreams,
    /// List instances.
    Instances,
    /// Show the audit trail.
    Audit {
        /// Most records shown.
        limit: u32,
    },
}

/// Options of `classes apply`.
#[derive(Debug, Clone)]
pub struct Apply {
    /// Version that the document replaces; the one in force if absent.
    pub replaces: Option<u64>,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// The document.
    pub file: PathBuf,
}

/// Options that every command has.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Operators' address of a control program.
    pub control: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    operator: Option<String>,
}

impl Connection {
    /// Name for the audit trail.
    pub fn operator(&self) -> String {
        let name = self.operator.clone().or_else(|| env::var("USER").ok());
        name.filter(|name| !name.is_empty())
            .unwrap_or_else(|| "unknown".to_owned())
    }
}

/// Parser of all operators' commands.
pub fn commands() -> impl Parser<OperatorCommand> {
    let classes = classes()
        .command("classes")
        .help("Shows or replaces classes and their targets");
    let config = config()
        .command("config")
        .help("Shows which version is in force where");
    let jobs = with_connection(limit().map(|limit| Verb::Jobs { limit }))
        .descr("Lists batch jobs.")
        .command("jobs")
        .help("Lists batch jobs");
    let job = positional::<String>("ID").help("Job to show");
    let job = with_connection(job.map(|id| Verb::Job { id }))
        .descr("Shows one batch job.")
        .command("job")
        .help("Shows one batch job");
    let upstreams = with_connection(bpaf::pure(Verb::Upstreams))
        .descr("Lists engines and services as this control program sees them.")
        .command("upstreams")
        .help("Lists engines and services");
    let instances = with_connection(bpaf::pure(Verb::Instances))
        .descr("Lists programs of the fleet as this control program sees them.")
        .command("instances")
        .help("Lists programs of the fleet");
    let audit = with_connection(limit().map(|limit| Verb::Audit { limit }))
        .descr("Lists changes of the configuration, newest first.")
        .command("audit")
        .help("Lists changes of the configuration");
    construct!([classes, config, jobs, job, upstreams, instances, audit])
}

fn classes() -> OptionParser<OperatorCommand> {
    let replaces = long("replaces")
        .help("Version that the document replaces; the one in force unless set")
        .argument("VERSION")
        .optional();
    let wait = long("wait")
        .help("Wait until the version is in force on every node")
        .switch();
    let file = positional("FILE").help("TOML document of [[class]] and [[model]] tables");
    let apply = construct!(Apply {
        replaces,
        wait,
        file,
    });
    let apply = with_connection(apply.map(Verb::Apply))
        .descr("Replaces classes and targets by those in FILE.")
        .command("apply")
        .help("Replaces classes and targets");
    let show = with_connection(bpaf::pure(Verb::ShowClasses))
        .descr("Shows classes and targets.")
        .command("show")
        .help("Shows classes and targets");
    construct!([apply, show])
        .to_options()
        .descr("Shows or replaces classes and their targets.")
}

fn config() -> OptionParser<OperatorCommand> {
    let status = with_connection(bpaf::pure(Verb::ConfigStatus))
        .descr("Asks every node which version it has in force.")
        .command("status")
        .help("Asks every node which version it has in force");
    construct!([status])
        .to_options()
        .descr("Shows which version is in force where.")
}

fn with_connection(verb: impl Parser<Verb> + 'static) -> OptionParser<OperatorCommand> {
    let control = long("control")
        .env("REDWINGTACK_CONTROL")
        .help("Operators' address of any control program")
        .argument("IP:PORT")
        .optional();
    let json = long("json").help("Print JSON").switch();
    let operator = long("operator")
        .env("REDWINGTACK_OPERATOR")
        .help("Your name for the audit trail; the login name unless set")
        .argument("NAME")
        .optional();
    let connection = construct!(Connection {
        control,
        json,
        operator,
    });
    // Positional arguments have to come last.
    construct!(connection, verb)
        .map(|(connection, verb)| OperatorCommand { verb, connection })
        .to_options()
        .footer(exit::HELP)
}

fn limit() -> impl Parser<u32> {
    long("limit")
        .help("Most rows shown; 100 unless set, at most 1000")
        .argument("ROWS")
        .fallback(LIMIT)
}
