//! Announcements of the upstream beside this daemon: which of them count, and what follows.

use super::Admission;
use super::jobs::Job;
use crate::context::Cx;
use gate::Outcome;
use std::cmp::Ordering;
use std::time::Duration;
use wire::Announcement;

/// Time without an announcement after which an upstream may announce a start with a
/// lower number than the known one.
const INCARNATION_SILENCE: Duration = Duration::from_secs(5);
/// Time for which an upstream that has deregistered without the number of its start is not
/// taken back: longer than an announcement is delayed.
const UNNUMBERED_START_MEMORY: Duration = Duration::from_secs(60);

impl Admission {
    /// Returns the upstream's latest announcement.
    #[must_use]
    pub fn announced(&self) -> Option<&Announcement> {
        self.gate.announced()
    }

    /// Returns whether an announcement is older than one already applied: from
    /// an earlier start of the upstream, or overtaken in transit. After a deregistration
    /// each other announcement of the same start is.
    ///
    /// Upstreams number their starts by the time of day, which may be set back. So a
    /// start with a lower number is accepted once the known one has been silent for
    /// [`INCARNATION_SILENCE`].
    #[must_use]
    pub fn is_outdated(&self, now: Duration, announcement: &Announcement) -> bool {
        let Some(known) = self.gate.announced() else {
            return false;
        };
        if known.deregistered && self.is_deregistered_start(now, known, announcement) {
            return !announcement.deregistered;
        }
        // Deregistrations may have no number of their own.
        let deregisters = announcement.deregistered && announcement.boot == known.boot;
        if known.incarnation == 0 || deregisters {
            return false;
        }
        match announcement.incarnation.cmp(&known.incarnation) {
            Ordering::Greater => false,
            Ordering::Equal => announcement.sequence <= known.sequence,
            Ordering::Less => now.saturating_sub(self.announced_at) < INCARNATION_SILENCE,
        }
    }

    /// Returns whether an announcement is of the start that has deregistered. Where one of
    /// the two does not number its start, they are of one if the names are the same and the
    /// upstream is not known to have started since.
    fn is_deregistered_start(
        &self,
        now: Duration,
        known: &Announcement,
        announcement: &Announcement,
    ) -> bool {
        if known.incarnation > 0 && announcement.incarnation > 0 {
            return known.boot == announcement.boot;
        }
        let since = now.saturating_sub(self.announced_at);
        let age = announcement.age_ms.map(Duration::from_millis);
        known.target == announcement.target
            && since < UNNUMBERED_START_MEMORY
            && age.is_none_or(|age| age >= since)
    }

    /// Applies what control knows of a deregistration that was acknowledged before this
    /// daemon started.
    pub(super) fn adopt_deregistration(&mut self, cx: &mut Cx<'_>) {
        let announced = self.gate.announced();
        let missed = announced.filter(|a| !a.deregistered && cx.agent.has_deregistered(&a.boot));
        if let Some(announcement) = missed.cloned() {
            self.apply_announcement(announcement, cx);
        }
    }

    pub(super) fn announce(&mut self, announcement: Announcement, cx: &mut Cx<'_>) {
        if !self.is_outdated(cx.now, &announcement) {
            self.announced_at = cx.now;
            self.apply_announcement(announcement, cx);
        }
    }

    fn apply_announcement(&mut self, mut announcement: Announcement, cx: &mut Cx<'_>) {
        announcement.deregistered |= cx.agent.has_deregistered(&announcement.boot);
        announcement.leaving |= self.stopping || announcement.deregistered;
        let previous = self.gate.announced().map(|a| a.leaving);
        match self.gate.announce(cx.now, announcement) {
            Some(lost) => {
                let lost = lost.into_iter();
                let lost: Vec<Job> = lost.filter_map(|ticket| self.jobs.remove(ticket)).collect();
                for job in &lost {
                    self.record_run_end(job, Outcome::Broken, cx.now);
                }
                self.upstream_restarted(lost, cx);
            }
            None => self.record_sign_of_life(cx),
        }
        if previous == Some(false) {
            self.refuse_waiting_if_leaving(cx);
        }
        if let Some(announced) = self.gate.announced() {
            cx.agent.service(&announced.service);
            cx.agent.announce(announced.clone());
        }
        self.review_rollout(cx);
    }
}
