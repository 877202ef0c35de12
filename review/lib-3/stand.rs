//! Stand-ins for the cases of the third review: the platform's store, model servers, clients and
//! the processes of a small deployment. Only the standard library is used.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        Some(value)
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(number) => out.push_str(&format!("{number}")),
            Json::Str(text) => write_str(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_str(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_str(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        let is_there = self.bytes.get(self.at) == Some(&byte);
        if is_there {
            self.at += 1;
        }
        is_there
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        if self.bytes[self.at..].starts_with(word.as_bytes()) {
            self.at += word.len();
            return Some(value);
        }
        None
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Obj(fields));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']') {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::Arr(items));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => Some(Json::Str(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Json::Num(text.parse().ok()?))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            self.at += 4;
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(
        fields
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}

pub fn n(number: u64) -> Json {
    Json::Num(number as f64)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(value >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut value = 0u32;
    let mut bits = 0;
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        value = (value << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| unescape(value))
        })
    }
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(0));
                at += 2;
            }
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head. Returns the first line and the headers.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks. One without either is read to the end of the
/// connection if `to_end`.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    to_end: bool,
    mut on_bytes: impl FnMut(&[u8]),
) -> io::Result<()> {
    if find_header(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            on_bytes(&chunk[..size]);
        }
    }
    if let Some(length) = find_header(headers, "content-length") {
        let mut left: usize = length.parse().unwrap_or(0);
        let mut buffer = [0; 16_384];
        while left > 0 {
            let limit = left.min(buffer.len());
            let count = reader.read(&mut buffer[..limit])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            left -= count;
            on_bytes(&buffer[..count]);
        }
        return Ok(());
    }
    if to_end {
        let mut rest = Vec::new();
        reader.read_to_end(&mut rest)?;
        on_bytes(&rest);
    }
    Ok(())
}

