//! The requests of a connection that still wait for their complete responses.

use crate::runtime::{Daemon, lock};
use compact_str::CompactString;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Why a connection ended before a request had its complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutReason {
    /// The caller closed its side.
    CallerClosed,
    /// Reading from the connection failed.
    ReadFailed,
    /// No request arrived in time.
    IdleTimeout,
    /// Writing to the connection failed.
    WriteFailed,
    /// The caller read nothing of its response in time.
    NotRead,
    /// The response broke off after its beginning was sent.
    ResponseBroken,
    /// The request's task ended without a response.
    TaskEnded,
    /// An earlier response closed the connection.
    EarlierClosed,
}

impl CutReason {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller-closed",
            Self::ReadFailed => "read-failed",
            Self::IdleTimeout => "idle-timeout",
            Self::WriteFailed => "write-failed",
            Self::NotRead => "not-read",
            Self::ResponseBroken => "response-broken",
            Self::TaskEnded => "task-ended",
            Self::EarlierClosed => "earlier-closed",
        }
    }
}

/// The callers' ids of the attempts that were read and have no complete response yet,
/// in the order of the requests, and whether the connection takes no more.
#[derive(Debug, Default)]
pub(super) struct Unanswered {
    attempt_ids: Mutex<VecDeque<CompactString>>,
    all_answered: Notify,
    writes_last_response: AtomicBool,
}

impl Unanswered {
    /// Adds a request whose head was read.
    pub(super) fn push(&self, attempt_id: CompactString) {
        lock(&self.attempt_ids).push_back(attempt_id);
    }

    /// Removes the earliest request, whose response was written.
    pub(super) fn pop(&self) {
        let mut attempt_ids = lock(&self.attempt_ids);
        attempt_ids.pop_front();
        if attempt_ids.is_empty() {
            self.all_answered.notify_one();
        }
    }

    /// Waits until every request has its response. May also return once without need,
    /// if they had theirs before.
    pub(super) async fn answered(&self) {
        self.all_answered.notified().await;
    }

    /// Records that the connection closes after the response that is written now.
    pub(super) fn begin_last_response(&self) {
        self.writes_last_response.store(true, Ordering::Release);
    }

    /// Returns whether the connection closes after the response that is written now.
    pub(super) fn writes_last_response(&self) -> bool {
        self.writes_last_response.load(Ordering::Acquire)
    }

    /// Returns how many requests wait for their responses.
    pub(super) fn len(&self) -> usize {
        lock(&self.attempt_ids).len()
    }

    /// Returns whether every request has its response.
    pub(super) fn is_empty(&self) -> bool {
        lock(&self.attempt_ids).is_empty()
    }

    /// Logs and counts the requests that the end of the connection leaves unanswered.
    pub(super) fn record_cut(&self, daemon: &Arc<Daemon>, reason: CutReason) {
        for attempt_id in lock(&self.attempt_ids).drain(..) {
            let reason = reason.name();
            log::info!("event=request_cut attempt_id={attempt_id} reason={reason}");
            daemon.metrics.record_cut(reason);
        }
    }
}
