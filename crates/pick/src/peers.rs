//! Aggregates over all upstreams of a service.

use crate::stats::UpstreamStats;
use crate::{finish, straggler};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::UpstreamId;

/// Aggregates over the upstreams of a service at one moment.
pub(crate) struct PeerSummary<'a> {
    /// Median latency in seconds, if enough upstreams were measured.
    pub(crate) median: Option<f64>,
    /// Slowness assumed for upstreams without a report.
    pub(crate) unreported_slowness: f64,
    /// The upstream with the most recent activity, and when that was.
    latest: Option<(&'a UpstreamId, Duration)>,
    /// Time of the most recent activity of all other upstreams.
    second_latest: Option<Duration>,
}

impl<'a> PeerSummary<'a> {
    pub(crate) fn new(all_stats: &'a BTreeMap<UpstreamId, UpstreamStats>, now: Duration) -> Self {
        let mut peers = Self {
            median: straggler::median(all_stats.values()),
            unreported_slowness: finish::unreported_slowness(all_stats.values(), now),
            latest: None,
            second_latest: None,
        };
        for (name, stats) in all_stats {
            let Some(activity) = stats.last_activity else {
                continue;
            };
            match peers.latest {
                Some((_, latest)) if activity <= latest => {
                    peers.second_latest = peers.second_latest.max(Some(activity));
                }
                latest => {
                    peers.second_latest = latest.map(|(_, at)| at);
                    peers.latest = Some((name, activity));
                }
            }
        }
        peers
    }

    /// Returns the time of the most recent activity of any other upstream.
    pub(crate) fn last_activity_except(&self, upstream: &str) -> Option<Duration> {
        match self.latest {
            Some((name, _)) if name == upstream => self.second_latest,
            latest => latest.map(|(_, at)| at),
        }
    }
}