/// Serves connections, each in a thread. `handle` answers a request on the stream and returns
/// whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &(impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let mut body = Vec::new();
        read_body(&mut reader, &headers, false, |bytes| {
            body.extend_from_slice(bytes);
        })?;
        let request = Request {
            method,
            target,
            headers,
            body,
        };
        if !handle(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn respond_json(stream: &mut TcpStream, status: u16, body: &Json) -> io::Result<()> {
    let headers = [("Content-Type", "application/json")];
    respond(stream, status, &headers, body.text().as_bytes())
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was read to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

/// Sends one request on a new connection and reads the answer for at most `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&encode_request(method, target, headers, body))?;
    read_answer(stream)
}

pub fn encode_request(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn read_answer(stream: TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut body = Vec::new();
    let read = read_body(&mut reader, &headers, true, |bytes| {
        body.extend_from_slice(bytes);
    });
    Ok(Answer {
        status: status.unwrap_or(0),
        headers,
        body,
        is_complete: read.is_ok(),
    })
}

// ---------------------------------------------------------------- clock and record

static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

/// Returns the milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What was sent, answered and run, in order of time.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        now_ms();
        Self {
            path: path.into(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}", now_ms(), text.as_ref());
        let mut lines = self.lines.lock().unwrap();
        lines.push(line);
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- the platform's store

/// Maximum size of an answer with rows, and what a row takes up beside its key and value.
const PAGE_MAX_BYTES: usize = 1_000_000;
const ROW_OVERHEAD_BYTES: usize = 100;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changed rows in order: version and key.
    changes: Vec<(u64, RowKey)>,
}

/// A call to the store, as the case sees it.
pub struct StoreCall<'a> {
    /// Index of the calling machine.
    pub machine: usize,
    /// `tx`, `get` or `feed`.
    pub kind: &'a str,
    /// Tables and keys that are written or asked for, for the case to recognise the call.
    pub text: String,
}

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
pub struct Fate {
    /// Time until the call is performed.
    pub before_ms: u64,
    /// Time from then until it is answered.
    pub after_ms: u64,
    /// Whether it is answered at all. If not, the connection is closed.
    pub is_answered: bool,
    /// Whether it is refused with 503 and not performed.
    pub is_refused: bool,
}

impl Fate {
    /// A call that is performed at once and answered after some time.
    pub fn late(after_ms: u64) -> Self {
        Self {
            before_ms: 0,
            after_ms,
            is_answered: true,
            is_refused: false,
        }
    }
}

type Fates = dyn Fn(&StoreCall<'_>) -> Fate + Send + Sync;

/// The platform's store. A case says what happens to each call.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    fates: Arc<Mutex<Arc<Fates>>>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Arc::default(),
            fates: Arc::new(Mutex::new(Arc::new(|_: &StoreCall<'_>| Fate::late(0)))),
            started: Instant::now(),
        }
    }

    pub fn set_fates(&self, fates: impl Fn(&StoreCall<'_>) -> Fate + Send + Sync + 'static) {
        *self.fates.lock().unwrap() = Arc::new(fates);
    }

    /// Opens the store's address for one machine.
    pub fn listen(&self, listener: TcpListener, machine: usize) {
        let store = self.clone();
        serve(listener, move |request, stream| {
            store.handle(request, stream, machine)
        });
    }

    fn steady_ms(&self) -> u64 {
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    /// Writes a row as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        self.put_bytes(table, key, value.text().as_bytes());
    }

    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let id = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(id.clone(), (base64(value), version));
        rows.changes.push((version, id));
        changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let id = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.remove(&id);
        rows.changes.push((version, id));
        changed.notify_all();
    }

    /// Returns the decoded values of the rows of a table.
    pub fn table(&self, table: &str) -> Vec<(RowKey, Vec<u8>)> {
        let rows = self.rows.0.lock().unwrap();
        let rows = rows.rows.iter().filter(|(id, _)| id.0 == table);
        rows.map(|(id, (value, _))| (id.clone(), unbase64(value)))
            .collect()
    }

    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        machine: usize,
    ) -> io::Result<bool> {
        let kind = match (request.method.as_str(), request.path()) {
            ("POST", "/rows-tx") => "tx",
            ("GET", "/rows-get") => "get",
            ("GET", "/rows-feed") => "feed",
            _ => "other",
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let text = match kind {
            "tx" => describe(&body),
            _ => request.target.clone(),
        };
        let call = StoreCall {
            machine,
            kind,
            text,
        };
        let fates = Arc::clone(&self.fates.lock().unwrap());
        let fate = fates(&call);
        if fate.is_refused {
            respond(stream, 503, &[], b"")?;
            return Ok(true);
        }
        if fate.before_ms > 0 && !fate.is_answered && kind == "tx" {
            // The connection ends at once, and the write is performed later.
            let store = self.clone();
            thread::spawn(move || {
                sleep_ms(fate.before_ms);
                store.transact(&body);
            });
            return Ok(false);
        }
        sleep_ms(fate.before_ms);
        let (status, answer) = match kind {
            "tx" => self.transact(&body),
            "get" => (200, self.read(request)),
            "feed" => (200, self.feed(request)),
            _ => (404, Json::Null),
        };
        sleep_ms(fate.after_ms);
        if fate.is_answered {
            respond_json(stream, status, &answer)?;
        }
        Ok(fate.is_answered)
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let conditions = body.get("if_rev").arr();
        let is_met = conditions.iter().all(|entry| {
            let version = rows
                .rows
                .get(&row_key(entry))
                .map_or(0, |(_, version)| *version);
            version == entry.get("ver").num()
        });
        if !is_met {
            let current = conditions.iter().filter_map(|entry| {
                let id = row_key(entry);
                let row = rows.rows.get(&id)?;
                Some(row_json(&id, Some(row), row.1))
            });
            let current = Json::Arr(current.collect());
            let body = obj(vec![
                ("rows", current),
                ("ver", n(rows.version)),
                ("now_ms", n(self.steady_ms())),
            ]);
            return (412, body);
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("puts").arr() {
            let id = row_key(entry);
            let value = entry.get("value").str().to_owned();
            rows.rows.insert(id.clone(), (value, version));
            rows.changes.push((version, id));
        }
        for entry in body.get("remove").arr() {
            let id = row_key(entry);
            rows.rows.remove(&id);
            rows.changes.push((version, id));
        }
        changed.notify_all();
        let body = obj(vec![("ver", n(version)), ("now_ms", n(self.steady_ms()))]);
        (200, body)
    }

    fn read(&self, request: &Request) -> Json {
        let field = |name: &str| request.query(name).unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let to = request.query("to");
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let in_range =
            |id: &RowKey| id.0 == table && id.1 == part && to.as_ref().is_none_or(|to| id.2 < *to);
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (id, row) in rows.rows.range(start..).take_while(|(id, _)| in_range(id)) {
            bytes += row.0.len() + id.2.len() + ROW_OVERHEAD_BYTES;
            has_more = found.len() == limit || (!found.is_empty() && bytes > PAGE_MAX_BYTES);
            if has_more {
                break;
            }
            found.push(row_json(id, Some(row), row.1));
        }
        obj(vec![
            ("rows", Json::Arr(found)),
            ("has_more", Json::Bool(has_more)),
            ("ver", n(rows.version)),
            ("now_ms", n(self.steady_ms())),
        ])
    }

    fn feed(&self, request: &Request) -> Json {
        let number = |name: &str| -> u64 {
            let text = request.query(name).unwrap_or_default();
            text.parse().unwrap_or(0)
        };
        let table = request.query("table").unwrap_or_default();
        let after = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let from = rows
                .changes
                .partition_point(|(version, _)| *version <= after);
            let mut latest: BTreeMap<&RowKey, u64> = BTreeMap::new();
            for (version, id) in &rows.changes[from..] {
                if id.0 == table {
                    latest.insert(id, *version);
                }
            }
            let now = Instant::now();
            if !latest.is_empty() || now >= deadline {
                let mut changed: Vec<_> = latest.into_iter().collect();
                changed.sort_by_key(|(_, version)| *version);
                let changed = changed
                    .into_iter()
                    .map(|(id, version)| row_json(id, rows.rows.get(id), version));
                let changed = Json::Arr(changed.collect());
                return obj(vec![
                    ("rows", changed),
                    ("ver", n(rows.version)),
                    ("now_ms", n(self.steady_ms())),
                ]);
            }
            rows = changed.wait_timeout(rows, deadline - now).unwrap().0;
        }
    }
}

fn row_key(entry: &Json) -> RowKey {
    let field = |name: &str| entry.get(name).str().to_owned();
    (field("table"), field("part"), field("key"))
}

/// Returns which rows a transaction changes.
fn describe(transaction: &Json) -> String {
    let mut text = String::new();
    for (word, name) in [("put", "puts"), ("remove", "remove")] {
        for entry in transaction.get(name).arr() {
            let (table, _, key) = row_key(entry);
            text.push_str(&format!("{word} {table} {key}; "));
        }
    }
    text
}

fn row_json(id: &RowKey, row: Option<&(String, u64)>, version: u64) -> Json {
    let mut fields = vec![
        ("table", s(&id.0)),
        ("part", s(&id.1)),
        ("key", s(&id.2)),
        ("ver", n(version)),
    ];
    match row {
        Some((value, _)) => fields.push(("value", s(value))),
        None => fields.push(("removed", Json::Bool(true))),
    }
    obj(fields)
}

// ---------------------------------------------------------------- model servers

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub server: String,
    pub id: String,
    pub last_event_id: Option<String>,
}

#[derive(Clone)]
pub struct ServerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    pub events: u64,
    pub event_ms: u64,
    pub first_ms: u64,
    /// Size of the data of an event, at least that of its name.
    pub event_bytes: usize,
    /// Version of the weights.
    pub weights: u64,
}

