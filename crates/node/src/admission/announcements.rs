//! Announcements of the upstream beside this daemon: which of them count, and what follows.

use super::Admission;
use super::address::{Former, HOLDER_SILENCE};
use super::jobs::Job;
use super::message::UpstreamStart;
use crate::context::Cx;
use gate::Outcome;
use std::cmp::Ordering;
use std::time::Duration;
use wire::Announcement;

/// Time without an announcement after which an upstream may announce a start with a
/// lower number than the known one.
const INCARNATION_SILENCE: Duration = HOLDER_SILENCE;
/// Time for which an upstream that has deregistered without the number of its start is not
/// taken back: longer than an announcement is delayed.
const UNNUMBERED_START_MEMORY: Duration = Duration::from_secs(60);

/// The latest announcement of an upstream, and when it arrived.
#[derive(Clone, Copy)]
pub(super) struct Known<'a> {
    announcement: &'a Announcement,
    at: Duration,
}

impl<'a> From<&'a Former> for Known<'a> {
    fn from(former: &'a Former) -> Self {
        Self {
            announcement: &former.announcement,
            at: former.announced_at,
        }
    }
}

/// Returns whether an announcement is older than another one of its upstream: from an
/// earlier start, or overtaken in transit. After a deregistration each other announcement
/// of the same start is.
///
/// Upstreams number their starts by the time of day, which may be set back. So a
/// start with a lower number is accepted once the known one has been silent for
/// [`INCARNATION_SILENCE`].
pub(super) fn is_older(now: Duration, known: Known<'_>, announcement: &Announcement) -> bool {
    let Known {
        announcement: latest,
        at,
    } = known;
    if latest.deregistered && is_deregistered_start(now, known, announcement) {
        return !announcement.deregistered;
    }
    // Deregistrations may have no number of their own.
    let deregisters = announcement.deregistered && announcement.boot == latest.boot;
    if latest.incarnation == 0 || deregisters {
        return false;
    }
    match announcement.incarnation.cmp(&latest.incarnation) {
        Ordering::Greater => false,
        Ordering::Equal => announcement.sequence <= latest.sequence,
        Ordering::Less => now.saturating_sub(at) < INCARNATION_SILENCE,
    }
}

/// Returns whether an announcement is of the start that has deregistered. Where one of
/// the two does not number its start, they are of one if the upstream is not known to have
/// started since.
fn is_deregistered_start(now: Duration, known: Known<'_>, announcement: &Announcement) -> bool {
    if known.announcement.incarnation > 0 && announcement.incarnation > 0 {
        return known.announcement.boot == announcement.boot;
    }
    let since = now.saturating_sub(known.at);
    let age = announcement.age_ms.map(Duration::from_millis);
    since < UNNUMBERED_START_MEMORY && age.is_none_or(|age| age >= since)
}

impl Admission {
    /// Returns the upstream's latest announcement.
    #[must_use]
    pub fn announced(&self) -> Option<&Announcement> {
        self.gate.announced()
    }

    /// Returns the start of the upstream that holds the address.
    #[must_use]
    pub fn upstream_start(&self) -> UpstreamStart {
        let announced = self.gate.announced();
        UpstreamStart {
            number: self.start_number(),
            target: announced.map_or_else(String::new, |a| a.target.clone()),
        }
    }

    /// Returns the number of the start of the upstream that holds the address.
    #[must_use]
    pub fn start_number(&self) -> u64 {
        self.gate.start()
    }

    /// Returns whether an announcement does not count: it is older than one already applied,
    /// or of an upstream that does not hold the address.
    #[must_use]
    pub fn is_outdated(&self, now: Duration, announcement: &Announcement) -> bool {
        let Some(known) = self.gate.announced() else {
            return false;
        };
        if known.target != announcement.target {
            return self.is_displaced(now, known, announcement);
        }
        let known = Known {
            announcement: known,
            at: self.announced_at,
        };
        is_older(now, known, announcement)
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
        if self.is_outdated(cx.now, &announcement) {
            return;
        }
        let returning = self.update_holder(cx.now, &announcement.target);
        self.announced_at = cx.now;
        let boot = announcement.boot.clone();
        self.apply_announcement(announcement, cx);
        if let Some(former) = returning.filter(|f| f.announcement.boot == boot)
            && self.gate.adopt_statement(cx.now, former.statement)
        {
            self.on_statement_changed("former", cx);
        }
    }

    /// Records which upstream holds the address; returns what is remembered of one that
    /// takes it back.
    fn update_holder(&mut self, now: Duration, target: &str) -> Option<Former> {
        let holder = self.gate.announced();
        if holder.is_some_and(|holder| holder.target == target) {
            return None;
        }
        let former = holder.cloned().map(|announcement| Former {
            announcement,
            announced_at: self.announced_at,
            statement: self.gate.statement(),
        });
        self.address.change_holder(now, former, target)
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
        self.refuse_waiting_of_other_services(cx);
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
