//! `capacity`: traffic, processor time and memory of one node at several fleet
//! sizes, with the decision code, codecs and connections that the programs use.

mod cluster;
mod cost;
mod live;
mod memory;
mod view;
mod wire;

use std::str::FromStr;

use bpaf::{Parser, construct, long};

use self::wire::WireCost;

/// Fleet sizes: nodes and upstreams, in the proportion that the design assumes.
const SIZES: [(usize, usize); 4] = [(140, 389), (350, 972), (700, 1_944), (1_400, 3_889)];
/// Fleet size that the design assumes. A run needs several GB of memory and
/// takes minutes.
const FULL_SIZE: (usize, usize) = (3_600, 10_000);

/// Options of `capacity`.
#[derive(Debug, Clone)]
pub struct CapacityOptions {
    part: Option<Part>,
    full: bool,
    runs: u32,
}

/// A group of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Overhead of a peer exchange beyond its messages.
    Wire,
    /// Size of the fleet view, and cost of coding and using it.
    View,
    /// Time until a configuration is in force, and processor time at idle, of
    /// control programs in this process.
    Live,
    /// Traffic and processor time of a node in a simulated fleet.
    Cluster,
    /// Resident memory of a control program.
    Memory,
}

/// Returns the parser of [`CapacityOptions`].
#[must_use]
pub fn capacity_options() -> impl Parser<CapacityOptions> {
    let part = long("part")
        .help("Run only PART: wire, view, live, cluster or memory [default: all]")
        .argument("PART")
        .optional();
    let full = long("full")
        .help("Also simulate 3,600 nodes with 10,000 upstreams (takes minutes and several GB)")
        .switch();
    let runs = long("runs")
        .help("Repeat each measurement N times [default: 3]")
        .argument("N")
        .fallback(3);
    construct!(CapacityOptions { part, full, runs })
}

/// Runs the selected measurements, and prints one line of `key=value` pairs per
/// result.
///
/// # Errors
///
/// Returns a message if a measurement cannot be made.
pub fn capacity(options: &CapacityOptions) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let is_selected = |part: Part| options.part.is_none_or(|chosen| chosen == part);
    // Memory is measured first because memory that other parts free stays
    // resident.
    if is_selected(Part::Memory) {
        runtime.block_on(memory::measure())?;
    }
    if is_selected(Part::View) {
        view::measure(options.runs)?;
    }
    if is_selected(Part::Live) {
        for run in 0..options.runs {
            runtime.block_on(live::measure(run))?;
        }
    }
    if is_selected(Part::Wire) || is_selected(Part::Cluster) {
        let wire = measure_wire(&runtime, options.runs)?;
        if is_selected(Part::Cluster) {
            measure_clusters(options, wire)?;
        }
    }
    Ok(())
}

fn measure_wire(runtime: &tokio::runtime::Runtime, runs: u32) -> Result<WireCost, String> {
    let mut wire = WireCost::default();
    for run in 0..runs {
        wire = runtime.block_on(wire::measure())?;
        println!(
            "capacity part=wire run={run} overhead_bytes_per_frame={:.1} cpu_us_per_exchange={:.1}",
            wire.overhead_bytes, wire.cpu_us
        );
    }
    Ok(wire)
}

fn measure_clusters(options: &CapacityOptions, wire: WireCost) -> Result<(), String> {
    for (nodes, upstreams) in SIZES {
        for run in 0..options.runs {
            cluster::measure(nodes, upstreams, run, wire)?;
        }
    }
    if options.full {
        cluster::measure(FULL_SIZE.0, FULL_SIZE.1, 0, wire)?;
    }
    Ok(())
}

impl FromStr for Part {
    type Err = String;

    fn from_str(value: &str) -> Result<Self, Self::Err> {
        match value {
            "wire" => Ok(Self::Wire),
            "view" => Ok(Self::View),
            "live" => Ok(Self::Live),
            "cluster" => Ok(Self::Cluster),
            "memory" => Ok(Self::Memory),
            _ => Err(format!(
                "unknown part {value:?}: expected wire, view, live, cluster or memory"
            )),
        }
    }
}
