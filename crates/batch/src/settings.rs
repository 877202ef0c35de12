//! Settings of the batch program: command-line flags, environment variables and their
//! validation.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use jobs::LEASE_MS;
use process::{
    HELP_FOOTER, NodeOptions, NodeSettings, SettingProblem, SettingsChecker, control_option,
    node_options,
};

const DEFAULT_MEMORY_LIMIT_BYTES: usize = 32 << 20;
/// Minimum duration of a chunk lease, in milliseconds.
const LEASE_MIN_MS: u64 = 200;

/// Validated settings of the batch program.
#[derive(Debug, Clone)]
pub struct BatchSettings {
    /// Settings that all programs of an instance share.
    pub node: NodeSettings,
    /// Peer address of the control program on this instance.
    pub control: SocketAddr,
    /// Memory limit for claimed items and uncommitted results, in bytes.
    pub memory_limit_bytes: usize,
    /// Duration of a chunk lease, in milliseconds.
    pub lease_ms: u64,
}

/// Settings as given by flags and environment variables, not yet validated.
#[derive(Debug, Clone)]
pub struct BatchOptions {
    node: NodeOptions,
    control: Option<String>,
    memory_limit_bytes: Option<String>,
    lease_ms: Option<String>,
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<BatchOptions> {
    let node = node_options();
    let control = control_option();
    let memory_limit_bytes = long("memory-limit-bytes")
        .env("REDWINGTACK_MEMORY_LIMIT_BYTES")
        .help("Limit the memory for claimed items and uncommitted results, in bytes [default: 33554432]")
        .argument::<String>("BYTES")
        .optional();
    let lease_ms = long("lease-ms")
        .env("REDWINGTACK_LEASE_MS")
        .help("Set the duration of a lease on a chunk of a job, in milliseconds [default: 15000]")
        .argument::<String>("MS")
        .optional();
    construct!(BatchOptions {
        node,
        control,
        memory_limit_bytes,
        lease_ms,
    })
    .to_options()
    .descr("Run the items of batch jobs on model engines and plain services")
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

impl BatchOptions {
    /// Validates every setting.
    ///
    /// # Errors
    ///
    /// Returns the problems of all invalid settings.
    pub fn check(&self) -> Result<BatchSettings, Vec<SettingProblem>> {
        let mut checker = SettingsChecker::new();
        let node = self.node.check(&mut checker);
        let control = checker.address("control", self.control.as_deref());
        let memory_limit_bytes = checker.or_default(
            "memory-limit-bytes",
            self.memory_limit_bytes.as_deref(),
            DEFAULT_MEMORY_LIMIT_BYTES,
        );
        let lease_ms = checker.or_default("lease-ms", self.lease_ms.as_deref(), LEASE_MS);
        if lease_ms < LEASE_MIN_MS {
            checker.add_problem("lease-ms", format!("must be at least {LEASE_MIN_MS}"));
        }
        let validated = || {
            Some(BatchSettings {
                node: node?,
                control: control?,
                memory_limit_bytes,
                lease_ms,
            })
        };
        let validated = validated();
        checker.finish(validated)
    }
}
