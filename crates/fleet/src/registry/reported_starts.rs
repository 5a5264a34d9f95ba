//! The announcements of upstreams that the daemon beside them has reported.

use std::collections::VecDeque;
use wire::Announcement;

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

    /// Returns the start that was reported last.
    pub(super) fn newest(&self) -> Option<&ReportedStart> {
        self.starts.back()
    }

    /// Returns the boot of the start that has deregistered and was reported last.
    pub(super) fn deregistered_boot(&self) -> Option<&str> {
        let mut deregistered = self.starts.iter().rev().filter(|s| s.deregistered);
        deregistered.next().map(|s| s.boot.as_str())
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
            deregistered: announcement.deregistered,
        }
    }

    /// Returns the newer one of this announcement and another of the same start.
    /// Announcements of one start are numbered, and none follows that of its deregistration.
    fn newer(mut self, other: &Announcement) -> Self {
        if self.deregistered && self.incarnation > 0 {
            return self;
        }
        if other.deregistered && other.incarnation == 0 && self.incarnation > 0 {
            self.deregistered = true;
            self.leaving = true;
            return self;
        }
        // Daemons of earlier versions report 0 in place of the number.
        if other.sequence > 0 && other.sequence < self.sequence {
            return self;
        }
        Self::new(other)
    }
}
