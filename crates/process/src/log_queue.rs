//! Log lines on standard output that never hold up the work.
//!
//! Lines go through a bounded queue to a thread of their own. When nobody reads
//! standard output, the queue fills, further lines are left out, and one line
//! says how many once there is room again.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::{Level, Record};

use crate::event::write_line;

/// Lines that were left out since the process started.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Longest wait for the queue to be written at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
const FLUSH_POLL: Duration = Duration::from_millis(1);
/// Calm lines are left out when this many wait; the rest of the queue is for
/// warnings and errors.
const CALM_LINES: usize = QUEUE_LINES / 4 * 3;

/// Starts logging to standard output without ever blocking. `level` is a
/// `flexi_logger` specification such as `info`. Keep the handle alive as long
/// as the program runs.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger already runs.
pub fn init_nonblocking_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    init_nonblocking_logs_to(level, io::stdout())
}

/// As [`init_nonblocking_logs`], to another output.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger already runs.
pub fn init_nonblocking_logs_to(
    level: &str,
    output: impl Write + Send + 'static,
) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_writer(Box::new(LogQueue::new(output)))
        .start()
}

/// Number of log lines that were left out since the process started.
#[must_use]
pub fn log_lines_left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Queue of lines with a thread that writes them.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    left_out: AtomicU64,
}

impl LogQueue {
    /// Starts the thread that writes to `output`.
    #[must_use]
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let written = Arc::clone(&waiting);
        thread::spawn(move || write_lines(&queue, &written, output));
        Self {
            lines,
            waiting,
            left_out: AtomicU64::new(0),
        }
    }

    /// Puts a line into the queue, or leaves it out if there is no room for
    /// lines of its kind.
    pub fn push(&self, line: Vec<u8>, is_calm: bool) {
        let waiting = self.waiting.load(Ordering::Relaxed);
        if is_calm && waiting >= CALM_LINES {
            self.leave_out();
            return;
        }
        let left_out = self.left_out.load(Ordering::Relaxed);
        if left_out > 0 && waiting < CALM_LINES {
            let note = format!("level=warn event=log_lines_left_out count={left_out}\n");
            if self.send(note.into_bytes()) {
                self.left_out.fetch_sub(left_out, Ordering::Relaxed);
            }
        }
        if !self.send(line) {
            self.leave_out();
        }
    }

    fn send(&self, line: Vec<u8>) -> bool {
        // Counted first, so that the thread never takes away what is missing.
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let is_sent = self.lines.try_send(line).is_ok();
        if !is_sent {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        is_sent
    }

    fn leave_out(&self) {
        self.left_out.fetch_add(1, Ordering::Relaxed);
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(160);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.push(line, record.level() >= Level::Info);
        Ok(())
    }

    /// Waits a little until everything is written, for the end of the process.
    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_LIMIT;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL);
        }
        Ok(())
    }
}

/// Writes what has gathered in one go.
fn write_lines(queue: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut output: impl Write) {
    while let Ok(mut text) = queue.recv() {
        let mut taken = 1;
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
            taken += 1;
        }
        let written = output.write_all(&text).and_then(|()| output.flush());
        waiting.fetch_sub(taken, Ordering::Relaxed);
        // Nobody can be told that standard output is closed.
        if written.is_err() {
            return;
        }
    }
}
