//! `redwingtack-load`: measurements of the product.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use load::compare::{CompareOptions, compare, compare_options};

/// What to measure.
#[derive(Debug, Clone)]
enum Command {
    /// Batch policies under one online load.
    Compare(CompareOptions),
}

fn main() -> ExitCode {
    let result = match options().run() {
        Command::Compare(options) => compare(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("redwingtack-load: {message}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> OptionParser<Command> {
    let compare = compare_options()
        .map(Command::Compare)
        .to_options()
        .descr("Compare batch policies under one online load, in virtual time")
        .command("compare");
    construct!([compare])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Measure the product against baselines")
}
