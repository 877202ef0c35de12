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
    log_queue::{LogQueue, init_decision_logs, init_decision_logs_to, log_lines_left_out},
    node::{
        HELP_FOOTER, NodeOptions, NodeSettings, check_log_level, control_option, log_level_option,
        node_options,
    },
    program::{begin_program, run_program},
    refusal::{RAN_HEADER, Refusal},
    settings::{SettingProblem, Settings, exit_with_problems},
    shutdown::{Shutdown, begin_at_signal, wait_for_signal},
};
