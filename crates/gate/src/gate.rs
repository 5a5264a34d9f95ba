//! The gate: the count of an upstream's work, and the limit on it.

use crate::cold::{ColdLimit, ColdRate};
use crate::inheritance::Inheritance;
use crate::knee::Knee;
use crate::pace::Pace;
use crate::queue::{Queue, Queued, SlotRequest, Standing};
use crate::ramp::Ramp;
use crate::restart::{Restarts, Start};
use crate::slots::{Running, Slots, Ticket};
use std::time::Duration;
use wire::{Announcement, Load, RefuseReason};

/// Slots that are believed of any announcement: as many connections as an
/// upstream bears.
pub const MAX_SLOTS: u32 = 200;
/// Time that an upstream's own limit counts.
const HINT_TTL: Duration = Duration::from_secs(5);
/// Longest wait for a slot, in service times.
const WAIT_SERVICES: u32 = 1;
/// Bounds of the longest wait for a slot.
const SHORTEST_WAIT: Duration = Duration::from_millis(5);
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// Slowness of an upstream on which work takes as long as usual, in
/// hundredths.
const USUAL_PERCENT: u32 = 100;
/// Slowness up to which times are compared with one another, in hundredths.
const NEARLY_USUAL_PERCENT: u32 = 150;
/// First status of the failures of the upstream itself.
const SERVER_ERROR: u16 = 500;

/// How fast a gate opens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateLimits {
    /// Requests admitted at once when a cold start begins.
    pub cold_slots: u32,
    /// Answers at a normal time before the limit grows by one slot.
    pub ramp_answers: u32,
    /// Requests that may wait for a slot for a short time, in proportion to
    /// the limit, 0 to 1.
    pub queue_ratio: f64,
    /// Time without a request after which the upstream counts as cold.
    pub idle: Duration,
    /// Whether fewer requests are admitted than there are slots where that gets
    /// more done.
    pub finds_knee: bool,
    /// Whether the upstream's load reports are read.
    pub expects_reports: bool,
    /// Whether everything is admitted, for measurements without a gate.
    pub unlimited: bool,
}

/// When a request that asked for a slot runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It has a slot and runs now.
    Running,
    /// It waits until [`Gate::admit_queued`] gives it a slot, or [`Gate::remove_expired`]
    /// gives it up.
    Queued {
        /// A request that waited in its place and is to be refused.
        displaced: Option<Ticket>,
    },
}

/// What an upstream says of its own load. It may lag or mislead, so it only
/// ever lowers a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it says it works on.
    pub in_flight: u32,
    /// Requests that it says it bears now, if it says so.
    pub limit: Option<u32>,
    /// How much longer it says that it stays cold, if it says so.
    pub cold_remaining: Option<Duration>,
    /// How long it says that work takes now, in hundredths of the usual.
    pub slow_percent: Option<u32>,
}

/// How the upstream let go of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came, with this HTTP status.
    Whole(u16),
    /// The connection was refused; nothing reached the upstream.
    Refused,
    /// It said that it did not run the request.
    Rejected,
    /// The connection broke; the request may have run.
    Broken,
}

/// Guards one upstream.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    announced: Option<Announcement>,
    slots: Slots,
    ramp: Ramp,
    pace: Pace,
    inheritance: Inheritance,
    restarts: Restarts,
    queue: Queue,
    cold: ColdRate,
    knee: Knee,
    hint: Option<(Duration, u32)>,
    slow: Option<(Duration, u32)>,
    /// When the upstream was last known to be slow.
    slow_at: Option<Duration>,
    busy: Duration,
    seen: Duration,
}

