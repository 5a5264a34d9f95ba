//! What the upstreams of a service say together.

use crate::record::Record;
use crate::{finish, straggler};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::UpstreamId;

/// What the upstreams of a service say together, at one moment.
pub(crate) struct Peers<'a> {
    /// Median of their latencies in seconds, if enough were measured.
    pub(crate) median: Option<f64>,
    /// Slowness that is put up with in one that has not told.
    pub(crate) unheard: f64,
    /// The one with the newest sign of life, and when that came.
    newest: Option<(&'a UpstreamId, Duration)>,
    /// When the newest sign of life of all others came.
    second: Option<Duration>,
}

impl<'a> Peers<'a> {
    pub(crate) fn new(records: &'a BTreeMap<UpstreamId, Record>, now: Duration) -> Self {
        let mut peers = Self {
            median: straggler::median(records.values()),
            unheard: finish::unheard(records.values(), now),
            newest: None,
            second: None,
        };
        for (name, record) in records {
            let Some(word) = record.last_word else {
                continue;
            };
            match peers.newest {
                Some((_, newest)) if word <= newest => {
                    peers.second = peers.second.max(Some(word));
                }
                newest => {
                    peers.second = newest.map(|(_, at)| at);
                    peers.newest = Some((name, word));
                }
            }
        }
        peers
    }

    /// Returns when the newest sign of life came of any but this one.
    pub(crate) fn last_word_but_of(&self, upstream: &str) -> Option<Duration> {
        match self.newest {
            Some((name, _)) if name == upstream => self.second,
            newest => newest.map(|(_, at)| at),
        }
    }
}
