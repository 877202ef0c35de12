//! Many clients at once that do not behave.

use std::{
    collections::BTreeMap,
    future, io,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{crowd_load::Load, process_usage::pending_bytes};

/// A crowd without progress for this long waits for the process.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which a crowd sends.
const PRESSURE_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What came of a client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The status of the answer.
    Answered(u16),
    /// The connection ended without an answer.
    Closed,
}

/// The clients of a crowd. Their connections are closed when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    address: SocketAddrV4,
    /// Number of requests of all clients.
    requests: usize,
    progress: Arc<Progress>,
    #[expect(dead_code, reason = "the clients end when it is dropped")]
    clients: JoinSet<()>,
}

/// What the clients of a crowd have done so far.
#[derive(Debug)]
struct Progress {
    /// Outcomes by request id.
    outcomes: Mutex<BTreeMap<String, Outcome>>,
    sent_bytes: AtomicU64,
    /// Number of clients that still send or wait for the answer to a whole request.
    busy_clients: AtomicUsize,
}

/// How far a crowd has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PressureState {
    outcomes: usize,
    sent_bytes: u64,
    busy_clients: usize,
    /// Bytes that the process has not read.
    pending_bytes: u64,
}

/// Guard that counts a client as busy until it is dropped.
#[derive(Debug)]
struct BusyGuard<'a>(&'a Progress);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.busy_clients.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Crowd {
    /// Starts `clients` clients. The ids of their requests begin with `name`.
    pub fn start(address: SocketAddrV4, name: &str, clients: usize, load: &Load) -> Self {
        let progress = Arc::new(Progress {
            outcomes: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            busy_clients: AtomicUsize::new(clients),
        });
        let mut tasks = JoinSet::new();
        for client in 0..clients {
            let load = load.clone();
            let progress = Arc::clone(&progress);
            let name = format!("{name}-{client:03}");
            tasks.spawn(async move { run_client(address, &name, &load, &progress).await });
        }
        Self {
            address,
            requests: clients * load.requests,
            progress,
            clients: tasks,
        }
    }

    /// Waits until the clients have done all that they are to do and the process has read all
    /// that they sent, or no longer lets them.
    pub async fn press(&self) {
        let started = Instant::now();
        let mut progressed_at = started;
        let mut state = self.state();
        while !state.is_settled()
            && started.elapsed() < PRESSURE_TIMEOUT
            && progressed_at.elapsed() < STALL_TIMEOUT
        {
            sleep(POLL_INTERVAL).await;
            let state_now = self.state();
            if state_now != state {
                progressed_at = Instant::now();
            }
            state = state_now;
        }
    }

    /// Waits until every request has an outcome. Returns whether that came in time.
    pub async fn wait_for_outcomes(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        while self.outcomes().len() < self.requests {
            if Instant::now() > deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    fn state(&self) -> PressureState {
        PressureState {
            outcomes: self.progress.outcomes.lock().unwrap().len(),
            sent_bytes: self.sent_bytes(),
            busy_clients: self.progress.busy_clients.load(Ordering::Acquire),
            pending_bytes: pending_bytes(self.address),
        }
    }

    pub fn sent_bytes(&self) -> u64 {
        self.progress.sent_bytes.load(Ordering::Acquire)
    }

    /// Returns the outcomes so far by request id. Requests without one are still open.
    pub fn outcomes(&self) -> BTreeMap<String, Outcome> {
        self.progress.outcomes.lock().unwrap().clone()
    }
}

impl PressureState {
    fn is_settled(self) -> bool {
        self.busy_clients == 0 && self.pending_bytes == 0
    }
}

async fn run_client(address: SocketAddrV4, name: &str, load: &Load, progress: &Progress) {
    let mut busy = Some(BusyGuard(progress));
    for request in 0..load.requests {
        let id = format!("{name}-{request:03}");
        let outcome = exchange(address, &id, load, progress, &mut busy).await;
        let outcome = outcome.unwrap_or(Outcome::Closed);
        progress.outcomes.lock().unwrap().insert(id, outcome);
    }
}

/// Sends a request and returns its outcome. A client that has sent an unfinished request is no
/// longer busy.
async fn exchange(
    address: SocketAddrV4,
    id: &str,
    load: &Load,
    progress: &Progress,
    busy: &mut Option<BusyGuard<'_>>,
) -> io::Result<Outcome> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let sending = async {
        // An error means that the other side closed the connection, which the reader sees too.
        let _ = send(&mut writer, id, load, progress).await;
        if !load.is_whole() {
            busy.take();
        }
        future::pending().await
    };
    tokio::select! {
        outcome = read_outcome(reader) => outcome,
        outcome = sending => outcome,
    }
}

async fn send(
    writer: &mut OwnedWriteHalf,
    id: &str,
    load: &Load,
    progress: &Progress,
) -> io::Result<()> {
    writer.write_all(load.head(id).as_bytes()).await?;
    for index in 0..load.write_count() {
        for bytes in load.write(id, index) {
            writer.write_all(&bytes).await?;
            let sent_bytes = u64::try_from(bytes.len()).unwrap();
            progress.sent_bytes.fetch_add(sent_bytes, Ordering::AcqRel);
        }
        if !load.pause.is_zero() {
            sleep(load.pause).await;
        }
    }
    Ok(())
}

/// Reads an answer up to the end of its connection.
async fn read_outcome(mut reader: OwnedReadHalf) -> io::Result<Outcome> {
    let mut answer = Vec::new();
    let read = reader.read_to_end(&mut answer).await;
    let status = status_of(&answer);
    match (status, read) {
        (Some(status), _) => Ok(Outcome::Answered(status)),
        (None, Ok(_)) => Ok(Outcome::Closed),
        (None, Err(error)) => Err(error),
    }
}

fn status_of(answer: &[u8]) -> Option<u16> {
    let line = std::str::from_utf8(answer.get(..12)?).ok()?;
    line.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
