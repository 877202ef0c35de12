//! `redwingtack`: the command line for operators, callers and a first try.

mod dev;
mod explain;
mod operators;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// One subcommand with its options.
#[derive(Debug, Clone)]
enum Command {
    Dev(dev::DevOptions),
    Explain(explain::ExplainOptions),
    Operator(operators::OperatorCommand),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Dev(options) => dev::run(&options),
        Command::Explain(options) => explain::run(&options),
        Command::Operator(command) => operators::run(&command),
    }
}

fn command() -> OptionParser<Command> {
    let dev = dev::options()
        .command("dev")
        .help("Runs the whole path in one process on built-in stand-ins")
        .map(Command::Dev);
    let explain = explain::options()
        .command("explain")
        .help("Prints what the logs say of one request, job or item")
        .map(Command::Explain);
    let operator = operators::commands().map(Command::Operator);
    construct!([dev, explain, operator])
        .to_options()
        .descr("A serving system for online and batch inference on one fleet.")
        .version(env!("CARGO_PKG_VERSION"))
}
