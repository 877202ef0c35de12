//! Tests of `redwingtack where` against an instance that answers as told.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};

/// Runs the command against an instance that gives `answer`. Returns what it was asked and
/// the output of the command.
fn ask(answer: &'static str, arguments: &[&str]) -> (String, Output) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let instance = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let length = stream.read(&mut request).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8_lossy(&request[..length]).into_owned()
    });
    let output = run(address, arguments);
    (instance.join().unwrap(), output)
}

fn run(address: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_redwingtack"))
        .args(["where", "--at", &address.to_string()])
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn where_prints_answer() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\ndecision=sent upstream=u1 a=b\n";
    let arguments = ["--prompt", "a1:200,b2:50", "hints.example", "/long/x"];
    let (question, output) = ask(answer, &arguments);
    let line = "GET /where?host=hints.example&path=/long/x&prompt=a1:200,b2:50 HTTP/1.1";
    assert!(question.starts_with(line), "{question}");
    assert_eq!(output.stdout, b"decision=sent upstream=u1 a=b\n");
    assert!(output.status.success());
}

#[test]
fn where_rejected_question_fails() {
    let answer = "HTTP/1.1 400 Bad Request\r\nContent-Length: 7\r\n\r\nprompt\n";
    let (_, output) = ask(answer, &["hints.example", "/long/x"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
}

#[test]
fn where_unreachable_instance_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let output = run(address, &["hints.example", "/long/x"]);
    assert_eq!(output.status.code(), Some(2));
}
