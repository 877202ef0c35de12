//! Starts, signals and stops the processes of the programs under test.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    path::{Path, PathBuf},
    process::Stdio,
    thread,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{process::Child, time::Instant};

use crate::command::{ProcessSignal, Role};

/// Number of lines at the end of each log that a failed scenario prints.
const LOG_TAIL_LINES: usize = 12;

const KB_PER_MB: u64 = 1_024;
/// Interval of the checks whether a killed process has ended.
const REAP_POLL_INTERVAL_MS: u64 = 2;

/// Started processes by role and name, until [`ProcessTable::wait`] has returned
/// their exit code. Dropping the table kills those that are left.
#[derive(Debug)]
pub(crate) struct ProcessTable {
    log_folder: PathBuf,
    running: BTreeMap<(Role, String), Child>,
    logs: Vec<PathBuf>,
}

impl ProcessTable {
    pub(crate) fn new(scenario: &str) -> Result<Self, String> {
        let folder = target_folder().ok_or("the path of the test executable is unknown")?;
        let log_folder = folder.join("scenario-logs").join(scenario);
        // An error is expected if no earlier run left a log folder.
        let _ = fs::remove_dir_all(&log_folder);
        fs::create_dir_all(&log_folder).map_err(|error| error.to_string())?;
        Ok(Self {
            log_folder,
            running: BTreeMap::new(),
            logs: Vec::new(),
        })
    }

    /// Starts a program with an empty environment. Its output goes to a log file,
    /// whose end is printed if the scenario fails.
    ///
    /// # Errors
    ///
    /// Returns a message if the program is not built or cannot be started, or if a
    /// process with this role and name is running.
    pub(crate) fn start(
        &mut self,
        role: Role,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<(), String> {
        if self.running.contains_key(&(role, name.to_owned())) {
            return Err(format!("{role:?} {name} is already running"));
        }
        let path = program_path(program).ok_or("the path of the test executable is unknown")?;
        if !path.exists() {
            let hint = "run `cargo build --workspace --bins`";
            return Err(format!("{program} is not built; {hint}"));
        }
        let log = self.open_log(role, name)?;
        let output = log.try_clone().map_err(|error| error.to_string())?;
        let child = tokio::process::Command::new(&path)
            .args(arguments)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{program} cannot be started: {error}"))?;
        self.running.insert((role, name.to_owned()), child);
        Ok(())
    }

    pub(crate) fn signal(
        &mut self,
        role: Role,
        name: &str,
        signal: ProcessSignal,
    ) -> Result<(), String> {
        let child = self.child(role, name)?;
        let pid = child.id().ok_or("the process has ended")?;
        let pid = i32::try_from(pid).map_err(|error| error.to_string())?;
        let signal = match signal {
            ProcessSignal::Kill => Signal::SIGKILL,
            ProcessSignal::Stop => Signal::SIGTERM,
            ProcessSignal::Pause => Signal::SIGSTOP,
            ProcessSignal::Wake => Signal::SIGCONT,
        };
        kill(Pid::from_raw(pid), signal).map_err(|error| error.to_string())
    }

    /// Returns the peak resident memory of a process since its start, in MB
    /// rounded up.
    pub(crate) fn memory_peak_mb(&mut self, role: Role, name: &str) -> Result<u64, String> {
        let pid = self
            .child(role, name)?
            .id()
            .ok_or("the process has ended")?;
        let path = format!("/proc/{pid}/status");
        let status = fs::read_to_string(path).map_err(|error| error.to_string())?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
        let kilobytes: u64 = kilobytes.ok_or("the process status has no valid VmHWM line")?;
        Ok(kilobytes.div_ceil(KB_PER_MB))
    }

    /// Waits until a process ends, removes it from the table and returns its exit
    /// code, or `None` if a signal ended it.
    pub(crate) async fn wait(
        &mut self,
        role: Role,
        name: &str,
        deadline: Instant,
    ) -> Result<Option<i32>, String> {
        let child = self.child(role, name)?;
        let status = tokio::time::timeout_at(deadline, child.wait())
            .await
            .map_err(|_| format!("{role:?} {name} has not ended within the time limit"))?
            .map_err(|error| error.to_string())?;
        self.running.remove(&(role, name.to_owned()));
        Ok(status.code())
    }

    /// Checks that a process is still running.
    ///
    /// # Errors
    ///
    /// Returns a message with the exit status if the process has ended.
    pub(crate) fn check_alive(&mut self, role: Role, name: &str) -> Result<(), String> {
        match self.child(role, name)?.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(format!("{role:?} {name} has ended: {status}")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Returns the last lines of every log, including those of ended processes.
    pub(crate) fn log_tails(&self) -> String {
        let mut text = String::new();
        for path in &self.logs {
            let content = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<_> = content.lines().collect();
            let start = lines.len().saturating_sub(LOG_TAIL_LINES);
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            text.push_str(&format_tail(&name, &lines[start..]));
        }
        text
    }

    fn child(&mut self, role: Role, name: &str) -> Result<&mut Child, String> {
        let child = self.running.get_mut(&(role, name.to_owned()));
        child.ok_or_else(|| format!("{role:?} {name} is not running"))
    }

    fn open_log(&mut self, role: Role, name: &str) -> Result<File, String> {
        let number = self.logs.len();
        let file_name = format!("{number:02}-{role:?}-{name}.log").to_lowercase();
        let path = self.log_folder.join(file_name);
        let file = File::create(&path).map_err(|error| error.to_string())?;
        self.logs.push(path);
        Ok(file)
    }
}

impl Drop for ProcessTable {
    /// Kills every process and waits until all have ended, so that their
    /// addresses are free for the next scenario.
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // An error means that the process has already ended.
            let _ = child.start_kill();
        }
        for child in self.running.values_mut() {
            while matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(REAP_POLL_INTERVAL_MS));
            }
        }
    }
}

/// Returns the time `limit_ms` milliseconds from now.
pub(crate) fn deadline_after(limit_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(limit_ms)
}

fn format_tail(name: &str, lines: &[&str]) -> String {
    format!("--- {name}\n{}\n", lines.join("\n"))
}

/// Returns `target/<profile>`. The test executable is in its folder `deps`.
fn target_folder() -> Option<PathBuf> {
    let test = env::current_exe().ok()?;
    test.parent()?.parent().map(Path::to_owned)
}

fn program_path(program: &str) -> Option<PathBuf> {
    Some(target_folder()?.join(program))
}
