//! Divides the descriptors of the process among its uses.

use conf::Settings;
use nix::sys::resource::{Resource, getrlimit};

/// Descriptors for files, listeners and the runtime.
const RESERVED: usize = 32;
/// Parts into which the other descriptors are divided. What the shares below leave is for
/// the connections that the daemon dials: to other daemons and to the upstream.
const PARTS: usize = 32;
/// Share of the callers' connections.
const CALLER_PARTS: usize = 8;
/// Share of the connections that other daemons dial.
const PEER_PARTS: usize = 12;
/// Share of the connections of each of the other listeners.
const ENDPOINT_PARTS: usize = 1;
/// Minimum number of connections of a listener.
const MIN_CONNECTIONS: usize = 2;

/// Maximum numbers of connections that are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Budget {
    /// From callers.
    pub(crate) callers: usize,
    /// From other daemons.
    pub(crate) peers: usize,
    /// Of each of the other listeners.
    pub(crate) endpoint: usize,
}

impl Budget {
    /// Divides a number of descriptors. Without callers, other daemons get their share.
    fn new(descriptors: usize, has_callers: bool) -> Self {
        let divided = descriptors.saturating_sub(RESERVED);
        let share = |parts| (divided.saturating_mul(parts) / PARTS).max(MIN_CONNECTIONS);
        let (callers, peers) = match has_callers {
            true => (CALLER_PARTS, PEER_PARTS),
            false => (0, CALLER_PARTS + PEER_PARTS),
        };
        Self {
            callers: share(callers),
            peers: share(peers),
            endpoint: share(ENDPOINT_PARTS),
        }
    }
}

/// Divides the descriptors that the process may have.
pub(super) fn of_process(cfg: &Settings) -> Budget {
    let descriptors = descriptors(cfg.limits.descriptors);
    let mut budget = Budget::new(descriptors, cfg.listen.callers.is_some());
    budget.callers = budget.callers.min(cfg.limits.connections);
    log::info!(
        "event=descriptors limit={descriptors} callers={} peers={} endpoint={}",
        budget.callers,
        budget.peers,
        budget.endpoint
    );
    budget
}

/// Returns the number of descriptors that the process may have: the enforced limit, or what
/// the settings state if it is lower.
fn descriptors(from_settings: Option<usize>) -> usize {
    let enforced = match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(err) => {
            log::warn!("event=descriptor_limit_unknown reason=\"{err}\"");
            usize::MAX
        }
    };
    from_settings.map_or(enforced, |stated| stated.min(enforced))
}