/// A model server, which runs `slots` requests at once and answers with a stream of events.
#[derive(Clone)]
pub struct Server {
    pub options: ServerOptions,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub busy: Arc<Mutex<usize>>,
    born: u64,
}

impl Server {
    pub fn start(listener: TcpListener, options: ServerOptions, record: &Record) -> Self {
        let server = Self {
            options,
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
            busy: Arc::default(),
            born: unix_ms(),
        };
        let handler = server.clone();
        let record = record.clone();
        serve(listener, move |request, stream| {
            handler.handle(request, stream, &record)
        });
        server
    }

    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        let options = &self.options;
        let entry = obj(vec![
            ("service", s(&options.service)),
            ("addr", s(&self.address.to_string())),
            ("zone", s(&options.zone)),
            ("version", s(&options.version)),
            ("slots", n(options.slots as u64)),
            ("state", s(state)),
            ("cold_left_ms", n(0)),
            ("seq", n(seq)),
            ("born", n(self.born)),
        ]);
        store.put("servers", &options.id, &entry);
    }

    /// Registers the server and repeats that every 1,200 ms.
    pub fn beat(&self, store: &Store) {
        let (server, store) = (self.clone(), store.clone());
        server.register(&store, "ready", 1);
        thread::spawn(move || {
            for seq in 2.. {
                sleep_ms(1_200);
                server.register(&store, "ready", seq);
            }
        });
    }

    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        record: &Record,
    ) -> io::Result<bool> {
        let options = &self.options;
        if request.method == "GET" {
            let headers = [("Redwingtack-Instance-Id", options.id.as_str())];
            respond(stream, 200, &headers, b"")?;
            return Ok(true);
        }
        let id = request.header("redwingtack-request-id").unwrap_or("");
        let target = request.header("redwingtack-target-instance");
        if target.is_some_and(|target| target != options.id) {
            let headers = [("Redwingtack-Request-Id", id)];
            respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        let weights = options.weights.to_string();
        let required = request.header("redwingtack-required-version");
        if required.is_some_and(|required| required != weights) {
            record.line(format!(
                "server {} has other weights: 421 for {id}",
                options.id
            ));
            let headers = [("Redwingtack-Request-Id", id)];
            respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        {
            let mut busy = self.busy.lock().unwrap();
            if *busy >= options.slots {
                record.line(format!("server {} is full: 503 for {id}", options.id));
                let headers = [("Redwingtack-Request-Id", id), ("Redwingtack-Not-Run", "1")];
                respond(stream, 503, &headers, b"")?;
                return Ok(true);
            }
            *busy += 1;
        }
        let arrival = Arrival {
            at_ms: now_ms(),
            server: options.id.clone(),
            id: id.to_owned(),
            last_event_id: request.header("last-event-id").map(str::to_owned),
        };
        record.line(format!(
            "server {} runs {id} after event {}",
            options.id,
            arrival.last_event_id.as_deref().unwrap_or("none")
        ));
        self.arrivals.lock().unwrap().push(arrival);
        let result = self.stream_events(request, id, stream);
        *self.busy.lock().unwrap() -= 1;
        let end = if result.is_ok() {
            "ends"
        } else {
            "is broken off"
        };
        record.line(format!("server {}: run of {id} {end}", options.id));
        result.map(|()| true)
    }

    fn stream_events(&self, request: &Request, id: &str, stream: &mut TcpStream) -> io::Result<()> {
        let options = &self.options;
        let first = request.header("last-event-id");
        let first: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0) + 1;
        sleep_ms(options.first_ms);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRedwingtack-Request-Id: {id}\r\n\
             Redwingtack-Server-Stamp: {}.1.1\r\nRedwingtack-Weight-Versions: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            options.id, options.weights
        );
        stream.write_all(head.as_bytes())?;
        for event in first..=options.events {
            if event > first {
                sleep_ms(options.event_ms);
            }
            if is_closed(stream) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let data = event_data(id, event, options.event_bytes);
            let data = format!("id: {event}\ndata: {data}\n\n");
            stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns the data of an event: its name, filled up to `bytes`.
pub fn event_data(id: &str, event: u64, bytes: usize) -> String {
    let name = format!("{id}-{event}");
    format!("{name}{}", ".".repeat(bytes.saturating_sub(name.len())))
}

/// Returns whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

// ---------------------------------------------------------------- the system's processes

/// A machine of the deployment with its process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics_port: u16,
    child: Option<Child>,
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("redwingtack-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a listener on a free port of the loopback address.
pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Loopback address of a machine; each process of the review has addresses of its own.
pub fn machine_ip(machine: usize) -> String {
    let pid = std::process::id();
    format!(
        "127.{}.{}.{}",
        10 + pid % 200,
        1 + pid / 200 % 250,
        10 + machine
    )
}

pub struct Deployment {
    pub zones: Vec<(&'static str, &'static str)>,
    pub bounds: Vec<(&'static str, Json)>,
}

impl Deployment {
    /// The bounds of the small site of the first customer.
    pub fn small() -> Self {
        Self {
            zones: vec![
                ("lima-a", "lima"),
                ("arequipa-a", "arequipa"),
                ("cusco-a", "cusco"),
            ],
            bounds: vec![
                ("seed_lag_s", n(3)),
                ("reuse_after_s", n(2)),
                ("stable_ms", n(4000)),
                ("ack_ms", n(5000)),
                ("drain_ms", n(3000)),
                ("grace_s", n(8)),
                ("loss_slack_ms", n(200)),
                ("config_apply_ms", n(3000)),
                ("downgrade_ms", n(250)),
                ("stretch_ms", n(6000)),
                ("recover_s", n(12)),
                ("pass_ms", n(400)),
                ("retry_after_s", n(0)),
                ("finish_s", n(18)),
                ("status_s", n(120)),
                ("cancel_ms", n(3000)),
                ("settle_ms", n(1000)),
            ],
        }
    }

    /// The bounds of the site with tenants and a limit on the tokens that wait.
    pub fn with_tenants() -> Self {
        let mut deployment = Self::small();
        deployment.zones = vec![("rs-a", "sul-rs"), ("sc-a", "sul-sc"), ("pr-a", "sul-pr")];
        let others = vec![
            ("stable_ms", n(5000)),
            ("ack_ms", n(8000)),
            ("drain_ms", n(4000)),
            ("config_apply_ms", n(4000)),
            ("stretch_ms", n(8000)),
            ("strict_revoke", Json::Bool(true)),
            ("revoke_ms", n(5000)),
            ("quota_window_s", n(5)),
            ("quota_slack", n(20)),
            ("recover_s", n(15)),
        ];
        let is_other = |name: &str| others.iter().any(|(other, _)| *other == name);
        deployment.bounds.retain(|(name, _)| !is_other(name));
        deployment.bounds.extend(others.clone());
        deployment
    }

    /// Writes the settings of a machine, whose store address is open, and returns it.
    pub fn machine(&self, folder: &Folder, store: &Store, machine: usize) -> Machine {
        let ip = machine_ip(machine);
        let (zone, region) = self.zones[machine % self.zones.len()];
        let listener = free_listener();
        let store_address = listener.local_addr().unwrap();
        store.listen(listener, machine);
        let name = format!("front-{zone}-{machine}");
        let zones = self.zones.iter().map(|(zone, region)| (*zone, s(region)));
        let settings = obj(vec![
            ("node_name", s(&name)),
            ("role", s("node")),
            ("machine_class", s("front")),
            ("serves", Json::Arr(vec![s("front")])),
            ("ip", s(&ip)),
            ("zone", s(zone)),
            ("region", s(region)),
            ("zones", obj(zones.collect())),
            (
                "listen",
                obj(vec![
                    ("front", s(&format!("{ip}:8161"))),
                    ("ready_addr", s(&format!("{ip}:8167"))),
                ]),
            ),
            ("port_range", Json::Arr(vec![n(7720), n(7735)])),
            ("seeds", Json::Arr(Vec::new())),
            ("bootstrap", Json::Bool(true)),
            ("tolerated", Json::Bool(false)),
            (
                "limits",
                obj(vec![
                    ("cpu_share", Json::Num(0.5)),
                    ("cores", n(1)),
                    ("memory_mb", n(290)),
                    ("max_fds", n(8200)),
                    ("link_mbps", n(1000)),
                    ("disk_mb", n(0)),
                ]),
            ),
            ("data_dir", Json::Null),
            ("discovery", s("platform")),
            ("entry", s("vip")),
            ("beat_interval_ms", n(1200)),
            ("bounds", obj(self.bounds.clone())),
            (
                "platform",
                obj(vec![
                    ("addr", s(&store_address.to_string())),
                    ("form", s("table")),
                    ("writes_per_s", n(800)),
                    ("reads_per_s", n(2000)),
                    ("tx_ms", Json::Num(5.0)),
                    ("part_writes_per_s", n(200)),
                    ("row_bytes", n(65536)),
                    ("across", Json::Bool(false)),
                    ("history_s", n(20)),
                    ("blob_bytes", n(8_388_608)),
                ]),
            ),
        ]);
        let path = folder.0.join(format!("{name}.json"));
        fs::write(&path, settings.text()).expect("a settings file");
        Machine {
            front: format!("{ip}:8161").parse().unwrap(),
            ready: format!("{ip}:8167").parse().unwrap(),
            log: folder.0.join(format!("{name}.log")),
            settings: path,
            metrics_port: 9464,
            name,
            child: None,
        }
    }
}

impl Machine {
    /// Starts the process as the deploy file says.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/redwingtack-node")
            .args(["--metrics-port", &self.metrics_port.to_string()])
            .env("REDWINGTACK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let headers = [("Host", "ready"), ("Connection", "close")];
        call(self.ready, "GET", "/ready", &headers, b"", timeout)
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the memory that the process takes up, in MB.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_000
    }

    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains(word));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until all machines are ready. Returns false if they are not within 20 s.
pub fn wait_until_ready(machines: &[Machine], record: &Record) -> bool {
    for _ in 0..200 {
        if machines.iter().all(Machine::is_ready) {
            record.line("all machines are ready");
            return true;
        }
        sleep_ms(100);
    }
    record.line("the machines did not become ready");
    false
}

// ---------------------------------------------------------------- the operator and jobs

pub const HOST: &str = "nony24.example";

/// A configuration with one batch route and one route for streams.
pub fn config(version: u64, due_ms: u64) -> Json {
    obj(vec![
        ("version", n(version)),
        (
            "routes",
            Json::Arr(vec![
                obj(vec![
                    ("name", s("narracion-lote")),
                    ("host", s(HOST)),
                    ("path_prefix", s("/pule252/")),
                    ("kind", s("batch")),
                    ("service", s("oraculo")),
                    ("goal_ms", n(500)),
                    ("due_ms", n(due_ms)),
                    ("gap_aim_ms", n(300)),
                    ("max_attempts", n(3)),
                    ("max_wait_s", n(60)),
                    ("timeout_ms", n(15_000)),
                    ("priority", n(2)),
                    ("sticky", Json::Bool(true)),
                ]),
                obj(vec![
                    ("name", s("pista-larga")),
                    ("host", s(HOST)),
                    ("path_prefix", s("/gono990/")),
                    ("kind", s("stream")),
                    ("resumable", Json::Bool(true)),
                    ("service", s("oraculo")),
                    ("goal_ms", n(300)),
                    ("gap_aim_ms", n(300)),
                    ("max_attempts", n(2)),
                    ("timeout_ms", n(5_000)),
                    ("priority", n(0)),
                    ("sticky", Json::Bool(true)),
                ]),
            ]),
        ),
        (
            "services",
            Json::Arr(vec![obj(vec![("name", s("oraculo"))])]),
        ),
        (
            "limits",
            obj(vec![
                ("max_header_bytes", n(16_384)),
                ("max_body_bytes", n(4_194_304)),
                ("header_timeout_ms", n(3_000)),
                ("idle_timeout_ms", n(15_000)),
            ]),
        ),
    ])
}

/// Key of the tenant of [`config_with_tenant`].
pub const KEY: &str = "key-of-the-insurer";

/// Like [`config`], with one tenant of whose tokens at most `max_count` may wait.
pub fn config_with_tenant(version: u64, due_ms: u64, max_count: u64) -> Json {
    let mut config = config(version, due_ms);
    let Json::Obj(fields) = &mut config else {
        return config;
    };
    for (name, value) in fields.iter_mut() {
        if let ("routes", Json::Arr(routes)) = (name.as_str(), value)
            && let Some(Json::Obj(route)) = routes.first_mut()
        {
            route.push(("max_count".to_owned(), n(max_count)));
        }
    }
    let tenant = obj(vec![
        ("name", s("insurer")),
        ("api_keys", Json::Arr(vec![s(KEY)])),
    ]);
    fields.push(("tenants".to_owned(), Json::Arr(vec![tenant])));
    config
}

pub fn hex_id(prefix: &str, index: usize) -> String {
    format!("{prefix}{:04x}{:08x}", index, std::process::id())
}

/// Returns the ids of the items of a job and its body.
pub fn job_body(job: &str, count: usize, events: u64) -> (Vec<String>, Vec<u8>) {
    job_body_of(job, count, events, b"an item of a job")
}

/// Like [`job_body`], with the body of the items.
pub fn job_body_of(
    job: &str,
    count: usize,
    events: u64,
    item_body: &[u8],
) -> (Vec<String>, Vec<u8>) {
    let ids: Vec<_> = (0..count)
        .map(|index| format!("{job}{index:03x}"))
        .collect();
    let items = ids.iter().enumerate().map(|(index, id)| {
        obj(vec![
            ("id", s(id)),
            ("path", s(&format!("/pule252/{index}/91c4"))),
            (
                "headers",
                obj(vec![
                    ("Redwingtack-Model", s("m")),
                    (
                        "Redwingtack-Token-Counts",
                        s(&format!("350,{}", events * 6)),
                    ),
                    (
                        "Redwingtack-Prompt-Prefix",
                        s(&format!("9c2e41:100,{:x}:250", 0x50_0000 + index)),
                    ),
                ]),
            ),
            ("body", s(&base64(item_body))),
            ("tokens", n(350 + events * 6)),
        ])
    });
    let body = obj(vec![("items", Json::Arr(items.collect()))]);
    (ids, body.text().into_bytes())
}

pub fn job_headers<'a>(job: &'a str, deadline_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("Host", HOST),
        ("Redwingtack-Request-Id", job),
        ("Redwingtack-Deadline-Ms", deadline_ms),
        ("Content-Type", "application/json"),
        ("X-Api-Key", KEY),
    ]
}

/// Submits a job and returns the status, or 0 if there was no answer.
pub fn submit(machine: &Machine, job: &str, body: &[u8], record: &Record) -> u16 {
    record.line(format!("client submits job {job} to {}", machine.name));
    let path = format!("/pule252/{}", &job[..6]);
    let headers = job_headers(job, "4000");
    let timeout = Duration::from_millis(5_500);
    let answer = call(machine.front, "POST", &path, &headers, body, timeout);
    let status = answer.map_or(0, |answer| answer.status);
    record.line(format!("{} answers {status} for job {job}", machine.name));
    status
}

/// Ends a job and returns the status, or 0 if there was no answer.
pub fn end_job(machine: &Machine, job: &str, record: &Record) -> u16 {
    record.line(format!("client ends job {job} at {}", machine.name));
    let headers = [("Host", HOST), ("X-Api-Key", KEY)];
    let path = format!("/lots/{job}");
    let timeout = Duration::from_secs(5);
    let answer = call(machine.front, "DELETE", &path, &headers, b"", timeout);
    let status = answer.map_or(0, |answer| answer.status);
    record.line(format!(
        "{} answers {status} to the end of {job}",
        machine.name
    ));
    status
}

/// Reads all results of a job at a machine: the last status, and the items that are listed.
pub fn read_results(machine: &Machine, job: &str) -> (u16, Vec<(String, String)>) {
    let headers = [("Host", HOST), ("X-Api-Key", KEY)];
    let mut listed = Vec::new();
    loop {
        let path = format!("/lots/{job}?after={}", listed.len());
        let timeout = Duration::from_secs(5);
        let Ok(answer) = call(machine.front, "GET", &path, &headers, b"", timeout) else {
            return (0, listed);
        };
        let page = answer.json();
        let results = page.get("results").arr();
        if answer.status != 200 || results.is_empty() {
            return (answer.status, listed);
        }
        let results = results.iter().map(|result| {
            let field = |name: &str| result.get(name).str().to_owned();
            (field("id"), field("state"))
        });
        listed.extend(results);
    }
}

/// Asks a machine for the body of an item. Returns the status and the body.
pub fn read_item(machine: &Machine, job: &str, item: &str) -> (u16, Vec<u8>) {
    let headers = [("Host", HOST), ("X-Api-Key", KEY)];
    let path = format!("/items/{job}?id={item}");
    let timeout = Duration::from_secs(5);
    let answer = call(machine.front, "GET", &path, &headers, b"", timeout);
    answer.map_or((0, Vec::new()), |answer| (answer.status, answer.body))
}
