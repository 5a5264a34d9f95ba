//! Announcements of the upstream beside this daemon: which of them count, and what follows.

use super::Admission;
use super::address::Former;
use super::jobs::Job;
use super::message::UpstreamStart;
use super::starts::{Known, MAX_ANNOUNCEMENT_DELAY, is_older, started_at};
use crate::context::Cx;
use gate::Outcome;
use std::time::Duration;
use wire::Announcement;

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
        let Some(holder) = self.holder() else {
            return false;
        };
        if announcement.incarnation > 0 && self.superseded.contains(&announcement.boot) {
            return true;
        }
        if holder.announcement.target != announcement.target {
            return self.is_displaced(now, holder, announcement);
        }
        is_older(now, holder, announcement)
    }

    /// Returns the latest announcement of the upstream that holds the address.
    fn holder(&self) -> Option<Known<'_>> {
        let announcement = self.gate.announced()?;
        Some(Known {
            announcement,
            at: self.announced_at,
            started: self.started,
        })
    }

    /// Applies what control knows of a deregistration that was acknowledged before this
    /// daemon started.
    pub(super) fn adopt_deregistration(&mut self, cx: &mut Cx<'_>) {
        let announced = self.gate.announced();
        let missed = announced.filter(|a| {
            let has_deregistered = !a.deregistered && cx.agent.has_deregistered(&a.boot);
            has_deregistered || !a.leaving && self.precedes_deregistered(a, cx)
        });
        if let Some(announcement) = missed.cloned() {
            self.apply_announcement(announcement, cx);
        }
    }

    pub(super) fn announce(&mut self, announcement: Announcement, cx: &mut Cx<'_>) {
        if self.is_outdated(cx.now, &announcement) {
            return;
        }
        let returning = self.update_holder(cx.now, &announcement.target);
        self.record_start(cx.now, returning.as_ref(), &announcement);
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
            started: self.started,
            statement: self.gate.statement(),
        });
        self.address.change_holder(now, former, target)
    }

    /// Returns whether an announcement may be a late one of a start before that which has
    /// deregistered, according to control: this daemon has started again since, and
    /// does not know the order of the two. An upstream that goes on announcing itself for
    /// longer than announcements are delayed is a later start.
    fn precedes_deregistered(&self, announcement: &Announcement, cx: &Cx<'_>) -> bool {
        let deregistered = cx.agent.deregistered();
        let is_new_here = cx.now.saturating_sub(self.start_seen_at) < MAX_ANNOUNCEMENT_DELAY;
        is_new_here
            && !self.superseded.contains(&deregistered.boot)
            && deregistered.follows(announcement)
    }

    /// Records the start of the upstream that holds the address, which may be `returning`.
    fn record_start(
        &mut self,
        now: Duration,
        returning: Option<&Former>,
        announcement: &Announcement,
    ) {
        let holder = self.gate.announced();
        let holder = holder.filter(|holder| holder.target == announcement.target);
        let known = returning.map(|f| (&f.announcement, f.started));
        let known = known.or(holder.map(|holder| (holder, self.started)));
        let known_start = known.filter(|(known, _)| known.boot == announcement.boot);
        self.started = match known_start {
            Some((_, started)) => started,
            None => started_at(now, announcement),
        };
        if known_start.is_none() {
            self.start_seen_at = now;
        }
        if let Some((known, _)) = known {
            self.superseded.record(known, announcement);
        }
    }

    fn apply_announcement(&mut self, mut announcement: Announcement, cx: &mut Cx<'_>) {
        announcement.deregistered |= cx.agent.has_deregistered(&announcement.boot);
        announcement.leaving |= self.stopping
            || announcement.deregistered
            || self.precedes_deregistered(&announcement, cx);
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
