//! How far the last request on a connection has been sent.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    task::Poll,
};

/// How far the last request on a connection has been sent.
#[derive(Debug, Default)]
pub struct RequestProgress {
    state: Mutex<RequestState>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Requests are not observed: no part of them can be missing at the end of an answer.
    #[default]
    Unobserved,
    /// No part of the next request has been written.
    Queued,
    /// The socket has taken a part of it.
    PartlyWritten,
    /// The socket has taken it all, and may still hold a part.
    Written,
    /// The connection has failed. The socket tells its error only once.
    Failed,
}

impl RequestProgress {
    /// Creates the progress of a connection all of whose requests are observed.
    #[must_use]
    pub fn observed() -> Self {
        Self {
            state: Mutex::new(RequestState::Queued),
        }
    }

    /// Begins with a request that is sent next, which is observed if it has a body.
    pub fn begin(&self, has_body: bool) {
        *self.lock() = if has_body {
            RequestState::Queued
        } else {
            RequestState::Unobserved
        };
    }

    /// Ends the observation at the end of an answer.
    pub fn end(&self) {
        self.begin(false);
    }

    pub(crate) fn state(&self) -> RequestState {
        *self.lock()
    }

    pub(crate) fn record_failure(&self) {
        *self.lock() = RequestState::Failed;
    }

    pub(crate) fn record_write(&self, write: &Poll<io::Result<usize>>) {
        let mut state = self.lock();
        if *state != RequestState::Unobserved {
            *state = match write {
                Poll::Ready(Err(_)) => RequestState::Failed,
                Poll::Ready(Ok(_)) | Poll::Pending => RequestState::PartlyWritten,
            };
        }
    }

    /// Records that the HTTP library has nothing left to write.
    pub(crate) fn record_flush(&self) {
        let mut state = self.lock();
        if *state == RequestState::PartlyWritten {
            *state = RequestState::Written;
        }
    }

    fn lock(&self) -> MutexGuard<'_, RequestState> {
        // The state is replaced as a whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
