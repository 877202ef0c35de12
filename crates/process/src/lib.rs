//! Infrastructure that all programs share: checking of settings, logs, metrics,
//! health endpoints, error responses and graceful shutdown.
//!
//! This crate exists so that the programs that use it present the same flags,
//! log format, endpoints, signals and exit codes to operators. An instance is
//! one machine with its entry, batch and control programs.
//!
//! Begin reading at [`run_program`], which checks settings and runs a program,
//! and [`init_program`], which starts its admin endpoints and signal handlers.

mod admin;
mod instruments;
mod log_queue;
mod logging;
mod node;
mod program;
mod refusal;
mod settings;
mod shutdown;

pub use crate::{
    admin::{AdminState, serve_admin},
    instruments::time_histogram,
    log_queue::{LogQueue, init_nonblocking_logs, init_nonblocking_logs_to, log_lines_left_out},
    logging::{init_logs, quote},
    node::{
        HELP_FOOTER, NodeOptions, NodeSettings, check_log_level, control_option, log_level_option,
        node_options,
    },
    program::{init_program, run_program},
    refusal::{RAN_HEADER, Refusal},
    settings::{SettingProblem, SettingsChecker, exit_with_problems},
    shutdown::{Shutdown, begin_shutdown_on_signal, wait_for_signal},
};
