//! `redwingtack-load`: measurements of the product.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};
use load::{
    capacity::{CapacityOptions, capacity, capacity_options},
    compare::{CompareOptions, compare, compare_options},
    overhead::{
        ChildOptions, OverheadOptions, child_options, overhead, overhead_options, run_child,
    },
    replay::{ReplayOptions, replay, replay_options},
    route::route,
};

/// What to measure.
#[derive(Debug, Clone)]
enum Command {
    /// Cost of a node by size of the fleet.
    Capacity(CapacityOptions),
    /// Batch policies under one online load.
    Compare(CompareOptions),
    /// What the entry adds to a direct connection.
    Overhead(OverheadOptions),
    /// Decisions of the users' platform under a load pattern.
    Replay(ReplayOptions),
    /// Processor time of a routing decision.
    Route,
    /// A process that the measurement of overhead starts.
    OverheadChild(ChildOptions),
}

fn main() -> ExitCode {
    let result = match options().run() {
        Command::Capacity(options) => capacity(&options),
        Command::Compare(options) => compare(&options),
        Command::Overhead(options) => overhead(&options),
        Command::OverheadChild(options) => run_child(&options),
        Command::Replay(options) => replay(&options),
        Command::Route => {
            route();
            Ok(())
        }
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
    let overhead = overhead_options()
        .map(Command::Overhead)
        .to_options()
        .descr("Measure what the entry adds to a direct connection to an engine")
        .command("overhead");
    let replay = replay_options()
        .map(Command::Replay)
        .to_options()
        .descr(
            "Replay a load pattern through the decisions of the users' platform, in virtual time",
        )
        .command("replay");
    let route = pure(Command::Route)
        .to_options()
        .descr("Measure the processor time of a routing decision at several sizes")
        .command("route");
    let child = child_options()
        .map(Command::OverheadChild)
        .to_options()
        .command("overhead-child")
        .hide();
    construct!([capacity, compare, overhead, replay, route, child])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Measure the product against baselines")
}
