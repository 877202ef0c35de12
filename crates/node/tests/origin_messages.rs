//! The datagrams by which instances tell each other where streams began. During an upgrade,
//! instances of the program's last version and of this one run side by side.

mod support;

use std::{net::SocketAddr, time::Duration};

use bincode::{
    config,
    serde::{decode_from_slice, encode_to_vec},
};
use serde::{Deserialize, Serialize};
use support::TestCluster;
use tokio::{net::UdpSocket, time::timeout};

/// Time in which a datagram is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const ATTEMPT: u64 = 7_777;
const VERSION: u64 = 4_242;
const SERVICE: &str = "oracle";

/// Contents of a datagram as the last version of the program (c9c74f9) sends and reads them.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FormerMessage {
    Records(Vec<(u64, u64)>),
    Query(u64),
    Answer { attempt: u64, version: Option<u64> },
    HistoryQuery,
    History { since_ms: u64, until_version: u64 },
    Contradicted(u64),
}

/// The variants that this version adds.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum AddedMessage {
    Former0,
    Former1,
    Former2,
    Former3,
    Former4,
    Former5,
    ConfirmationQuery {
        service: String,
        id: u64,
    },
    Confirmation {
        id: u64,
        outcome: Outcome,
    },
    /// Of a version that does not exist yet.
    Later(u64),
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Outcome {
    Unconfirmed,
    Only(u64),
    Several { for_ms: u64 },
}

/// A peer of another version of the program.
struct Peer {
    socket: UdpSocket,
}

impl Peer {
    async fn new(address: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.connect(address).await.unwrap();
        Self { socket }
    }

    async fn send(&self, message: impl Serialize) {
        let datagram = encode_to_vec(message, config::standard()).unwrap();
        self.socket.send(&datagram).await.unwrap();
    }

    async fn receive<T: for<'de> Deserialize<'de>>(&self) -> T {
        let mut buffer = [0; 512];
        let received = timeout(ANSWER_TIMEOUT, self.socket.recv(&mut buffer)).await;
        let length = received.expect("no answer").unwrap();
        let decoded = decode_from_slice(&buffer[..length], config::standard());
        decoded.unwrap().0
    }

    async fn ask_for_record(&self) -> FormerMessage {
        self.send(FormerMessage::Query(ATTEMPT)).await;
        self.receive().await
    }
}

/// Guards against instances that do not understand each other during an upgrade.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_the_last_version() {
    let cluster = TestCluster::start(&[4], 1).await;
    let peer = Peer::new(cluster.nodes[0].exchange_address()).await;
    let unknown = FormerMessage::Answer {
        attempt: ATTEMPT,
        version: None,
    };
    assert_eq!(peer.ask_for_record().await, unknown);
    let records = FormerMessage::Records(vec![(ATTEMPT, VERSION)]);
    peer.send(records).await;
    let known = FormerMessage::Answer {
        attempt: ATTEMPT,
        version: Some(VERSION),
    };
    assert_eq!(peer.ask_for_record().await, known);
    peer.send(FormerMessage::Contradicted(ATTEMPT)).await;
    let contradicted = FormerMessage::Contradicted(ATTEMPT);
    assert_eq!(peer.ask_for_record().await, contradicted);
}

/// Guards against a peer that is misled by an answer to another question.
#[tokio::test(flavor = "multi_thread")]
async fn confirmation_query_is_answered_with_its_id() {
    let cluster = TestCluster::start(&[4], 1).await;
    let peer = Peer::new(cluster.nodes[0].exchange_address()).await;
    for (service, id) in [(SERVICE, 11), (SERVICE, 12), ("no-such-service", 13)] {
        let query = AddedMessage::ConfirmationQuery {
            service: service.to_owned(),
            id,
        };
        peer.send(query).await;
        let answer = peer.receive().await;
        let AddedMessage::Confirmation {
            id: answered,
            outcome,
        } = answer
        else {
            panic!("{answer:?}");
        };
        assert_eq!(answered, id);
        let is_confirmed = matches!(outcome, Outcome::Only(_));
        assert_eq!(is_confirmed, service == SERVICE, "{outcome:?}");
    }
}

/// Guards against a message of a later version that does harm.
#[tokio::test(flavor = "multi_thread")]
async fn messages_that_cannot_be_read_are_passed_over() {
    let cluster = TestCluster::start(&[4], 1).await;
    let peer = Peer::new(cluster.nodes[0].exchange_address()).await;
    peer.send(AddedMessage::Later(1)).await;
    peer.send(AddedMessage::Confirmation {
        id: 5,
        outcome: Outcome::Only(VERSION),
    })
    .await;
    for datagram in [&[][..], &[0, 255, 255, 255], &[255; 400], &[2, 251, 1]] {
        peer.socket.send(datagram).await.unwrap();
    }
    let unknown = FormerMessage::Answer {
        attempt: ATTEMPT,
        version: None,
    };
    assert_eq!(peer.ask_for_record().await, unknown);
    assert!(cluster.nodes[0].is_ready().await);
}
