//! Exchanges with peers what is known of the software versions at which streams began, as UDP
//! datagrams, one port above that of the load notices. What follows from it is decided in
//! [`crate::stream_versions`].

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use gateway::{AttemptHash, ObservedVersions, OriginRecord, VersionHash};
use model::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    codec, datagrams,
    node::Node,
    record_holders::{self, Peers},
    stream_versions::{self, OriginUnknown},
    version_lists,
};

/// Time in which the holders of a record must answer.
const HOLDERS_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which peers must answer that read the registrations before: a call to the store
/// and a round trip between regions.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which records are expired, and the history of peers is asked for while the
/// own one is too short.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a datagram, bytes.
const DATAGRAM_MAX_BYTES: usize = 4 * 1024;

/// Contents of a datagram. Earlier versions of the program know only the first variants, and
/// pass over a datagram with another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Streams that began at the sender, which the receiver shall remember.
    Records(Vec<OriginRecord>),
    /// Asks for the record of an attempt.
    Query(AttemptHash),
    /// Answers a query.
    Answer {
        attempt: AttemptHash,
        version: Option<VersionHash>,
    },
    /// Asks for what the receiver has observed of registrations.
    HistoryQuery,
    /// Answers a history query.
    History(ObservedVersions),
    /// Answers a query: there are records of different versions.
    Contradicted(AttemptHash),
    /// Asks whether all streams of a service began at one version, by the registrations that
    /// the store has now.
    ConfirmationQuery { service: ServiceName, id: u64 },
    /// Answers a confirmation query with the same id.
    Confirmation { id: u64, outcome: Confirmation },
}

/// What an instance says of the versions of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Confirmation {
    /// It does not reach the store, so it knows nothing for certain.
    Unconfirmed,
    /// All streams that may still be taken up began at this version.
    Only(VersionHash),
    /// They may have begun at several versions, and will for this time, milliseconds.
    Several { for_ms: u64 },
}

/// What the holders of a record know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldersAnswer {
    Version(VersionHash),
    /// Requests of the same content began at several versions.
    Contradicted,
    /// At least one holder answered, and none has the record.
    NoRecord,
    /// No holder answered.
    Silent,
}

/// The socket of the exchange and the questions in progress.
#[derive(Debug, Default)]
pub(crate) struct OriginExchange {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    questions: RefCell<Vec<Rc<PendingQuestion>>>,
}

/// What peers are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    /// The record of an attempt.
    Record(AttemptHash),
    /// A confirmation, with the id of the question: an answer to an earlier one says nothing
    /// of now.
    Confirmation(u64),
}

/// A question whose answers are awaited.
#[derive(Debug)]
struct PendingQuestion {
    subject: Subject,
    missing_answers: Cell<usize>,
    /// Whether a single answer does not decide.
    needs_all: bool,
    /// The confirmation that decided.
    confirmation: Cell<Confirmation>,
    is_decided: Notify,
}

/// Guard of a question, whose answers are ignored after the guard is dropped.
#[derive(Debug)]
struct QuestionGuard<'a> {
    exchange: &'a OriginExchange,
    question: Rc<PendingQuestion>,
}

impl<'a> QuestionGuard<'a> {
    fn new(
        exchange: &'a OriginExchange,
        subject: Subject,
        peer_count: usize,
        needs_all: bool,
    ) -> Self {
        let question = Rc::new(PendingQuestion {
            subject,
            missing_answers: Cell::new(peer_count),
            needs_all,
            confirmation: Cell::new(Confirmation::Unconfirmed),
            is_decided: Notify::new(),
        });
        exchange.questions.borrow_mut().push(Rc::clone(&question));
        Self { exchange, question }
    }

    /// Waits until the question is decided. After the time-out, what has been answered counts.
    async fn wait(&self, time_limit: Duration) {
        if self.question.missing_answers.get() > 0 {
            let _ = timeout(time_limit, self.question.is_decided.notified()).await;
        }
    }
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        let mut questions = self.exchange.questions.borrow_mut();
        questions.retain(|pending| !Rc::ptr_eq(pending, &self.question));
    }
}

/// Opens the socket and starts the exchange.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(node: &Rc<Node>) -> io::Result<()> {
    let address = record_holders::exchange_address(node.settings().peer_listen);
    let socket = Rc::new(UdpSocket::bind(address).await?);
    node.origin_exchange
        .socket
        .replace(Some(Rc::clone(&socket)));
    spawn_local(receive_messages(Rc::clone(node), socket));
    spawn_local(keep_up(Rc::clone(node)));
    Ok(())
}

/// Asks the holders of a stream's record for the version. Requests of the same content may
/// contradict each other; then all holders must answer (`needs_all`).
pub(crate) async fn ask_holders(
    node: &Node,
    attempt: AttemptHash,
    needs_all: bool,
) -> HoldersAnswer {
    let holders = Peers::new(node).holders_to_ask(attempt);
    let subject = Subject::Record(attempt);
    let guard = QuestionGuard::new(&node.origin_exchange, subject, holders.len(), needs_all);
    for address in &holders {
        send(node, *address, &Message::Query(attempt));
    }
    guard.wait(HOLDERS_TIMEOUT).await;
    let now_ms = node.store_now_ms();
    let origins = node.stream_origins.borrow();
    if let Some(version) = origins.version_of(attempt, now_ms) {
        HoldersAnswer::Version(version)
    } else if origins.is_contradicted(attempt, now_ms) {
        HoldersAnswer::Contradicted
    } else if guard.question.missing_answers.get() < holders.len() {
        HoldersAnswer::NoRecord
    } else {
        HoldersAnswer::Silent
    }
}

