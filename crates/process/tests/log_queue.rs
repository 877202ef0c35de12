//! Tests that a blocked output does not block the callers of the log queue, and
//! that warnings are kept while lines of lower priority are dropped.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use process::{LogQueue, log_lines_left_out};

/// Output whose writers block until it is opened.
#[derive(Debug, Clone, Default)]
struct GatedOutput {
    state: Arc<(Mutex<GateState>, Condvar)>,
}

#[derive(Debug, Default)]
struct GateState {
    is_open: bool,
    text: String,
}

impl GatedOutput {
    fn open(&self) {
        self.state.0.lock().unwrap().is_open = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        self.state.0.lock().unwrap().text.clone()
    }
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().unwrap();
        let mut state = self
            .state
            .1
            .wait_while(state, |state| !state.is_open)
            .unwrap();
        state.text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn push_to_blocked_output_drops_low_priority_lines_first() {
    let output = GatedOutput::default();
    let queue = LogQueue::new(output.clone());
    let started = Instant::now();
    for index in 0..10_000 {
        queue.push(format!("info {index}\n").into_bytes(), true);
    }
    for index in 0..500 {
        queue.push(format!("warning {index}\n").into_bytes(), false);
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    assert!(log_lines_left_out() > 5_000);
    output.open();
    while !output.text().contains("warning 499") {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "queued warnings were not written within 10 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    queue.push(b"after\n".to_vec(), true);
    while !output.text().contains("after") {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the queue did not accept lines within 10 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(output.text().contains("event=log_lines_left_out count="));
}
