//! The newest announcement of an upstream that its daemon has reported.

use wire::Announcement;

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
    pub(super) fn new(announcement: &Announcement) -> Self {
        Self {
            boot: announcement.boot.clone(),
            target: announcement.target.clone(),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            leaving: announcement.leaving,
            deregistered: announcement.deregistered,
        }
    }

    /// Returns the newer one of this announcement and another. Announcements of one start
    /// are numbered, and none follows that of its deregistration; of two starts the one
    /// that was reported later counts.
    pub(super) fn newer(mut self, other: &Announcement) -> Self {
        let same_start = other.boot == self.boot;
        if same_start && self.deregistered && self.incarnation > 0 {
            return self;
        }
        // A daemon that has started again may not know which start deregistered.
        let unnumbered = other.incarnation == 0 && other.target == self.target;
        if other.deregistered && unnumbered && self.incarnation > 0 {
            self.deregistered = true;
            self.leaving = true;
            return self;
        }
        // Daemons of earlier versions report 0 in place of the number.
        if same_start && other.sequence > 0 && other.sequence < self.sequence {
            return self;
        }
        Self::new(other)
    }
}
