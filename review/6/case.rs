//! A server breaks off a stream while the rest of a long request is still on its way.

#[path = "../lib-2/common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    BROKEN, HELD, NOT_RUN, Node, Record, Store, finish, has_trouble, limit_time, read_request_head,
    send, temporary_folder,
};

const HOST: &str = "nony24.example";
/// Events of each stream.
const EVENTS: u32 = 12;
/// The event after which the server breaks off.
const LAST_BEFORE_BREAK: u32 = 6;
/// Size of a request's body, bytes: less than `max_body_bytes`.
const BODY_BYTES: usize = 4_190_000;
/// Callers that send at the same time, and requests of each.
const CALLERS: u32 = 24;
const NODES: u32 = 3;
const REQUESTS: u32 = 300;
/// One of three servers is faulty (0.33). It breaks off one answer in this many (0.02), in each of
/// these spans of 5.5 s, seconds since it started: `garble` of the site file.
const SERVERS: usize = 3;
const BREAK_EVERY: u32 = 50;
const FAULTY_SPANS_S: [(f64, f64); 3] = [(4.0, 9.5), (12.0, 17.5), (20.0, 25.5)];
/// Time between two events, milliseconds.
const EVENT_INTERVAL_MS: u64 = 5;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"pista-larga","host":"{HOST}","path_prefix":"/lohu930/","kind":"stream","resumable":true,"timeout_ms":5000,"goal_ms":300,"gap_aim_ms":300,"priority":0,"max_attempts":1,"service":"oraculo"}}],"services":[{{"name":"oraculo"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Answers one request before it has read the body, and reads on afterwards.
fn serve(mut stream: TcpStream, is_faulty: bool, started: Instant, record: &Record, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(4_096, copy);
    let Ok(Some(request)) = read_request_head(&mut reader) else {
        return;
    };
    let id = request.header("redwingtack-request-id").unwrap_or("").to_owned();
    runs.all.fetch_add(1, Ordering::Relaxed);
    let at_s = started.elapsed().as_secs_f64();
    let is_in_span = FAULTY_SPANS_S.iter().any(|(from_s, to_s)| (*from_s..*to_s).contains(&at_s));
    let breaks_off = is_faulty && is_in_span && {
        let run = runs.in_spans.fetch_add(1, Ordering::Relaxed);
        run % BREAK_EVERY == BREAK_EVERY - 1
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRedwingtack-Request-Id: {id}\r\nRedwingtack-Server-Stamp: 3e1b.07.5a2\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for event in 1..=EVENTS {
        let data = format!("id: {event}\ndata: {id} {event}\n\n");
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        thread::sleep(Duration::from_millis(EVENT_INTERVAL_MS));
        if stream.write_all(chunk.as_bytes()).is_err() {
            record.line(&format!("server request={id} lost the connection at event {event}"));
            return;
        }
        if breaks_off && event == LAST_BEFORE_BREAK {
            // The rest of the request is unread, so closing resets the connection.
            drop(reader);
            drop(stream);
            record.line(&format!("server request={id} broke off after event {event} of {EVENTS}"));
            return;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    record.line(&format!("server request={id} sent all {EVENTS} events"));
    let mut rest = request.length;
    let mut buffer = vec![0; 65_536];
    while rest > 0 {
        match std::io::Read::read(&mut reader, &mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => rest -= count.min(rest),
        }
    }
}

/// How many requests a server has run.
#[derive(Default)]
struct Runs {
    all: AtomicU32,
    /// Those in the spans in which the server is faulty.
    in_spans: AtomicU32,
}

fn start_server(record: &Record, is_faulty: bool) -> (SocketAddr, Arc<Runs>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(Runs::default());
    let started = Instant::now();
    let (record, counter) = (record.clone(), Arc::clone(&runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, counter) = (record.clone(), Arc::clone(&counter));
            thread::spawn(move || serve(stream, is_faulty, started, &record, &counter));
        }
    });
    (address, runs)
}

/// How the requests ended.
#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    /// Answers that are complete by their framing and lack events.
    cut_unseen: AtomicU32,
}

fn call(caller: u32, front: SocketAddr, record: &Record, counts: &Counts) {
    let body = vec![b'x'; BODY_BYTES];
    for number in 1..=REQUESTS {
        let id = format!("{caller:04x}{number:012x}");
        let headers = [
            ("Host", HOST),
            ("Redwingtack-Request-Id", id.as_str()),
            ("Redwingtack-Deadline-Ms", "5000"),
        ];
        match send(front, "POST", "/lohu930/2f", &headers, &body, 6_000) {
            Ok(answer) => {
                let events = answer.text().matches("\n\n").count() as u32;
                record.line(&format!(
                    "client request={id} status={} stamp={} events={events} of {EVENTS} complete={}",
                    answer.status,
                    answer.header("redwingtack-server-stamp").unwrap_or("none"),
                    answer.is_complete
                ));
                if answer.status == 200 {
                    counts.answered.fetch_add(1, Ordering::Relaxed);
                    let is_cut_unseen = answer.is_complete && events < EVENTS;
                    counts.cut_unseen.fetch_add(u32::from(is_cut_unseen), Ordering::Relaxed);
                }
            }
            Err(error) => record.line(&format!("client request={id} no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn main() {
    let record = Record::open();
    limit_time(&record);
    let folder = temporary_folder();
    let Ok(store) = Store::start() else {
        finish(&record, NOT_RUN, "the store does not start", &folder)
    };
    let servers: Vec<_> = (0..SERVERS)
        .map(|server| start_server(&record, server == 0 && has_trouble()))
        .collect();
    let mut is_stored = store.put("op", "config", &config());
    for (server, (address, _)) in servers.iter().enumerate() {
        is_stored &= store.register(&format!("i-{server:08x}"), "oraculo", *address, 8);
    }
    let nodes: Vec<_> = (1..=NODES)
        .filter_map(|number| Node::start(&folder, number, store.address).ok())
        .collect();
    let is_ready = |node: &Node| node.wait_until_ready(Duration::from_secs(15));
    if !is_stored || nodes.len() != NODES as usize || !nodes.iter().all(is_ready) {
        finish(&record, NOT_RUN, "the instances are not ready", &folder)
    }
    let counts = Arc::new(Counts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, counts, front) = (record.clone(), Arc::clone(&counts), nodes[(caller % NODES) as usize].front);
            thread::spawn(move || call(caller, front, &record, &counts))
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let answered = counts.answered.load(Ordering::Relaxed);
    let cut_unseen = counts.cut_unseen.load(Ordering::Relaxed);
    let runs: Vec<_> = servers.iter().map(|(_, runs)| runs.all.load(Ordering::Relaxed)).collect();
    let in_spans = servers[0].1.in_spans.load(Ordering::Relaxed);
    record.line(&format!(
        "runs at the servers={runs:?}, at the faulty one in its spans={in_spans}, answered={answered}, cut but complete={cut_unseen}"
    ));
    if answered == 0 {
        finish(&record, NOT_RUN, "no stream was answered", &folder)
    }
    if cut_unseen > 0 {
        finish(&record, BROKEN, "broken: streams end as complete before their last event", &folder)
    }
    finish(&record, HELD, "held", &folder)
}
