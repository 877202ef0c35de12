//! After a release, a few clients still require the weights of before. Their requests are answered
//! 421 by each server. The machines must go on using these servers for all others.

#[path = "../lib-3/stand.rs"]
mod stand;

use std::{process::ExitCode, time::Duration};

use stand::*;

/// Time that a server goes on after it has reported that it is draining.
const DRAIN_MS: u64 = 3_000;
const STABLE_MS: u64 = 4_000;
const CONFIG_APPLY_MS: u64 = 3_000;
/// Time in which open jobs have to be finished.
const FINISH_MS: u64 = 18_000;
const ITEMS: usize = 10;
const SERVERS: usize = 4;

fn start_server(store: &Store, record: &Record, index: usize, weights: u64) -> Server {
    let zones = ["lima-a", "arequipa-a", "cusco-a"];
    let options = ServerOptions {
        id: format!("i-{weights}{index}"),
        service: "oraculo".to_owned(),
        zone: zones[index % 3].to_owned(),
        version: format!("v{weights}"),
        slots: 8,
        events: 40,
        event_ms: 10,
        first_ms: 10,
        event_bytes: 60,
        weights,
    };
    let server = Server::start(free_listener(), options, record);
    server.register(store, "ready", 1);
    server
}

/// Sends a request for a stream. Returns the status, and whether the stream was whole.
fn stream(machine: &Machine, id: &str, required: Option<&str>, record: &Record) -> (u16, bool) {
    let mut headers = vec![
        ("Host", HOST),
        ("Redwingtack-Request-Id", id),
        ("Redwingtack-Deadline-Ms", "5000"),
        ("Redwingtack-Model", "m"),
        ("Redwingtack-Token-Counts", "350,240"),
        ("Redwingtack-Prompt-Prefix", "5c1e07a2:100,91bd3f06:250"),
        ("Connection", "close"),
    ];
    headers.extend(required.map(|version| ("Redwingtack-Required-Version", version)));
    let timeout = Duration::from_millis(5_500);
    let answer = call(
        machine.front,
        "POST",
        "/gono990/2f",
        &headers,
        b"hint",
        timeout,
    );
    let (status, is_whole) = answer.map_or((0, false), |answer| {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        (
            answer.status,
            answer.is_complete && text.contains("id: 40\n"),
        )
    });
    let required = required.unwrap_or("none");
    record.line(format!(
        "request {id} to {}, required weights: {required}: {status}, whole: {is_whole}",
        machine.name
    ));
    (status, is_whole)
}

fn main() -> ExitCode {
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::new();
    store.put("op", "config", &config(7, 18_000));
    let old: Vec<_> = (0..SERVERS)
        .map(|index| start_server(&store, &record, index, 1))
        .collect();
    let deployment = Deployment::small();
    let mut machines: Vec<_> = (0..3)
        .map(|machine| deployment.machine(&folder, &store, machine))
        .collect();
    for machine in &mut machines {
        if machine.start().is_err() {
            record.line("a program did not start");
            return ExitCode::from(2);
        }
    }
    if !wait_until_ready(&machines, &record) {
        return ExitCode::from(2);
    }
    sleep_ms(5_000);
    let mut next = 0;
    let mut new_id = || {
        next += 1;
        hex_id("dd", next)
    };
    for machine in &machines {
        if !stream(machine, &new_id(), Some("1"), &record).1 {
            return ExitCode::from(2);
        }
    }

    // Two releases, each of half of the servers, one after the other: the new one starts first, the
    // old one drains.
    let mut new = Vec::new();
    if has_trouble() {
        for half in old.chunks(SERVERS / 2) {
            for server in half {
                record.line(format!("server {} is replaced", server.options.id));
                new.push(start_server(&store, &record, new.len(), 2));
                server.register(&store, "draining", 2);
                sleep_ms(1_000);
            }
            sleep_ms(DRAIN_MS);
            for server in half {
                store.remove("servers", &server.options.id);
            }
            record.line("the old servers of a release have left");
        }
    }
    sleep_ms(STABLE_MS + CONFIG_APPLY_MS);

    // One client of each machine still requires the weights of before, twice.
    for _ in 0..2 {
        for machine in &machines {
            stream(machine, &new_id(), Some("1"), &record);
        }
    }
    sleep_ms(2_000);

    // Other clients know nothing of weights.
    for machine in &machines {
        for _ in 0..3 {
            stream(machine, &new_id(), None, &record);
        }
    }
    let job = hex_id("aa", 1);
    let (ids, body) = job_body(&job, ITEMS, 40);
    if submit(&machines[0], &job, &body, &record) != 202 {
        return ExitCode::from(2);
    }
    let until_ms = now_ms() + FINISH_MS + STABLE_MS;
    let mut is_complete = false;
    while now_ms() < until_ms && !is_complete {
        sleep_ms(500);
        is_complete = read_results(&machines[1], &job).1.len() == ITEMS;
    }
    for machine in &machines {
        let (status, listed) = read_results(machine, &job);
        record.line(format!(
            "{}: status {status}, {} of {ITEMS} items of job {job} are listed",
            machine.name,
            listed.len()
        ));
        stream(machine, &new_id(), None, &record);
    }
    let servers = if new.is_empty() { &old } else { &new };
    for server in servers {
        let arrivals = server.arrivals.lock().unwrap();
        let items = arrivals
            .iter()
            .filter(|arrival| ids.contains(&arrival.id))
            .count();
        record.line(format!(
            "server {}: {items} items of the job ran, {} of {} places are taken",
            server.options.id,
            *server.busy.lock().unwrap(),
            server.options.slots
        ));
    }
    if is_complete {
        record.line("held: all items of the job are listed");
        ExitCode::SUCCESS
    } else {
        record.line("broken: LOST");
        ExitCode::from(1)
    }
}