/// Asks peers whether all streams of a service began at one version. Those that reach the
/// store read the registrations before they answer.
pub(crate) async fn ask_for_confirmation(node: &Node, service: &ServiceName) -> Confirmation {
    let peers = Peers::new(node).addresses_in_touch(node);
    let id = rand::random();
    let subject = Subject::Confirmation(id);
    let guard = QuestionGuard::new(&node.origin_exchange, subject, peers.len(), false);
    let query = Message::ConfirmationQuery {
        service: service.clone(),
        id,
    };
    for address in peers {
        send(node, address, &query);
    }
    guard.wait(CONFIRMATION_TIMEOUT).await;
    guard.question.confirmation.get()
}

/// Sends a message. A message that cannot be sent is lost.
pub(crate) fn send(node: &Node, address: SocketAddr, message: &Message) {
    let socket = node.origin_exchange.socket.borrow();
    let Some(socket) = socket.as_ref() else {
        return;
    };
    // Encoding into memory cannot fail.
    let datagram = codec::encode(message).unwrap_or_default();
    if let Err(error) = socket.try_send_to(&datagram, address) {
        log::debug!(
            "event=origin_send_failed peer={address} error={}",
            process::quote(&error)
        );
    }
}

async fn receive_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, sender) = datagrams::receive(&socket, &mut buffer).await;
        match codec::decode_message(&buffer[..length]) {
            Ok((message, _)) => receive(&node, sender, message),
            Err(error) => log::warn!("event=origin_unreadable error={}", process::quote(&error)),
        }
    }
}

fn receive(node: &Rc<Node>, sender: SocketAddr, message: Message) {
    let now_ms = node.store_now_ms();
    match message {
        Message::Records(records) => {
            let mut origins = node.stream_origins.borrow_mut();
            for record in records {
                origins.receive(record, now_ms);
            }
        }
        Message::Query(attempt) => send(node, sender, &answer_query(node, attempt)),
        Message::Answer { attempt, version } => {
            if let Some(version) = version {
                let record = OriginRecord { attempt, version };
                node.stream_origins.borrow_mut().receive(record, now_ms);
            }
            count_answer(node, Subject::Record(attempt), version.is_some());
        }
        Message::Contradicted(attempt) => {
            let mut origins = node.stream_origins.borrow_mut();
            origins.receive_contradiction(attempt, now_ms);
            drop(origins);
            count_answer(node, Subject::Record(attempt), true);
        }
        Message::HistoryQuery => {
            if let Some(observed) = node.version_history.borrow().observed() {
                send(node, sender, &Message::History(observed));
            }
        }
        Message::History(observed) => node.version_history.borrow_mut().receive(&observed),
        Message::ConfirmationQuery { service, id } => {
            spawn_local(answer_confirmation_query(
                Rc::clone(node),
                sender,
                service,
                id,
            ));
        }
        Message::Confirmation { id, outcome } => receive_confirmation(node, id, outcome),
    }
}

fn answer_query(node: &Node, attempt: AttemptHash) -> Message {
    let now_ms = node.store_now_ms();
    let origins = node.stream_origins.borrow();
    if origins.is_contradicted(attempt, now_ms) {
        return Message::Contradicted(attempt);
    }
    let version = origins.version_of(attempt, now_ms);
    Message::Answer { attempt, version }
}

async fn answer_confirmation_query(
    node: Rc<Node>,
    sender: SocketAddr,
    service: ServiceName,
    id: u64,
) {
    let outcome = match stream_versions::confirmed_only_version(&node, &service).await {
        Ok(version) => Confirmation::Only(version),
        Err(OriginUnknown::ForMs(for_ms)) => Confirmation::Several { for_ms },
        Err(OriginUnknown::Now) => Confirmation::Unconfirmed,
    };
    send(&node, sender, &Message::Confirmation { id, outcome });
}

fn receive_confirmation(node: &Node, id: u64, outcome: Confirmation) {
    let subject = Subject::Confirmation(id);
    let is_confirmed = outcome != Confirmation::Unconfirmed;
    if is_confirmed {
        let questions = node.origin_exchange.questions.borrow();
        for question in questions.iter().filter(|asked| asked.subject == subject) {
            question.confirmation.set(outcome);
        }
    }
    count_answer(node, subject, is_confirmed);
}

fn count_answer(node: &Node, subject: Subject, is_known: bool) {
    let questions = node.origin_exchange.questions.borrow();
    for question in questions.iter().filter(|asked| asked.subject == subject) {
        let missing_answers = question.missing_answers.get().saturating_sub(1);
        question.missing_answers.set(missing_answers);
        if missing_answers == 0 || is_known && !question.needs_all {
            question.is_decided.notify_one();
        }
    }
}

async fn keep_up(node: Rc<Node>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        let now_ms = node.store_now_ms();
        node.stream_origins.borrow_mut().expire(now_ms);
        node.version_history.borrow_mut().expire(now_ms);
        stream_versions::send_records(&node);
        version_lists::remove_unused(&node).await;
        if !node.version_history.borrow().is_complete(now_ms) {
            for address in Peers::new(&node).sample_for_history() {
                send(&node, address, &Message::HistoryQuery);
            }
        }
    }
}
