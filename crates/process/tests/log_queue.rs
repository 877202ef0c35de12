//! The queue of log lines while nobody reads them.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use process::{LogQueue, log_lines_left_out};

/// A reader that reads nothing until it is opened.
#[derive(Debug, Clone, Default)]
struct Pipe {
    state: Arc<(Mutex<PipeState>, Condvar)>,
}

#[derive(Debug, Default)]
struct PipeState {
    is_open: bool,
    text: String,
}

impl Pipe {
    fn open(&self) {
        self.state.0.lock().unwrap().is_open = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        self.state.0.lock().unwrap().text.clone()
    }
}

impl Write for Pipe {
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
fn push_never_blocks_and_keeps_warnings_longest() {
    let pipe = Pipe::default();
    let queue = LogQueue::new(pipe.clone());
    let started = Instant::now();
    for index in 0..10_000 {
        queue.push(format!("calm {index}\n").into_bytes(), true);
    }
    for index in 0..500 {
        queue.push(format!("warning {index}\n").into_bytes(), false);
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    assert!(log_lines_left_out() > 5_000);
    pipe.open();
    while !pipe.text().contains("warning 499") {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "warnings are lost"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    queue.push(b"after\n".to_vec(), true);
    while !pipe.text().contains("after") {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the queue stays full"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(pipe.text().contains("event=log_lines_left_out count="));
}
