//! Logging to standard output that never blocks the calling thread.
//!
//! Lines go through a bounded queue to a writer thread. While the reader of
//! standard output is stalled, the queue fills and further lines are dropped.
//! Once the queue has room again, one line reports how many were dropped.

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

use crate::logging::write_line;

/// Number of log lines dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum time that [`LogWriter::flush`] waits for the queue to be written when
/// the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Number of queued lines from which low-priority lines are dropped. The rest of
/// the queue is reserved for warnings and errors.
const LOW_PRIORITY_CAPACITY: usize = QUEUE_CAPACITY / 4 * 3;

/// Starts logging to standard output through a [`LogQueue`], so that a log call
/// never blocks. `level` is a log specification of `flexi_logger`, such as
/// `info`. The returned handle must be kept alive until the program ends.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger is already
/// installed.
pub fn init_nonblocking_logs(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    init_nonblocking_logs_to(level, io::stdout())
}

/// Starts logging as [`init_nonblocking_logs`] does, but writes to `output`
/// instead of standard output.
///
/// # Errors
///
/// Returns an error if `level` cannot be parsed or a logger is already
/// installed.
pub fn init_nonblocking_logs_to(
    level: &str,
    output: impl Write + Send + 'static,
) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_writer(Box::new(LogQueue::new(output)))
        .start()
}

/// Returns the number of log lines dropped since the process started.
#[must_use]
pub fn log_lines_left_out() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Bounded queue of log lines with a thread that writes them.
#[derive(Debug)]
pub struct LogQueue {
    sender: SyncSender<Vec<u8>>,
    /// Number of lines that are queued or being written.
    queued: Arc<AtomicUsize>,
    /// Number of dropped lines that no line has reported yet.
    unreported: AtomicU64,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    #[must_use]
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        let queued = Arc::new(AtomicUsize::new(0));
        let writer_queued = Arc::clone(&queued);
        thread::spawn(move || write_lines(&receiver, &writer_queued, output));
        Self {
            sender,
            queued,
            unreported: AtomicU64::new(0),
        }
    }

    /// Appends a line, which includes its newline, to the queue. Drops the line
    /// if the queue is full, and a low-priority line also if only the space
    /// reserved for warnings and errors is left.
    pub fn push(&self, line: Vec<u8>, is_low_priority: bool) {
        let queued = self.queued.load(Ordering::Relaxed);
        if is_low_priority && queued >= LOW_PRIORITY_CAPACITY {
            self.record_drop();
            return;
        }
        let unreported = self.unreported.load(Ordering::Relaxed);
        if unreported > 0 && queued < LOW_PRIORITY_CAPACITY {
            let report = format!("level=warn event=log_lines_left_out count={unreported}\n");
            if self.send(report.into_bytes()) {
                self.unreported.fetch_sub(unreported, Ordering::Relaxed);
            }
        }
        if !self.send(line) {
            self.record_drop();
        }
    }

    /// Queues a line without blocking. Returns false if the queue is full or
    /// the writer thread has ended.
    fn send(&self, line: Vec<u8>) -> bool {
        // The line is counted before it is sent. Otherwise the writer thread could
        // subtract it first, and the count would wrap around.
        self.queued.fetch_add(1, Ordering::Relaxed);
        let is_sent = self.sender.try_send(line).is_ok();
        if !is_sent {
            self.queued.fetch_sub(1, Ordering::Relaxed);
        }
        is_sent
    }

    fn record_drop(&self) {
        self.unreported.fetch_add(1, Ordering::Relaxed);
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
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

    /// Waits until all queued lines are written, but at most `FLUSH_TIMEOUT`,
    /// so that a stalled reader cannot delay the end of the process.
    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.queued.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Writes queued lines until the queue is dropped or a write fails. Each write
/// contains all lines that are queued at that time.
fn write_lines(receiver: &Receiver<Vec<u8>>, queued: &AtomicUsize, mut output: impl Write) {
    while let Ok(mut buffer) = receiver.recv() {
        let mut line_count = 1;
        for line in receiver.try_iter() {
            buffer.extend_from_slice(&line);
            line_count += 1;
        }
        let result = output.write_all(&buffer).and_then(|()| output.flush());
        queued.fetch_sub(line_count, Ordering::Relaxed);
        // Standard output is closed, so the error cannot be reported anywhere.
        if result.is_err() {
            return;
        }
    }
}
