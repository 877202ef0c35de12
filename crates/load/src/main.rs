//! `redwingtack-load`: measurements of the product.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use load::{
    capacity::{CapacityOptions, capacity, capacity_options},
    compare::{CompareOptions, compare, compare_options},
};

/// What to measure.
#[derive(Debug, Clone)]
enum Command {
    /// Cost of a node by size of the fleet.
    Capacity(CapacityOptions),
    /// Batch policies under one online load.
    Compare(CompareOptions),
}

fn main() -> ExitCode {
    let result = match options().run() {
        Command::Capacity(options) => capacity(&options),
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
    let capacity = capacity_options()
        .map(Command::Capacity)
        .to_options()
        .descr("Measure what a node costs at several sizes of the fleet")
        .command("capacity");
    construct!([capacity, compare])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Measure the product against baselines")
}
