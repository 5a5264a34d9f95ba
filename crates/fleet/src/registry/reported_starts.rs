//! The announcements of upstreams that the daemon beside them has reported.

use crate::departures::DeregisteredStart;
use std::collections::VecDeque;
use wire::{Announcement, Departure};

/// Maximum number of starts remembered for a daemon.
const MAX_STARTS: usize = 8;

/// The newest announcement of each start beside a daemon, in the order in which starts were
/// reported last. A start that another one at the same address followed is remembered, so
/// that it does not return once it has left.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedStarts {
    starts: VecDeque<ReportedStart>,
}

impl ReportedStarts {
    /// Creates the list from the departures that the replicated log records, the oldest
    /// first.
    pub(super) fn departed<'a>(departures: impl Iterator<Item = &'a Departure>) -> Self {
        let mut starts = Self::default();
        let mut departures: Vec<&Departure> = departures.collect();
        departures.reverse();
        departures.into_iter().for_each(|d| starts.adopt(d));
        starts
    }

    /// Records an announcement.
    pub(super) fn record(&mut self, announcement: &Announcement) {
        let known = self.position(announcement);
        let known = known.and_then(|n| self.starts.remove(n));
        self.starts.push_back(match known {
            Some(known) => known.newer(announcement),
            None => ReportedStart::new(announcement),
        });
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_front();
        }
    }

    /// Takes over what the replicated log records of a start that leaves. A start that was
    /// not reported counts as reported before the others.
    pub(super) fn adopt(&mut self, departure: &Departure) {
        let announcement = Announcement {
            boot: departure.boot.clone(),
            target: departure.target.clone(),
            incarnation: departure.incarnation,
            sequence: departure.sequence,
            leaving: true,
            deregistered: departure.deregistered,
            ..Announcement::default()
        };
        let is_full = self.starts.len() >= MAX_STARTS;
        match self.starts.iter_mut().find(|s| s.boot == departure.boot) {
            Some(known) => *known = known.clone().newer(&announcement),
            None if is_full => {}
            None => self.starts.push_front(ReportedStart::new(&announcement)),
        }
    }

    /// Returns what is known of the start of an announcement.
    pub(super) fn start_of(&self, announcement: &Announcement) -> Option<&ReportedStart> {
        self.position(announcement).and_then(|n| self.starts.get(n))
    }

    /// Returns the start that was reported last.
    pub(super) fn newest(&self) -> Option<&ReportedStart> {
        self.starts.back()
    }

    /// Returns the start that has deregistered and was reported last.
    pub(super) fn deregistered(&self) -> Option<DeregisteredStart> {
        let start = self.starts.iter().rev().find(|s| s.deregistered)?;
        Some(DeregisteredStart {
            boot: start.boot.clone(),
            target: start.target.clone(),
            incarnation: start.incarnation,
        })
    }

    /// Returns the position of the start that an announcement is of.
    fn position(&self, announcement: &Announcement) -> Option<usize> {
        let same_boot = |s: &ReportedStart| s.boot == announcement.boot;
        // A daemon that has started again may not know which start deregistered.
        let is_unnumbered = announcement.deregistered && announcement.incarnation == 0;
        let same_target = |s: &ReportedStart| {
            is_unnumbered && s.incarnation > 0 && s.target == announcement.target
        };
        let position = self.starts.iter().rposition(same_boot);
        position.or_else(|| self.starts.iter().rposition(same_target))
    }
}

/// An announcement of an upstream, as far as later ones are compared with it.
#[derive(Clone, Debug)]
pub(super) struct ReportedStart {
    pub(super) boot: String,
    target: String,
    incarnation: u64,
    sequence: u64,
    pub(super) leaving: bool,
    /// Number of the first announcement that states that it leaves.
    leaves_from: u64,
    pub(super) deregistered: bool,
}

impl ReportedStart {
    fn new(announcement: &Announcement) -> Self {
        Self {
            boot: announcement.boot.clone(),
            target: announcement.target.clone(),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            leaving: announcement.leaving,
            leaves_from: announcement.sequence,
            deregistered: announcement.deregistered,
        }
    }

    /// Returns the newer one of this announcement and another of the same start.
    /// Announcements of one start are numbered, and none follows that of its deregistration.
    fn newer(mut self, other: &Announcement) -> Self {
        if self.deregistered && self.incarnation > 0 {
            return self;
        }
        if other.deregistered && self.incarnation > 0 {
            self.deregistered = true;
            self.leaving = true;
            return self;
        }
        // Daemons of earlier versions report 0 in place of the number.
        if other.sequence > 0 && other.sequence < self.sequence {
            return self;
        }
        let is_leaving_still = self.leaving && other.leaving;
        let leaves_from = is_leaving_still.then_some(self.leaves_from);
        let newer = Self::new(other);
        Self {
            leaves_from: leaves_from.unwrap_or(newer.leaves_from),
            ..newer
        }
    }

    /// Returns the departure to record if this start of an upstream beside `daemon` leaves.
    pub(super) fn departure(&self, daemon: &str) -> Option<Departure> {
        self.leaving.then(|| Departure {
            daemon: daemon.to_owned(),
            boot: self.boot.clone(),
            target: self.target.clone(),
            incarnation: self.incarnation,
            sequence: self.leaves_from,
            deregistered: self.deregistered,
            at_ms: 0,
        })
    }
}
