//! Which upstream holds the address beside this daemon, where announcements of several state
//! it: one that answers there under its own id, and else one that goes on announcing itself.

use super::Admission;
use super::starts::{HOLDER_SILENCE, Known, is_earlier_start, is_older};
use gate::Statement;
use std::collections::VecDeque;
use std::time::Duration;
use wire::Announcement;

/// Time for which an answer shows which upstream listens at the address.
const ANSWER_MEMORY: Duration = Duration::from_secs(5);
/// Maximum number of upstreams remembered that held the address before.
const MAX_FORMER: usize = 8;

/// An upstream that held the address.
#[derive(Clone, Debug)]
pub(super) struct Former {
    pub(super) announcement: Announcement,
    pub(super) announced_at: Duration,
    pub(super) started: Option<Duration>,
    pub(super) statement: Statement,
}

impl<'a> From<&'a Former> for Known<'a> {
    fn from(former: &'a Former) -> Self {
        Self {
            announcement: &former.announcement,
            at: former.announced_at,
            started: former.started,
        }
    }
}

/// A response to a health request that names the upstream.
#[derive(Clone, Debug)]
struct Answer {
    target: String,
    /// When the request was sent: the upstream listened at the address afterwards.
    sent_at: Duration,
}

/// The holder of the address, and those before it.
#[derive(Debug, Default)]
pub(super) struct Address {
    held_since: Duration,
    answer: Option<Answer>,
    former: VecDeque<Former>,
}

impl Address {
    /// Records which upstream has responded to a health request.
    pub(super) fn record_answer(&mut self, target: String, sent_at: Duration) {
        self.answer = Some(Answer { target, sent_at });
    }

    /// Records that nothing listens at the address.
    pub(super) fn record_refusal(&mut self) {
        self.answer = None;
    }

    /// Records that another upstream holds the address than `former`, if there was one;
    /// returns what is remembered of the new holder.
    pub(super) fn change_holder(
        &mut self,
        now: Duration,
        former: Option<Former>,
        target: &str,
    ) -> Option<Former> {
        self.held_since = now;
        let known = |f: &Former| f.announcement.target == target;
        let returning = self.former.iter().position(known);
        let returning = returning.and_then(|n| self.former.remove(n));
        self.former.extend(former);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
        returning
    }

    /// Returns what is remembered of an upstream that held the address before.
    pub(super) fn former(&self, target: &str) -> Option<&Former> {
        self.former.iter().find(|f| f.announcement.target == target)
    }

    /// Returns when the request was sent to which an upstream gave the latest answer.
    fn answered_at(&self, now: Duration, target: &str) -> Option<Duration> {
        let answer = self.answer.as_ref().filter(|a| a.target == target)?;
        let is_fresh = now.saturating_sub(answer.sent_at) < ANSWER_MEMORY;
        is_fresh.then_some(answer.sent_at)
    }

    /// Returns whether an upstream may take the address from `known`. One that is silent
    /// because it leaves still has it.
    fn may_take(&self, now: Duration, known: Known<'_>, announcement: &Announcement) -> bool {
        let holder = known.announcement;
        let answered = self.answered_at(now, &announcement.target);
        if answered.is_some_and(|at| at >= self.held_since) {
            return true;
        }
        let age = announcement.age_ms.map(Duration::from_millis);
        let started = age.map(|age| now.saturating_sub(age));
        let holder_answered = self.answered_at(now, &holder.target);
        if holder_answered.is_some_and(|at| started.is_none_or(|started| started < at)) {
            return false;
        }
        if holder.incarnation == 0 || announcement.incarnation > holder.incarnation {
            return true;
        }
        match holder.leaving {
            true => !is_earlier_start(now, known, announcement),
            false => now.saturating_sub(known.at) >= HOLDER_SILENCE,
        }
    }
}

impl Admission {
    /// Returns the latest announcement of an upstream that holds or held the address.
    #[must_use]
    pub fn announced_by(&self, target: &str) -> Option<&Announcement> {
        let holder = self.gate.announced().filter(|a| a.target == target);
        let former = self.address.former(target);
        holder.or(former.map(|f| &f.announcement))
    }

    /// Returns the services of the upstreams that hold or held the address, the present
    /// one's first.
    pub fn services_at_address(&self) -> impl Iterator<Item = &str> {
        let former = self.address.former.iter().rev().map(|f| &f.announcement);
        let announced = self.gate.announced().into_iter().chain(former);
        announced.map(|a| a.service.as_str())
    }

    /// Returns whether an announcement of another upstream than `holder` does not count:
    /// that upstream has announced something newer, or may not take the address.
    pub(super) fn is_displaced(
        &self,
        now: Duration,
        holder: Known<'_>,
        announcement: &Announcement,
    ) -> bool {
        let former = self.address.former(&announcement.target);
        let is_older = former.is_some_and(|f| is_older(now, f.into(), announcement));
        is_older || !self.address.may_take(now, holder, announcement)
    }
}
