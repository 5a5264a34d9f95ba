//! The departures of upstreams in the replicated state, which outlast the leader that was
//! told of them.

use std::collections::VecDeque;
use wire::Departure;

/// Log time for which a departure is kept, in milliseconds: far longer than an announcement
/// is delayed.
const RETENTION_MS: u64 = 600_000;
/// Maximum number of departures kept.
const MAX_DEPARTURES: usize = 2_048;

/// The recorded departures, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    departures: VecDeque<Departure>,
}

impl Departures {
    /// Restores the departures of a snapshot.
    #[must_use]
    pub fn restore(departures: Vec<Departure>) -> Self {
        Self {
            departures: departures.into(),
        }
    }

    /// Returns all departures, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.departures.iter()
    }

    /// Returns the departures beside a daemon, the oldest first.
    pub fn of<'a>(&'a self, daemon: &'a str) -> impl Iterator<Item = &'a Departure> {
        self.departures.iter().filter(move |d| d.daemon == daemon)
    }

    /// Records a departure at a log time, in place of an earlier one of the same start.
    pub fn record(&mut self, departure: Departure, time_ms: u64) {
        self.expire(time_ms);
        let same_start = |d: &Departure| d.daemon == departure.daemon && d.boot == departure.boot;
        self.departures.retain(|d| !same_start(d));
        self.departures.push_back(Departure {
            at_ms: time_ms,
            ..departure
        });
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
    }

    /// Removes the departures whose retention time has passed.
    pub fn expire(&mut self, time_ms: u64) {
        let is_over = |d: &Departure| d.at_ms.saturating_add(RETENTION_MS) <= time_ms;
        while self.departures.front().is_some_and(is_over) {
            self.departures.pop_front();
        }
    }

    /// Returns whether a departure, or a later one of the same start, is recorded.
    #[must_use]
    pub fn covers(&self, departure: &Departure) -> bool {
        self.departures.iter().any(|d| {
            d.daemon == departure.daemon
                && d.boot == departure.boot
                && (d.deregistered || !departure.deregistered)
                && (d.deregistered || d.sequence >= departure.sequence)
        })
    }
}
