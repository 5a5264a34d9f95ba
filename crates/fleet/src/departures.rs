//! The departures of upstreams in the replicated state, which outlast the leader that was
//! told of them.

use std::collections::VecDeque;
use wire::{Announcement, Departure};

/// Log time for which a departure is kept, in milliseconds: far longer than an announcement
/// is delayed.
const RETENTION_MS: u64 = 600_000;
/// Maximum number of departures kept.
const MAX_DEPARTURES: usize = 2_048;

/// A start of an upstream that has deregistered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeregisteredStart {
    /// Value that differs for each start.
    pub boot: String,
    /// Name by which the upstream checks that a request is addressed to it, or empty.
    pub target: String,
    /// Number of the start; 0 if the upstream does not number them.
    pub incarnation: u64,
}

impl DeregisteredStart {
    /// Returns whether an announcement is of an earlier start of the upstream.
    ///
    /// Starts are numbered by the time of day of their VM. If this one lies in the future by
    /// the time at which the announcement arrived, that time was set back since, and a lower
    /// number is no earlier start.
    #[must_use]
    pub fn follows(&self, announcement: &Announcement) -> bool {
        let incarnation = announcement.incarnation;
        let arrived_ms = announcement
            .age_ms
            .map(|age| incarnation.saturating_add(age));
        !self.target.is_empty()
            && announcement.target == self.target
            && (1..self.incarnation).contains(&incarnation)
            && arrived_ms.is_some_and(|arrived| arrived >= self.incarnation)
    }
}

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
