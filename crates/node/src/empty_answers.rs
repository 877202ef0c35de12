//! Successful answers that are empty and end with their connection.
//!
//! Such an answer has neither a length nor chunks. A sound upstream may send it, and so does one
//! that dies after the head of its answer. It is believed once a second upstream says the same.
//! Event streams are left to the relay, which can go on with them elsewhere.

use gateway::AttemptEnd;
use tokio::time::timeout_at;

use crate::{
    attempt::{AttemptFailure, UpstreamAnswer},
    forward::OnlineRequest,
};

impl OnlineRequest {
    /// Waits for the body of a successful answer that ends with its connection. Returns all
    /// other answers at once.
    ///
    /// # Errors
    ///
    /// Returns a failure if the answer is empty and this is the first upstream to say so, if it
    /// breaks off before its body, or if the deadline passes.
    pub(crate) async fn check_body(
        &mut self,
        mut answer: UpstreamAnswer,
    ) -> Result<UpstreamAnswer, AttemptFailure> {
        let is_believed = !answer.is_undelimited
            || !answer.head.status.is_success()
            || self.is_event_stream(&answer);
        if is_believed {
            return Ok(answer);
        }
        let deadline = self.node.clock.instant(self.deadline_ms);
        let failure = match timeout_at(deadline, answer.body.peek()).await {
            Ok(Some(Ok(_))) => return Ok(answer),
            Ok(None) if self.is_empty_stated => return Ok(answer),
            Ok(None) => {
                self.is_empty_stated = true;
                let reason = "the answer is empty and ends with its connection";
                AttemptFailure::new(AttemptEnd::Broken, reason)
            }
            Ok(Some(Err(error))) => AttemptFailure::new(AttemptEnd::Broken, error),
            Err(_) => {
                let reason = "no body before the deadline";
                return Err(AttemptFailure::new(AttemptEnd::Silent, reason));
            }
        };
        answer.record_lost_answer();
        Err(failure)
    }
}
