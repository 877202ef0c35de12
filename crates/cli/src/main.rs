//! `redwingtack`: the command line for operators, callers and a first try.

mod dev;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// One subcommand with its options.
#[derive(Debug, Clone)]
enum Command {
    Dev(dev::DevOptions),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Dev(options) => dev::run(&options),
    }
}

fn command() -> OptionParser<Command> {
    let dev = dev::options()
        .command("dev")
        .help("Runs the whole path in one process on built-in stand-ins")
        .map(Command::Dev);
    construct!([dev])
        .to_options()
        .descr("A serving system for online and batch inference on one fleet.")
        .version(env!("CARGO_PKG_VERSION"))
}
