//! Limit and counts of a listener's connections.

use super::budget;
use crate::logging::LogInterval;
use crate::runtime::lock;
use conf::Settings;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Limit and counts of all listeners.
#[derive(Debug)]
pub(crate) struct Ports {
    pub(crate) callers: Arc<Port>,
    pub(crate) peers: Arc<Port>,
    pub(crate) operators: Arc<Port>,
    endpoints: Mutex<Vec<Arc<Port>>>,
    /// Maximum number of connections of each endpoint.
    max_endpoint: usize,
}

impl Ports {
    /// Divides the descriptors of the process among the listeners.
    pub(crate) fn new(cfg: &Settings) -> Self {
        let budget = budget::of_process(cfg);
        Self {
            callers: Port::new("callers", budget.callers),
            peers: Port::new("peers", budget.peers),
            operators: Port::new("operators", budget.endpoint),
            endpoints: Mutex::default(),
            max_endpoint: budget.endpoint,
        }
    }

    /// Adds the listener of an endpoint.
    pub(crate) fn add_endpoint(&self, name: &'static str) -> Arc<Port> {
        let port = Port::new(name, self.max_endpoint);
        lock(&self.endpoints).push(port.clone());
        port
    }

    /// Returns all listeners.
    pub(crate) fn all(&self) -> Vec<Arc<Port>> {
        let mut ports = vec![
            self.callers.clone(),
            self.peers.clone(),
            self.operators.clone(),
        ];
        ports.extend(lock(&self.endpoints).iter().cloned());
        ports
    }
}

/// Limit and counts of the connections of one listener.
#[derive(Debug)]
pub(crate) struct Port {
    pub(crate) name: &'static str,
    pub(crate) max: usize,
    open: AtomicUsize,
    refused: AtomicU64,
    accept_failed: AtomicU64,
    timed_out: AtomicU64,
    refusal_logged: LogInterval,
    failure_logged: LogInterval,
}

impl Port {
    fn new(name: &'static str, max: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            max,
            open: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            accept_failed: AtomicU64::new(0),
            timed_out: AtomicU64::new(0),
            refusal_logged: LogInterval::default(),
            failure_logged: LogInterval::default(),
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the number of connections that were refused because there were too many.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns how often accepting a connection has failed.
    pub(crate) fn accept_failed(&self) -> u64 {
        self.accept_failed.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were closed because a time limit had passed
    /// or their client no longer responded.
    pub(crate) fn timed_out(&self) -> u64 {
        self.timed_out.load(Ordering::Relaxed)
    }

    pub(crate) fn record_timeout(&self) {
        self.timed_out.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a new connection. If there are too many already, it is refused, unless another
    /// one is closed instead.
    pub(super) fn admit(
        self: &Arc<Self>,
        close_another: impl FnOnce() -> bool,
    ) -> Option<OpenConnection> {
        let open = OpenConnection { port: self.clone() };
        if self.open.fetch_add(1, Ordering::AcqRel) < self.max {
            return Some(open);
        }
        self.record_refusal();
        close_another().then_some(open)
    }

    fn record_refusal(&self) {
        let refused = self.refused.fetch_add(1, Ordering::Relaxed) + 1;
        if self.refusal_logged.is_due() {
            log::warn!(
                "event=connection_refused listener={} reason=too_many max={} refused={refused}",
                self.name,
                self.max
            );
        }
    }

    /// Counts a failure to accept a connection.
    pub(super) fn record_failure(&self, err: &std::io::Error) {
        let failed = self.accept_failed.fetch_add(1, Ordering::Relaxed) + 1;
        if self.failure_logged.is_due() {
            log::warn!(
                "event=accept_failed listener={} failed={failed} reason=\"{err}\"",
                self.name
            );
        }
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    port: Arc<Port>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.port.open.fetch_sub(1, Ordering::AcqRel);
    }
}
