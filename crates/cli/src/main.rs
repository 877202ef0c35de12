//! `redwingtack`: the command line for operators, callers and a first try.

mod dev;
mod operators;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// One subcommand with its options.
#[derive(Debug, Clone)]
enum Command {
    Dev(dev::DevOptions),
    Operator(operators::OperatorCommand),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Dev(options) => dev::run(&options),
        Command::Operator(command) => operators::run(&command),
    }
}

fn command() -> OptionParser<Command> {
    let dev = dev::options()
        .command("dev")
        .help("Runs the whole path in one process on built-in stand-ins")
        .map(Command::Dev);
    let operator = operators::commands().map(Command::Operator);
    construct!([dev, operator])
        .to_options()
        .descr("A serving system for online and batch inference on one fleet.")
        .version(env!("CARGO_PKG_VERSION"))
}
