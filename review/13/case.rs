//! The answer of the store to the write of a new job is late, and the job is ended meanwhile.
//! The machine that wrote the job must not run its items any more.

#[path = "../lib-3/stand.rs"]
mod stand;

use std::{
    io::Write,
    net::TcpStream,
    process::ExitCode,
    sync::atomic::{AtomicBool, Ordering},
};

use stand::*;

/// Usual time of a transaction: an answer takes 4 ms and the transaction 5 ms.
const TRANSACTION_MS: u64 = 9;
/// Usual time of a read.
const READ_MS: u64 = 4;
/// The store is slow by this factor at most.
const SLOW_FACTOR: u64 = 60;
/// Time after the acknowledgement of an end after which no item may reach a server and run.
const CANCEL_MS: u64 = 3_000;
/// A machine is in touch if there was no disruption for this time.
const STABLE_MS: u64 = 4_000;

fn usual_fate(call: &StoreCall<'_>) -> Fate {
    Fate::late(if call.kind == "tx" {
        TRANSACTION_MS
    } else {
        READ_MS
    })
}

fn main() -> ExitCode {
    let record = Record::new();
    let folder = Folder::new();
    let store = Store::new();
    store.put("op", "config", &config(7, 18_000));
    let options = ServerOptions {
        id: "i-1".to_owned(),
        service: "oraculo".to_owned(),
        zone: "lima-a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        events: 120,
        event_ms: 20,
        first_ms: 20,
        event_bytes: 60,
        weights: 1,
    };
    let server = Server::start(free_listener(), options, &record);
    server.beat(&store);
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

    // Many items wait: the first job keeps all slots for about ten seconds.
    let first = hex_id("aa", 1);
    let (_, first_body) = job_body(&first, 32, 120);
    if submit(&machines[1], &first, &first_body, &record) != 202 {
        return ExitCode::from(2);
    }
    sleep_ms(300);

    // The store is slow: an answer takes between the usual time and 60 times as long.
    let second = hex_id("bb", 2);
    let insert = format!("put redwingtack_jobs {second};");
    let is_first_insert = AtomicBool::new(true);
    if has_trouble() {
        record.line("the store becomes slow");
        store.set_fates(move |call| {
            let is_insert = call.machine == 0 && call.text.contains(&insert);
            let is_late = is_insert && is_first_insert.swap(false, Ordering::SeqCst);
            Fate::late(match call.kind {
                "tx" if is_late => TRANSACTION_MS * SLOW_FACTOR,
                "tx" if call.text.contains("redwingtack_nodes") => TRANSACTION_MS * 25,
                "tx" => TRANSACTION_MS,
                _ => READ_MS,
            })
        });
    } else {
        store.set_fates(usual_fate);
    }
    sleep_ms(1_300);

    // A client submits a job, loses its connection, and submits the job again at another machine.
    let (second_ids, second_body) = job_body(&second, 10, 120);
    record.line(format!(
        "client submits job {second} to {}",
        machines[0].name
    ));
    let path = format!("/pule252/{}", &second[..6]);
    let headers = job_headers(&second, "4000");
    let request = encode_request("POST", &path, &headers, &second_body);
    let Ok(mut connection) = TcpStream::connect(machines[0].front) else {
        return ExitCode::from(2);
    };
    if connection.write_all(&request).is_err() {
        return ExitCode::from(2);
    }
    sleep_ms(60);
    drop(connection);
    record.line("the client's connection is broken");
    if submit(&machines[1], &second, &second_body, &record) != 202 {
        return ExitCode::from(2);
    }
    if end_job(&machines[1], &second, &record) != 200 {
        return ExitCode::from(2);
    }
    let ended_ms = now_ms();
    sleep_ms(700);
    store.set_fates(usual_fate);
    record.line("the store is as fast as usual");
    let stable_ms = now_ms() + STABLE_MS;

    sleep_ms(14_000);
    let arrivals = server.arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| second_ids.contains(&arrival.id))
        .filter(|arrival| arrival.at_ms > ended_ms + CANCEL_MS && arrival.at_ms > stable_ms)
        .collect();
    for line in machines[0].log_lines(&second) {
        record.line(format!("log of {}: {line}", machines[0].name));
    }
    for arrival in &late {
        record.line(format!(
            "item {} of the ended job reached server {} and ran {} ms after the acknowledgement",
            arrival.id,
            arrival.server,
            arrival.at_ms - ended_ms
        ));
    }
    if late.is_empty() {
        record.line("held: no item of the ended job ran later than 3,000 ms after it");
        ExitCode::SUCCESS
    } else {
        record.line(format!("broken: UNASKED, {} items", late.len()));
        ExitCode::from(1)
    }
}
