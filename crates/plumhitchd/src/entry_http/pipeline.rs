//! Order in which the requests of one connection are dispatched.
//!
//! The requests of a connection run side by side. A response that is passed on before it is
//! complete may break off, which closes the connection: requests behind it would have run
//! without an answer. So none is dispatched while such a response is ahead of it. Which
//! responses are too long to be buffered is known from earlier ones of their class.

use crate::runtime::lock;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::future::pending;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time for which a class is known for responses that are not buffered.
const LONG_RESPONSE_MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of classes that are known for them.
const MAX_CLASSES: usize = 1_024;

/// The requests of a connection whose responses are not complete, in order, and whether each
/// may still close the connection.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    unfinished: Arc<watch::Sender<BTreeMap<u64, bool>>>,
    next: AtomicU64,
}

/// The place of a request among those of its connection. If it is dropped before
/// [`Place::finish`], the connection closes, and the requests behind it are not dispatched.
#[derive(Debug)]
pub(super) struct Place {
    unfinished: Arc<watch::Sender<BTreeMap<u64, bool>>>,
    number: u64,
}

impl Pipeline {
    /// Adds the next request, which may close the connection as long as nothing else is known.
    pub(super) fn push(&self) -> Place {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.unfinished.send_modify(|unfinished| {
            unfinished.insert(number, true);
        });
        Place {
            unfinished: self.unfinished.clone(),
            number,
        }
    }
}

impl Place {
    /// Waits until no request ahead may close the connection.
    pub(super) async fn wait(&self) {
        let mut unfinished = self.unfinished.subscribe();
        let is_clear = |unfinished: &BTreeMap<u64, bool>| {
            let mut ahead = unfinished.range(..self.number);
            ahead.all(|(_, may_close)| !may_close)
        };
        if unfinished.wait_for(is_clear).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Records whether the request may close the connection.
    pub(super) fn set_may_close(&self, may_close: bool) {
        self.unfinished.send_modify(|unfinished| {
            unfinished.insert(self.number, may_close);
        });
    }

    /// Records that the response of the request is complete.
    pub(super) fn finish(&self) {
        self.unfinished.send_modify(|unfinished| {
            unfinished.remove(&self.number);
        });
    }
}

/// The classes whose responses were too long to be buffered, and when that was seen last.
#[derive(Debug, Default)]
pub(crate) struct LongResponses {
    seen_at: Mutex<BTreeMap<CompactString, Instant>>,
}

impl LongResponses {
    /// Records that a response of a class is passed on before it is complete.
    pub(super) fn record(&self, class: &str) {
        let mut seen_at = lock(&self.seen_at);
        seen_at.retain(|_, at| at.elapsed() < LONG_RESPONSE_MEMORY);
        if seen_at.len() < MAX_CLASSES || seen_at.contains_key(class) {
            seen_at.insert(class.into(), Instant::now());
        }
    }

    /// Returns whether no class is known for long responses.
    pub(super) fn is_empty(&self) -> bool {
        lock(&self.seen_at).is_empty()
    }

    /// Returns whether a class is known for long responses.
    pub(super) fn contains(&self, class: &str) -> bool {
        let seen_at = lock(&self.seen_at);
        let at = seen_at.get(class);
        at.is_some_and(|at| at.elapsed() < LONG_RESPONSE_MEMORY)
    }
}
