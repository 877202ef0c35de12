//! Memory and descriptors of a process under test.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{task::JoinHandle, time::sleep};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";

/// The most that a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakUsage {
    /// Resident memory, bytes, as the kernel keeps it.
    pub resident_bytes: u64,
    /// Resident memory together with bytes that were received and not yet read, bytes, as
    /// sampled.
    pub memory_bytes: u64,
    /// Bytes that were received and not yet read, as sampled.
    pub unread_bytes: u64,
    /// Open descriptors, as sampled.
    pub descriptors: usize,
}

/// Samples the usage of a process until it is dropped.
#[derive(Debug)]
pub struct UsageMonitor {
    process_id: u32,
    peak: Arc<Mutex<PeakUsage>>,
    sampling: JoinHandle<()>,
}

impl UsageMonitor {
    /// Starts to sample a process whose sockets have the local address `ip`.
    pub fn start(process_id: u32, ip: IpAddr) -> Self {
        let IpAddr::V4(ip) = ip else {
            panic!("the address {ip} is not an IPv4 address");
        };
        let peak = Arc::new(Mutex::new(PeakUsage::default()));
        let sampling = tokio::spawn(sample(process_id, ip, Arc::clone(&peak)));
        Self {
            process_id,
            peak,
            sampling,
        }
    }

    /// Returns the most that the process has used, or `None` if it has ended.
    pub fn peak(&self) -> Option<PeakUsage> {
        let resident_bytes = status_bytes(self.process_id, "VmHWM:")?;
        let sampled = *self.peak.lock().unwrap();
        Some(PeakUsage {
            resident_bytes,
            ..sampled
        })
    }
}

impl Drop for UsageMonitor {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

async fn sample(process_id: u32, ip: Ipv4Addr, peak: Arc<Mutex<PeakUsage>>) {
    while let Some(resident_bytes) = status_bytes(process_id, "VmRSS:") {
        let unread_bytes = unread_bytes(ip);
        let descriptors = descriptor_count(process_id);
        {
            let mut peak = peak.lock().unwrap();
            peak.unread_bytes = peak.unread_bytes.max(unread_bytes);
            peak.memory_bytes = peak.memory_bytes.max(resident_bytes + unread_bytes);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns a value of a process in bytes, or `None` if the process has ended.
fn status_bytes(process_id: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(name))?;
    let kib: u64 = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}

fn descriptor_count(process_id: u32) -> usize {
    fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count)
}

/// Returns the number of bytes that were received at sockets with a local address and not read.
fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let sockets = read_sockets().into_iter();
    sockets
        .filter(|socket| *socket.local.ip() == ip)
        .map(|socket| socket.unread_bytes)
        .sum()
}

/// Returns the number of bytes on their way to a listener's connections that it has not read.
pub fn pending_bytes(listener: SocketAddrV4) -> u64 {
    let sockets = read_sockets().into_iter();
    let pending = sockets.map(|socket| {
        if socket.local == listener {
            socket.unread_bytes
        } else if socket.remote == listener {
            socket.unsent_bytes
        } else {
            0
        }
    });
    pending.sum()
}

/// A connection in the kernel's table.
#[derive(Debug)]
struct Socket {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    unsent_bytes: u64,
    unread_bytes: u64,
}

fn read_sockets() -> Vec<Socket> {
    let table = fs::read_to_string("/proc/self/net/tcp").unwrap();
    table.lines().skip(1).filter_map(parse_socket).collect()
}

/// Returns `None` for a listening socket, whose queues hold connections instead of bytes.
fn parse_socket(line: &str) -> Option<Socket> {
    let fields: Vec<_> = line.split_ascii_whitespace().collect();
    let [_, local, remote, state, queues, ..] = fields.as_slice() else {
        return None;
    };
    let (unsent, unread) = queues.split_once(':')?;
    let socket = Socket {
        local: parse_address(local)?,
        remote: parse_address(remote)?,
        unsent_bytes: u64::from_str_radix(unsent, 16).ok()?,
        unread_bytes: u64::from_str_radix(unread, 16).ok()?,
    };
    (*state != LISTENING).then_some(socket)
}

fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from(ip.to_ne_bytes()), port))
}
