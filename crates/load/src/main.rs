//! `redwingtack-load`: command line of the benchmarks.

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

/// A measurement to run.
#[derive(Debug, Clone)]
enum Command {
    /// Measures traffic, processor time and memory of a node at several fleet
    /// sizes.
    Capacity(CapacityOptions),
    /// Compares batch policies under the same online load.
    Compare(CompareOptions),
    /// Measures what the entry program adds to a direct connection.
    Overhead(OverheadOptions),
    /// Replays a load pattern through the gateway's scheduling decisions.
    Replay(ReplayOptions),
    /// Measures the processor time of a routing decision.
    Route,
    /// Runs a child process of the overhead measurement.
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
        .descr("Compare batch policies under the same online load, in virtual time")
        .command("compare");
    let capacity = capacity_options()
        .map(Command::Capacity)
        .to_options()
        .descr("Measure traffic, processor time and memory of a node at several fleet sizes")
        .command("capacity");
    let overhead = overhead_options()
        .map(Command::Overhead)
        .to_options()
        .descr("Measure what the entry program adds to a direct connection to an engine")
        .command("overhead");
    let replay = replay_options()
        .map(Command::Replay)
        .to_options()
        .descr(
            "Replay a load pattern through the scheduling decisions of the gateway, in virtual time",
        )
        .command("replay");
    let route = pure(Command::Route)
        .to_options()
        .descr("Measure the processor time of a routing decision at several fleet sizes")
        .command("route");
    let child = child_options()
        .map(Command::OverheadChild)
        .to_options()
        .command("overhead-child")
        .hide();
    construct!([capacity, compare, overhead, replay, route, child])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Benchmark the serving system against baselines")
}
