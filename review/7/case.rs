//! The operator removes the route of batch jobs while results of a job have not been read.

#[path = "../lib-2/common.rs"]
mod common;

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use common::{
    BROKEN, HELD, NOT_RUN, Node, Record, Store, base64, finish, has_trouble, limit_time,
    read_request_head, send, temporary_folder,
};

const HOST: &str = "nony24.example";
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: u32 = 6;
const EVENTS: u32 = 10;
/// `config_apply_ms` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time after that in which the job is read, `stable_ms` and more.
const READ_FOR: Duration = Duration::from_millis(6_000);

/// Returns a configuration, with the route of batch jobs or without it.
fn config(version: u32, has_batch_route: bool) -> String {
    let batch = format!(
        r#",{{"name":"narracion-lote","host":"{HOST}","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,"goal_ms":500,"due_ms":18000,"max_wait_s":60,"priority":2,"max_attempts":3,"service":"oraculo"}}"#
    );
    format!(
        r#"{{"version":{version},"routes":[{{"name":"pista-larga","host":"{HOST}","path_prefix":"/lohu930/","kind":"stream","resumable":true,"timeout_ms":{},"goal_ms":300,"gap_aim_ms":300,"priority":0,"max_attempts":2,"service":"oraculo"}}{}],"services":[{{"name":"oraculo"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        5_000 + version,
        if has_batch_route { batch } else { String::new() }
    )
}

/// Answers each request with a whole stream of events.
fn serve(mut stream: TcpStream, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = read_request_head(&mut reader) {
        let mut body = vec![0; request.length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let id = request.header("redwingtack-request-id").unwrap_or("").to_owned();
        let after = request.header("last-event-id").and_then(|id| id.parse().ok());
        record.line(&format!("server run item={id} after={}", after.unwrap_or(0)));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRedwingtack-Request-Id: {id}\r\nRedwingtack-Server-Stamp: 3e1b.07.5a2\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for event in after.unwrap_or(0) + 1..=EVENTS {
            let data = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            thread::sleep(Duration::from_millis(10));
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn start_server(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve(stream, &record));
        }
    });
    address
}

/// Reads the results of the job at an instance. Returns the status and the number of results.
fn read_job(record: &Record, node: &Node) -> (u16, usize) {
    let headers = [("Host", HOST), ("Redwingtack-Wait-Ms", "300")];
    let path = format!("/lots/{JOB}?after=0");
    let answer = send(node.front, "GET", &path, &headers, b"", 5_000);
    let (status, results) = match &answer {
        Ok(answer) => (answer.status, answer.text().matches("\"state\":\"done\"").count()),
        Err(_) => (0, 0),
    };
    record.line(&format!("client GET /lots/{JOB} at {}: {status}, {results} results", node.name));
    (status, results)
}

fn main() {
    let record = Record::open();
    limit_time(&record);
    let folder = temporary_folder();
    let Ok(store) = Store::start() else {
        finish(&record, NOT_RUN, "the store does not start", &folder)
    };
    let server = start_server(&record);
    let is_stored = store.put("op", "config", &config(1, true))
        && store.register("i-7f3a91c2", "oraculo", server, 8);
    let nodes: Vec<_> = (1..=2)
        .filter_map(|number| Node::start(&folder, number, store.address).ok())
        .collect();
    let is_ready = |node: &Node| node.wait_until_ready(Duration::from_secs(15));
    if !is_stored || nodes.len() != 2 || !nodes.iter().all(is_ready) {
        finish(&record, NOT_RUN, "the instances are not ready", &folder)
    }
    // The first heartbeats make the instances owners of jobs.
    thread::sleep(Duration::from_secs(2));

    let items: Vec<_> = (0..ITEMS)
        .map(|item| {
            let body = base64(format!("item {item}").as_bytes());
            format!(
                r#"{{"id":"e5b2907c14da6f{item:02x}","path":"/pule252/3/91c4","headers":{{"Redwingtack-Model":"m","Redwingtack-Token-Counts":"540,400"}},"body":"{body}","tokens":940}}"#
            )
        })
        .collect();
    let job = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let headers = [
        ("Host", HOST),
        ("Redwingtack-Request-Id", JOB),
        ("Redwingtack-Deadline-Ms", "4000"),
        ("Content-Type", "application/json"),
    ];
    let answer = send(nodes[0].front, "POST", "/pule252/7c41e0", &headers, job.as_bytes(), 5_000);
    let status = answer.map_or(0, |answer| answer.status);
    record.line(&format!("client POST batch job {JOB}, {ITEMS} items: {status}"));
    if status != 202 {
        finish(&record, NOT_RUN, "the batch job was not accepted", &folder)
    }
    let until = Instant::now() + Duration::from_secs(20);
    while read_job(&record, &nodes[0]).1 < ITEMS as usize {
        if Instant::now() > until {
            finish(&record, NOT_RUN, "the batch job was not done", &folder)
        }
        thread::sleep(Duration::from_millis(300));
    }

    // Without the disruption, the new version only changes a time-out.
    let version_2 = config(2, !has_trouble());
    if !store.put("op", "config", &version_2) {
        finish(&record, NOT_RUN, "the store did not take the configuration", &folder)
    }
    record.line(&format!("operator version 2 acknowledged, batch route removed: {}", has_trouble()));
    thread::sleep(CONFIG_APPLY);
    let until = Instant::now() + READ_FOR;
    let (mut missing, mut read) = (0, 0);
    while Instant::now() < until {
        for node in &nodes {
            match read_job(&record, node) {
                (404 | 410, _) => missing += 1,
                (200, results) if results == ITEMS as usize => read += 1,
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("reads with all results={read}, reads with 404 or 410={missing}"));
    if missing > 0 {
        finish(&record, BROKEN, "broken: an accepted batch job is answered 404", &folder)
    }
    if read == 0 {
        finish(&record, NOT_RUN, "no read was answered", &folder)
    }
    finish(&record, HELD, "held", &folder)
}
