//! `redwingtack`: command line tool for operators, for tracing a request through
//! logs, and for trying out the system in one process.
//!
//! This crate exists so that operators need only one tool. Begin reading at
//! `operators::run`, which executes the commands that call a control program.
//! `explain::run` merges logs, `destination::run` asks where a request would go, and `dev::run`
//! starts a fleet in one process.

mod destination;
mod dev;
mod explain;
mod operators;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// Subcommand with its options.
#[derive(Debug, Clone)]
enum Command {
    Dev(dev::DevOptions),
    Explain(explain::ExplainOptions),
    Where(destination::WhereOptions),
    Operator(operators::OperatorCommand),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Dev(options) => dev::run(&options),
        Command::Explain(options) => explain::run(&options),
        Command::Where(options) => destination::run(&options),
        Command::Operator(command) => operators::run(&command),
    }
}

fn command() -> OptionParser<Command> {
    let dev = dev::options()
        .command("dev")
        .help("Run a whole fleet in one process, with stand-ins for upstreams and platform")
        .map(Command::Dev);
    let explain = explain::options()
        .command("explain")
        .help("Print the log lines about one request, job or item")
        .map(Command::Explain);
    let destination = destination::options()
        .command("where")
        .help("Tell where a request or job would go now, and why, without sending it")
        .map(Command::Where);
    let operator = operators::commands().map(Command::Operator);
    construct!([dev, explain, destination, operator])
        .to_options()
        .descr("Operate and try out a serving system for online and batch inference on one fleet")
        .version(env!("CARGO_PKG_VERSION"))
}
