//! Settings of a batch program: flags, environment variables and their checks.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use jobs::LEASE_MS;
use process::{
    HELP_FOOTER, NodeOptions, NodeSettings, SettingProblem, SettingsChecker, control_option,
    node_options,
};

const MEMORY_LIMIT_BYTES: usize = 32 << 20;
const LEASE_MIN_MS: u64 = 200;

/// Checked settings of a batch program.
#[derive(Debug, Clone)]
pub struct BatchSettings {
    /// Settings that all programs of an instance share.
    pub node: NodeSettings,
    /// Peer address of the control program on this instance.
    pub control: SocketAddr,
    /// Memory for claimed items and uncommitted results, bytes.
    pub memory_limit_bytes: usize,
    /// Length of a lease, milliseconds.
    pub lease_ms: u64,
}

/// Unchecked settings, as flags and environment variables give them.
#[derive(Debug, Clone)]
pub struct BatchOptions {
    node: NodeOptions,
    control: Option<String>,
    memory_limit_bytes: Option<String>,
    lease_ms: Option<String>,
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<BatchOptions> {
    let node = node_options();
    let control = control_option();
    let memory_limit_bytes = long("memory-limit-bytes")
        .env("REDWINGTACK_MEMORY_LIMIT_BYTES")
        .help("Memory for claimed items and uncommitted results; 33554432 unless set")
        .argument::<String>("BYTES")
        .optional();
    let lease_ms = long("lease-ms")
        .env("REDWINGTACK_LEASE_MS")
        .help("Length of a lease on a chunk of a job; 15000 unless set")
        .argument::<String>("MILLISECONDS")
        .optional();
    construct!(BatchOptions {
        node,
        control,
        memory_limit_bytes,
        lease_ms,
    })
    .to_options()
    .descr("Runs the items of batch jobs at model engines and plain services.")
    .footer(HELP_FOOTER)
    .version(env!("CARGO_PKG_VERSION"))
}

impl BatchOptions {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns all problems found.
    pub fn check(&self) -> Result<BatchSettings, Vec<SettingProblem>> {
        let mut settings = SettingsChecker::new();
        let node = self.node.check(&mut settings);
        let control = settings.address("control", self.control.as_deref());
        let memory_limit_bytes = settings.or_default(
            "memory-limit-bytes",
            self.memory_limit_bytes.as_deref(),
            MEMORY_LIMIT_BYTES,
        );
        let lease_ms = settings.or_default("lease-ms", self.lease_ms.as_deref(), LEASE_MS);
        if lease_ms < LEASE_MIN_MS {
            settings.add_problem("lease-ms", format!("must be at least {LEASE_MIN_MS}"));
        }
        let checked = || {
            Some(BatchSettings {
                node: node?,
                control: control?,
                memory_limit_bytes,
                lease_ms,
            })
        };
        let checked = checked();
        settings.finish(checked)
    }
}