impl Gate {
    /// Creates a gate that knows no upstream yet.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            announced: None,
            slots: Slots::default(),
            ramp: Ramp::new(limits.cold_slots, limits.ramp_answers),
            pace: Pace::default(),
            inheritance: Inheritance::new(limits.expects_reports),
            restarts: Restarts::default(),
            queue: Queue::default(),
            cold: ColdRate::default(),
            knee: Knee::default(),
            hint: None,
            slow: None,
            slow_at: None,
            busy: Duration::ZERO,
            seen: Duration::ZERO,
        }
    }

    /// Sets the longest time that a request left by a predecessor of this
    /// gate may still run.
    pub fn set_longest_deadline(&mut self, longest: Duration) {
        self.inheritance.set_longest(longest);
    }

    /// Takes in what the upstream says of itself; returns the requests that
    /// its predecessor took with it, if it is a new start of the upstream.
    pub fn announce(&mut self, now: Duration, mut announcement: Announcement) -> Vec<Ticket> {
        self.advance_clock(now);
        announcement.slots = announcement.slots.min(MAX_SLOTS);
        self.ramp.clamp(announcement.slots);
        let start = self.restarts.announced(&announcement.boot);
        let cold_left = Duration::from_millis(announcement.cold_ms);
        let age = announcement.age_ms.map(Duration::from_millis);
        self.cold.stated(now, cold_left);
        let new_service = announcement.service.clone();
        let stays = !announcement.leaving;
        if self
            .announced
            .as_ref()
            .is_some_and(|a| a.service != new_service)
        {
            self.knee.forget();
        }
        let old = self.announced.replace(announcement);
        let changed = old.is_some_and(|old| old.service != new_service || (old.leaving && stays));
        match start {
            Start::First => {
                self.inheritance.begin(now);
                self.cold.first_word(now, cold_left, age);
            }
            Start::Same if changed => self.assume_cold(now),
            Start::Same => {}
            Start::Doubtful => self.assume_cold(now),
            Start::Again => {
                self.inheritance.end();
                self.assume_cold(now);
                let lost = self.slots.clear();
                self.restarts.freed(&lost);
                return lost;
            }
        }
        Vec::new()
    }

    /// Returns what the upstream last said of itself, its slots capped.
    #[must_use]
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref()
    }

    /// Takes the upstream's own load report in.
    pub fn record_report(&mut self, now: Duration, report: LoadReport) {
        self.advance_clock(now);
        match report.slow_percent {
            // It came with an answer and counts what this gate has under way.
            Some(_) => {
                let foreign = report.in_flight.saturating_sub(self.slots.len());
                self.inheritance.report_prompt(foreign);
            }
            None => self.inheritance.report(now, report.in_flight),
        }
        self.hint = report.limit.map(|limit| (now, limit));
        if let Some(left) = report.cold_remaining {
            self.cold.stated(now, left);
        }
        if let Some(slow) = report.slow_percent {
            if !self.is_at_usual_pace() || slow > NEARLY_USUAL_PERCENT {
                self.slow_at = Some(now);
            }
            self.slow = Some((now, slow));
        }
    }

    /// Sets what a cold upstream bears, if that is limited.
    pub fn set_cold_limit(&mut self, limit: Option<ColdLimit>) {
        self.cold.set_limit(limit);
    }

    /// Counts the upstream as cold: it may have started again, or its data
    /// centre returns.
    pub fn assume_cold(&mut self, now: Duration) {
        self.advance_clock(now);
        self.ramp.reset();
        self.cold.suspect_restart();
    }

    /// Takes a slot for a request, or lets it wait for one for a short time.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run now.
    pub fn admit(&mut self, now: Duration, ask: &SlotRequest) -> Result<Placement, RefuseReason> {
        self.advance_clock(now);
        self.serves(&ask.service)?;
        let idle = now.saturating_sub(self.busy) >= self.limits.idle;
        if idle && self.slots.len() == 0 {
            self.ramp.reset();
        }
        if self.limits.unlimited || self.has_slot() {
            self.take(now, ask);
            return Ok(Placement::Running);
        }
        self.wait(now, ask)
    }

    /// Gives a free slot to the waiting request that goes first.
    pub fn admit_queued(&mut self, now: Duration) -> Option<Ticket> {
        self.advance_clock(now);
        if !self.has_slot() || self.announced.as_ref().is_some_and(|a| a.leaving) {
            return None;
        }
        let ask = self.queue.pop(Standing {
            now,
            slots: &self.slots,
            limit: self.load().limit,
            pace: &self.pace,
            slowness: self.slowness(),
        })?;
        self.take(now, &ask);
        Some(ask.ticket)
    }

    /// Takes the requests out of the queue that have waited long enough.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Ticket> {
        self.advance_clock(now);
        self.queue.remove_expired(now)
    }

    /// Takes a request out of the queue, or frees the slot of one that was
    /// never handed over.
    pub fn withdraw(&mut self, ticket: Ticket) {
        if !self.queue.remove(ticket) {
            self.slots.free(ticket);
        }
    }

    /// Notes that the upstream was asked to drop a request. Its slot stays
    /// taken until [`Gate::finish`].
    pub fn cancel(&mut self, ticket: Ticket) {
        self.slots.cancel(ticket);
    }

    /// Frees a request's slot: the upstream has let go of it. Returns whether
    /// the request held one.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) -> bool {
        self.advance_clock(now);
        let level = self.slots.len();
        let Some(running) = self.slots.free(ticket) else {
            self.restarts
                .ended(ticket, matches!(outcome, Outcome::Whole(_)));
            return false;
        };
        self.busy = now;
        match outcome {
            Outcome::Whole(status) => {
                self.answered(now, &running, running.level.max(level), status);
            }
            Outcome::Rejected => self.ramp.bad_answer(),
            Outcome::Broken if running.cancelled => {}
            Outcome::Refused | Outcome::Broken => self.assume_cold(now),
        }
        true
    }

    /// Returns the exact load.
    #[must_use]
    pub fn load(&self) -> Load {
        let slots = self.announced.as_ref().map_or(0, |a| a.slots);
        Load {
            in_flight: self.slots.len(),
            limit: self.limit(slots),
            service_us: self.pace.service_us(),
            cold: self.ramp.is_cold(slots) || self.cold.is_cold(self.seen),
            waiting: self.queue.len(),
            slow_percent: self.slow_percent(),
        }
    }

    /// Lets time pass.
    pub fn advance_clock(&mut self, now: Duration) {
        self.seen = self.seen.max(now);
        self.cold.advance_clock(now);
    }

    fn serves(&self, service: &str) -> Result<(), RefuseReason> {
        let announced = self.announced.as_ref().ok_or(RefuseReason::NoUpstream)?;
        if announced.service != service {
            return Err(RefuseReason::NoUpstream);
        }
        if announced.leaving {
            return Err(RefuseReason::Leaving);
        }
        Ok(())
    }

    fn has_slot(&self) -> bool {
        let load = self.load();
        load.in_flight < load.limit && self.cold.allows(self.seen)
    }

    fn is_at_usual_pace(&self) -> bool {
        self.slow_percent() <= NEARLY_USUAL_PERCENT
    }

    fn slow_percent(&self) -> u32 {
        let recent = |(at, _): &(Duration, u32)| self.seen.saturating_sub(*at) < HINT_TTL;
        self.slow.filter(recent).map_or(0, |(_, slow)| slow)
    }

    /// Returns how long work takes, where 1 is as usual.
    fn slowness(&self) -> f64 {
        f64::from(self.slow_percent().max(USUAL_PERCENT)) / f64::from(USUAL_PERCENT)
    }

    fn take(&mut self, now: Duration, ask: &SlotRequest) {
        self.busy = now;
        self.cold.sent(now);
        self.slots.take(
            ask.ticket,
            Running {
                since: now,
                customer: ask.customer.clone(),
                class: ask.class.clone(),
                share: ask.share,
                level: self.slots.len() + 1,
                epoch: self.ramp.epoch(),
                cancelled: false,
            },
        );
    }

    fn wait(&mut self, now: Duration, ask: &SlotRequest) -> Result<Placement, RefuseReason> {
        let load = self.load();
        let service = Duration::from_micros(u64::from(load.service_us));
        let until = now + (service * WAIT_SERVICES).clamp(SHORTEST_WAIT, LONGEST_WAIT);
        let room = self.room(load.limit);
        let standing = Standing {
            now,
            slots: &self.slots,
            limit: load.limit,
            pace: &self.pace,
            slowness: self.slowness(),
        };
        match self.queue.push(ask, until, room, standing) {
            Queued::Waits => Ok(Placement::Queued { displaced: None }),
            Queued::Instead(ticket) => Ok(Placement::Queued {
                displaced: Some(ticket),
            }),
            Queued::Full if load.cold => Err(RefuseReason::Cold),
            Queued::Full => Err(RefuseReason::NoSlot),
        }
    }

    /// Returns how many requests may wait at a limit.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    fn room(&self, limit: u32) -> u32 {
        (f64::from(limit) * self.limits.queue_ratio).ceil() as u32
    }

    /// Learns from an answer to a request beside which `level` ran, itself
    /// included.
    fn answered(&mut self, now: Duration, running: &Running, level: u32, status: u16) {
        let took = now.saturating_sub(running.since).div_f64(self.slowness());
        let normal = self.pace.record(&running.class, took);
        let slots = self.announced.as_ref().map_or(0, |a| a.slots);
        // One that spans a slow spell would make few requests under way, as
        // there are then, look slow.
        let spanned = self.slow_at.is_some_and(|at| at >= running.since);
        let comparable = !spanned && self.is_at_usual_pace();
        if status < SERVER_ERROR && self.limits.finds_knee && comparable {
            let seconds = took.as_secs_f64();
            self.knee.record(&running.class, level, slots, seconds);
        }
        if self.limit(slots) < self.ramp.limit(slots) {
            return;
        }
        if status >= SERVER_ERROR && self.ramp.is_cold(slots) {
            // It may have got more than it bears while it warms up.
            self.ramp.reset();
        } else if normal && status < SERVER_ERROR && !running.cancelled {
            self.ramp.good_answer(running.epoch, slots);
        } else {
            self.ramp.bad_answer();
        }
    }

    /// Returns how many requests may run now.
    fn limit(&self, slots: u32) -> u32 {
        let ramp = self.ramp.limit(slots);
        let cold = self.limits.cold_slots.max(1);
        let inherited = self.inheritance.limit(self.seen, cold, slots);
        let hint = self
            .hint
            .filter(|(at, _)| self.seen.saturating_sub(*at) < HINT_TTL)
            .map(|(_, limit)| limit);
        ramp.min(inherited.unwrap_or(u32::MAX))
            .min(hint.unwrap_or(u32::MAX))
            .min(self.knee.limit().unwrap_or(u32::MAX))
    }
}
