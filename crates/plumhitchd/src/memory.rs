//! Memory that the process holds for callers, upstreams and operators, by use.
//!
//! Each use has a share of the memory of the process, so that one that runs short ends its
//! own work and never that of another.

mod share;

pub(crate) use share::{Held, Share};

use conf::Settings;
use nix::sys::resource::{Resource, getrlimit};
use std::fs;
use std::sync::Arc;

/// Memory of a process if neither its settings nor its limits state it, in bytes.
const DEFAULT_BYTES: usize = 256 * 1024 * 1024;
/// Parts into which the memory is divided. What the shares below leave is for the state of
/// the process itself, what allocations cost beyond their size, and for connections.
const PARTS: usize = 32;
/// Share of responses at the entry.
const ENTRY_RESPONSE_PARTS: usize = 3;
/// Share of responses at the gate. It is another one than the entry's: a gate that waited for
/// what entries hold could wait for entries that wait for gates.
const GATE_RESPONSE_PARTS: usize = 2;
/// Share of the requests of callers.
const REQUEST_PARTS: usize = 3;
/// Share of the calls of operators and of the embedding program.
const CALL_PARTS: usize = 2;
/// Shares of all uses.
const ALL_PARTS: usize = ENTRY_RESPONSE_PARTS + GATE_RESPONSE_PARTS + REQUEST_PARTS + CALL_PARTS;
/// Smallest share of calls, in bytes: the longest call is accepted while there are no others.
const MIN_CALL_BYTES: usize = 10 * 1024 * 1024;
/// File that states the memory of the process in pages.
const PAGES_FILE: &str = "/proc/self/statm";
/// Size of a page on which the file above is based, in bytes.
const PAGE_BYTES: usize = 4096;

/// The shares of all uses.
#[derive(Debug)]
pub(crate) struct Memory {
    /// Bodies of responses that were received from gates, or may be, and wait for callers.
    pub(crate) entry_responses: Arc<Share>,
    /// Bodies of responses that were received from the upstream and are not complete.
    pub(crate) gate_responses: Arc<Share>,
    /// Bodies of requests between the caller and the upstream.
    pub(crate) requests: Arc<Share>,
    /// Bodies of calls of operators and to endpoints.
    pub(crate) calls: Arc<Share>,
}

impl Memory {
    /// Divides the memory of the process.
    pub(crate) fn new(cfg: &Settings) -> Self {
        let bytes = of_process(cfg.limits.memory_bytes);
        let shares = Self::divide(bytes, cfg.listen.callers.is_some());
        log::info!(
            "event=memory limit={bytes} entry_responses={} gate_responses={} requests={} calls={}",
            shares.entry_responses.max,
            shares.gate_responses.max,
            shares.requests.max,
            shares.calls.max
        );
        shares
    }

    /// Divides a number of bytes. Without callers, calls get their shares.
    fn divide(bytes: usize, has_callers: bool) -> Self {
        let share = |name, parts| Share::new(name, bytes / PARTS * parts);
        let call_parts = if has_callers { CALL_PARTS } else { ALL_PARTS };
        let parts = |parts| if has_callers { parts } else { 0 };
        Self {
            entry_responses: share("entry_responses", parts(ENTRY_RESPONSE_PARTS)),
            gate_responses: share("gate_responses", parts(GATE_RESPONSE_PARTS)),
            requests: share("requests", parts(REQUEST_PARTS)),
            calls: Share::new("calls", (bytes / PARTS * call_parts).max(MIN_CALL_BYTES)),
        }
    }

    /// Returns the shares of all uses.
    pub(crate) fn all(&self) -> [&Arc<Share>; 4] {
        [
            &self.entry_responses,
            &self.gate_responses,
            &self.requests,
            &self.calls,
        ]
    }
}

/// Returns the bytes of memory that the process may use: the lowest of what the settings
/// state and its enforced limits.
fn of_process(from_settings: Option<usize>) -> usize {
    let limits = [Resource::RLIMIT_AS, Resource::RLIMIT_DATA];
    let enforced = limits.into_iter().filter_map(enforced_limit);
    let known = enforced.chain(from_settings).min();
    known.unwrap_or(DEFAULT_BYTES)
}

/// Returns an enforced limit in bytes, if there is one.
fn enforced_limit(resource: Resource) -> Option<usize> {
    match getrlimit(resource) {
        Ok((soft, _)) if soft == nix::sys::resource::RLIM_INFINITY => None,
        Ok((soft, _)) => usize::try_from(soft).ok(),
        Err(err) => {
            log::warn!("event=memory_limit_unknown resource={resource:?} reason=\"{err}\"");
            None
        }
    }
}

/// Returns the resident memory of the process in bytes, if the system states it.
pub(crate) fn resident_bytes() -> Option<usize> {
    let text = fs::read_to_string(PAGES_FILE).ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    pages.checked_mul(PAGE_BYTES)
}
