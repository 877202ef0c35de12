//! Log lines on standard output that never hold up the work.
//!
//! Lines go through a bounded queue to a thread of their own. When nobody reads
//! standard output, the queue fills, further lines are left out, and one line
//! says how many once there is room again.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::Record;

use crate::event::write_line;

/// Lines that were left out since the process started.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Lines that wait to be written.
const QUEUE_LINES: usize = 4_096;

/// Starts logging to standard output without ever blocking. `level` is a
/// `flexi_logger` specification such as `info`. Keep the handle alive as long
/// as the program runs.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger already runs.
pub fn init_decision_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_writer(Box::new(LogQueue::new(io::stdout())))
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
    left_out: AtomicU64,
}

impl LogQueue {
    /// Starts the thread that writes to `output`.
    #[must_use]
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_lines(&queue, output));
        Self {
            lines,
            left_out: AtomicU64::new(0),
        }
    }

    /// Puts a line into the queue, or leaves it out if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        let left_out = self.left_out.load(Ordering::Relaxed);
        if left_out > 0 {
            let note = format!("level=warn event=log_lines_left_out count={left_out}\n");
            if self.lines.try_send(note.into_bytes()).is_ok() {
                self.left_out.fetch_sub(left_out, Ordering::Relaxed);
            }
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(160);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what has gathered in one go.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut text) = queue.recv() {
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
        }
        // Nobody can be told that standard output is closed.
        if output
            .write_all(&text)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
