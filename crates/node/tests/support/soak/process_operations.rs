//! Processes of a soak that are stopped, reloaded, killed, frozen and started again.

use std::{fs, path::Path};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::{
    Finding,
    history::{Deed, GRACE_S, Part, STALL_MIN_MS, Span},
    operator::Operator,
};

/// A process that is slowed down runs for one of so many turns.
const SLOW_TURNS: u32 = 4;

/// Time after a start in which no SIGHUP is sent, milliseconds. Whatever a process does, the
/// signal ends it before its handlers are installed.
const NO_HANGUP_MS: u64 = 200;

/// State of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// It was sent SIGTERM.
    Stopping {
        kill_ms: u64,
        down_ms: u64,
    },
    Frozen {
        until_ms: u64,
    },
    /// It is stopped and continued in turn; `turn` counts these.
    Slowed {
        until_ms: u64,
        turn: u32,
    },
    Ended {
        start_ms: u64,
    },
}

impl Operator {
    /// A process that is stopping already gets the signal again.
    pub fn stop(&mut self, instance: usize, down_ms: u64) {
        match self.states[instance] {
            ProcessState::Running => {
                self.begin(instance, Deed::Stop);
                self.cluster.nodes[instance].signal(Signal::SIGTERM);
                let kill_ms = self.now_ms() + GRACE_S * 1_000;
                self.states[instance] = ProcessState::Stopping { kill_ms, down_ms };
            }
            ProcessState::Stopping { .. } => self.cluster.nodes[instance].signal(Signal::SIGTERM),
            ProcessState::Frozen { .. }
            | ProcessState::Slowed { .. }
            | ProcessState::Ended { .. } => {}
        }
    }

    pub fn hang_up(&mut self, instance: usize, is_changed: bool) {
        let now_ms = self.now_ms();
        let has_just_started = now_ms < self.started_ms[instance] + NO_HANGUP_MS;
        if has_just_started || matches!(self.states[instance], ProcessState::Ended { .. }) {
            return;
        }
        let node = &self.cluster.nodes[instance];
        if is_changed {
            change_settings(node.settings_path());
        }
        node.signal(Signal::SIGHUP);
        let span = Span::new(now_ms, now_ms);
        self.record(Part::Instance(instance), Deed::Hangup, span);
    }

    pub fn kill(&mut self, instance: usize, down_ms: u64) {
        if matches!(self.states[instance], ProcessState::Ended { .. }) {
            return;
        }
        self.begin(instance, Deed::Disrupt("kill"));
        self.cluster.nodes[instance].kill();
        let start_ms = self.now_ms() + down_ms;
        self.states[instance] = ProcessState::Ended { start_ms };
    }

    pub fn freeze(&mut self, instance: usize, for_ms: u64) {
        if self.states[instance] == ProcessState::Running {
            self.begin(instance, Deed::Disrupt("freeze"));
            self.cluster.nodes[instance].signal(Signal::SIGSTOP);
            let until_ms = self.now_ms() + for_ms;
            self.states[instance] = ProcessState::Frozen { until_ms };
        }
    }

    /// Lets a process run for one of several turns only.
    pub fn slow_down(&mut self, instance: usize, for_ms: u64) {
        if self.states[instance] == ProcessState::Running {
            self.begin(instance, Deed::Disrupt("slow"));
            let until_ms = self.now_ms() + for_ms;
            self.states[instance] = ProcessState::Slowed { until_ms, turn: 0 };
        }
    }

    /// Brings one process on: back from a freeze, to its end, or up again.
    pub fn advance(&mut self, instance: usize) {
        let now_ms = self.now_ms();
        let node = &mut self.cluster.nodes[instance];
        match self.states[instance] {
            ProcessState::Running => {
                if node.has_exited() {
                    let text = format!("instance {instance} has ended by itself");
                    let at_ms = now_ms;
                    self.findings.push(Finding { at_ms, text });
                    self.begin(instance, Deed::Disrupt("ended by itself"));
                    self.states[instance] = ProcessState::Ended { start_ms: now_ms };
                }
            }
            ProcessState::Stopping { kill_ms, down_ms } => {
                if now_ms >= kill_ms || node.has_exited() {
                    node.kill();
                    let start_ms = now_ms + down_ms;
                    self.states[instance] = ProcessState::Ended { start_ms };
                }
            }
            ProcessState::Frozen { until_ms } => {
                if now_ms >= until_ms {
                    node.signal(Signal::SIGCONT);
                    self.end(instance, ProcessState::Running);
                }
            }
            ProcessState::Slowed { until_ms, turn } => {
                node.signal(if turn % SLOW_TURNS == 0 {
                    Signal::SIGCONT
                } else {
                    Signal::SIGSTOP
                });
                let turn = turn + 1;
                self.states[instance] = ProcessState::Slowed { until_ms, turn };
                if now_ms >= until_ms {
                    node.signal(Signal::SIGCONT);
                    self.end(instance, ProcessState::Running);
                }
            }
            ProcessState::Ended { start_ms } => {
                if now_ms >= start_ms {
                    node.start_again();
                    self.started_ms[instance] = now_ms;
                    self.waited_ms[instance] = 0;
                    self.end(instance, ProcessState::Running);
                    let span = Span::new(now_ms, now_ms);
                    self.record(Part::Instance(instance), Deed::Start, span);
                }
            }
        }
    }

    /// Records when a process that could run had no processor.
    pub fn watch_for_stall(&mut self, instance: usize) {
        let state = self.states[instance];
        if !matches!(state, ProcessState::Running | ProcessState::Stopping { .. }) {
            return;
        }
        let Some(waited_ms) = processor_wait_ms(self.cluster.nodes[instance].id()) else {
            return;
        };
        let grown_ms = waited_ms.saturating_sub(self.waited_ms[instance]);
        if grown_ms >= STALL_MIN_MS {
            let now_ms = self.now_ms();
            let span = Span::new(now_ms.saturating_sub(grown_ms + STALL_MIN_MS), now_ms);
            self.record(Part::Instance(instance), Deed::Stall, span);
        }
        self.waited_ms[instance] = waited_ms;
    }

    /// Ends what was done to an instance.
    fn end(&mut self, instance: usize, state: ProcessState) {
        let now_ms = self.now_ms();
        let mut history = self.shared.history.lock().unwrap();
        history.end(Part::Instance(instance), now_ms);
        self.states[instance] = state;
    }
}

/// Returns how long the main thread of a process has waited for a processor so far, or `None` if
/// it has ended.
fn processor_wait_ms(process: u32) -> Option<u64> {
    let statistics = fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let waited_ns: u64 = statistics.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited_ns / 1_000_000)
}

/// Changes a bound of the settings that has no effect in a soak.
fn change_settings(path: &Path) {
    let text = fs::read_to_string(path).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    let slack = settings["bounds"]["quota_slack"].as_u64().unwrap_or(0);
    settings["bounds"]["quota_slack"] = json!(slack + 1);
    fs::write(path, settings.to_string()).unwrap();
}
