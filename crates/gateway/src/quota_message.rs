//! Messages about quotas that instances send each other, and what an instance is to do with
//! them.

use std::net::SocketAddr;

use model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::token_issuer::SettledTokens;

/// Message about the quota of one customer. Counts only grow, so that lost, late and repeated
/// messages add nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks a delegate whether one request may be sent.
    Ask {
        /// Hash of the customer's name.
        customer: u64,
        /// Number of the question at its sender.
        ask: u64,
    },
    /// Answers a question.
    Verdict {
        /// Number of the question.
        ask: u64,
        /// The answer.
        verdict: QuotaVerdict,
    },
    /// A delegate asks the issuer for tokens.
    Demand {
        /// Hash of the customer's name.
        customer: u64,
        /// Random id of the process that asks.
        holder: u64,
        /// Tokens that the process has used or let expire.
        settled: SettledTokens,
        /// Number of tokens that it knows to have been granted to it.
        granted: u64,
        /// Number of tokens that it wants to have in hand.
        wanted: u64,
    },
    /// Answers a demand, or brings tokens later.
    Grant {
        /// Hash of the customer's name.
        customer: u64,
        /// Random id of the process that asked.
        holder: u64,
        /// Number of tokens granted to it so far.
        granted: u64,
        /// Time for which no token is expected, milliseconds.
        exhausted_ms: u64,
    },
}

/// Whether a request of a customer may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// It may be sent.
    Granted(QuotaSource),
    /// The quota is used up.
    Refused {
        /// Time after which a token is expected, milliseconds.
        retry_after_ms: u64,
        /// Time since the issuer said so, milliseconds; `None` if it does not answer.
        age_ms: Option<u64>,
    },
}

/// What a request is counted against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaSource {
    /// The customer has no quota.
    Unlimited,
    /// A token that the issuer granted.
    Token,
    /// The reserve of the delegate, which the issuer is told of.
    Reserve,
}

impl QuotaSource {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Token => "token",
            Self::Reserve => "reserve",
        }
    }
}

/// Where a message goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaPeer {
    /// To the sender of an earlier message.
    Address(SocketAddr),
    /// To an instance of the fleet.
    Instance(InstanceId),
}

/// What an instance is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaAction {
    /// Send a message to another instance.
    Send {
        /// The receiver.
        to: QuotaPeer,
        /// The message.
        message: QuotaMessage,
    },
    /// Tell a request of this instance whether it may be sent.
    Decide {
        /// Number of its question.
        ask: u64,
        /// The answer.
        verdict: QuotaVerdict,
    },
}
