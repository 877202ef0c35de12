//! What every program does the same way: checked settings, logs, metrics,
//! health endpoints and shutdown.
//!
//! This crate exists so that operators meet one behaviour in all programs.

mod admin;
mod event;
mod instruments;
mod log_queue;
mod node;
mod program;
mod refusal;
mod settings;
mod shutdown;

pub use crate::{
    admin::{AdminState, serve_admin},
    event::{init_logs, quote},
    instruments::time_histogram,
    log_queue::{LogQueue, init_nonblocking_logs, init_nonblocking_logs_to, log_lines_left_out},
    node::{
        HELP_FOOTER, NodeOptions, NodeSettings, check_log_level, control_option, log_level_option,
        node_options,
    },
    program::{init_program, run_program},
    refusal::{RAN_HEADER, Refusal},
    settings::{SettingProblem, SettingsChecker, exit_with_problems},
    shutdown::{Shutdown, begin_shutdown_on_signal, wait_for_signal},
};
