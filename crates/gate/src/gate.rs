//! Admission control for one upstream: counts the requests that it processes
//! and enforces its concurrency limit.

mod statements;

use crate::cold::{ColdLimit, ColdRateLimiter};
use crate::crowding::Crowding;
use crate::knee::KneeFinder;
use crate::predecessor::PredecessorLoad;
use crate::queue::{PushResult, Queue, QueueContext, SlotRequest};
use crate::ramp::Ramp;
use crate::restart::{RestartDetector, Start};
use crate::service_times::ServiceTimes;
use crate::slots::{Running, Slots, Ticket};
use crate::stated_limit::RateLimiter;
use overload::CustomerShares;
use std::time::Duration;
use wire::{Announcement, Load, RefuseReason};

/// Maximum number of announced slots that is accepted, which is the number of
/// connections that an upstream can handle.
pub const MAX_SLOTS: u32 = 200;
/// Time for which a reported limit or slowness is valid.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Maximum time in the queue, in multiples of the service time.
const MAX_WAIT_SERVICE_TIMES: u32 = 1;
/// Bounds of the maximum time in the queue.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(5);
const MAX_WAIT_LIMIT: Duration = Duration::from_millis(200);
/// Slowness of an upstream at its normal speed, in percent.
const NORMAL_PERCENT: u32 = 100;
/// Slowness up to which service times are comparable, in percent.
const NEAR_NORMAL_PERCENT: u32 = 150;
/// First HTTP status of a server error.
pub const MIN_SERVER_ERROR: u16 = 500;

/// Settings of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateLimits {
    /// Concurrency limit at the beginning of a cold start.
    pub cold_slots: u32,
    /// Responses within the normal service time that raise the limit by one
    /// slot.
    pub ramp_answers: u32,
    /// Queue capacity as a fraction of the concurrency limit, 0 to 1.
    pub queue_ratio: f64,
    /// Time without a request after which the upstream counts as cold.
    pub idle: Duration,
    /// Whether the limit is set below the number of slots if measured service
    /// times show that this increases the throughput.
    pub finds_knee: bool,
    /// Whether load reports of the upstream are expected.
    pub expects_reports: bool,
    /// Whether every request is admitted; used for measurements without a gate.
    pub unlimited: bool,
}

/// What happens with an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The request has a slot and runs now.
    Running,
    /// The request is queued until [`Gate::admit_queued`] gives it a slot or
    /// [`Gate::remove_expired`] removes it.
    Queued {
        /// Request that was removed from the queue in favour of this one and
        /// must be refused.
        displaced: Option<Ticket>,
    },
}

/// Load that an upstream reports about itself. A report may be outdated or
/// wrong, so it can only lower the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the upstream reports to be processing.
    pub in_flight: u32,
    /// Concurrency limit that the upstream reports, if it reports one.
    pub limit: Option<u32>,
    /// Reported service time in percent of the normal one, if it is reported.
    pub slow_percent: Option<u32>,
}

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received, with this HTTP status.
    Whole(u16),
    /// The connection was refused; the upstream received nothing.
    Refused,
    /// The upstream responded that it did not run the request.
    Rejected,
    /// The connection broke; the request may have run.
    Broken,
}

/// Controls admission to one upstream.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    announced: Option<Announcement>,
    slots: Slots,
    ramp: Ramp,
    service_times: ServiceTimes,
    predecessor: PredecessorLoad,
    restarts: RestartDetector,
    queue: Queue,
    cold_rate: ColdRateLimiter,
    knee: KneeFinder,
    stated_limit: RateLimiter,
    crowding: Crowding,
    /// Requests that got a slot recently, by customer.
    served: CustomerShares,
    /// Whether a response of this start of the upstream stated that it is leaving.
    stated_leaving: bool,
    /// Whether this start of the upstream stated anything that was in force.
    has_stated: bool,
    /// Number of starts of the upstream, and of changes of its service, that were announced.
    start: u64,
    limit_hint: Option<(Duration, u32)>,
    reported_slowness: Option<(Duration, u32)>,
    /// Time of the last report that began, continued or ended a slow period.
    last_slow: Option<Duration>,
    last_active: Duration,
    clock: Duration,
}

impl Gate {
    /// Creates a gate that has not received an announcement yet.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            announced: None,
            slots: Slots::default(),
            ramp: Ramp::new(limits.cold_slots, limits.ramp_answers),
            service_times: ServiceTimes::default(),
            predecessor: PredecessorLoad::new(limits.expects_reports),
            restarts: RestartDetector::default(),
            queue: Queue::default(),
            cold_rate: ColdRateLimiter::default(),
            knee: KneeFinder::default(),
            stated_limit: RateLimiter::default(),
            crowding: Crowding::default(),
            served: CustomerShares::default(),
            stated_leaving: false,
            has_stated: false,
            start: 0,
            limit_hint: None,
            reported_slowness: None,
            last_slow: None,
            last_active: Duration::ZERO,
            clock: Duration::ZERO,
        }
    }

    /// Sets the maximum remaining run time of requests that a predecessor of
    /// this gate may have left running.
    pub fn set_longest_deadline(&mut self, longest: Duration) {
        self.predecessor.set_longest_deadline(longest);
    }

    /// Applies an announcement of the upstream. If it reveals a new start, returns the
    /// requests that are known to be lost with the start before, and otherwise `None`.
    pub fn announce(
        &mut self,
        now: Duration,
        mut announcement: Announcement,
    ) -> Option<Vec<Ticket>> {
        self.advance_clock(now);
        announcement.slots = announcement.slots.min(MAX_SLOTS);
        self.ramp.clamp(announcement.slots);
        let start = self.restarts.record_boot(&announcement.boot);
        let known_service = self.announced.as_ref().map(|a| a.service.as_str());
        let is_other_service = known_service.is_some_and(|s| s != announcement.service);
        if start != Start::Same || is_other_service {
            self.forget_start();
        }
        if is_other_service {
            self.forget_service();
        }
        announcement.leaving |= self.stated_leaving;
        let cold_remaining = Duration::from_millis(announcement.cold_ms);
        let age = announcement.age_ms.map(Duration::from_millis);
        self.cold_rate.record_announced(now, cold_remaining);
        let not_leaving = !announcement.leaving;
        let old = self.announced.replace(announcement);
        let returns = old.is_some_and(|old| old.leaving && not_leaving);
        match start {
            Start::First => {
                self.predecessor.begin(now);
                self.cold_rate
                    .record_first_announcement(now, cold_remaining, age);
            }
            Start::Same if is_other_service || returns => self.assume_cold(now),
            Start::Same => {}
            Start::Earlier => self.assume_cold(now),
            Start::Untrusted => {
                self.assume_cold(now);
                return Some(Vec::new());
            }
            Start::Restarted => {
                self.predecessor.end();
                self.assume_cold(now);
                let lost = self.slots.clear();
                self.restarts.record_freed(&lost);
                return Some(lost);
            }
        }
        None
    }

    /// Returns the last announcement, with its slots capped at [`MAX_SLOTS`].
    #[must_use]
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref()
    }

    /// Returns the number of the start of the upstream; 0 before the first announcement.
    #[must_use]
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Applies a load report of the upstream.
    pub fn record_report(&mut self, now: Duration, report: LoadReport) {
        self.advance_clock(now);
        match report.slow_percent {
            // A report with a response is current, so its count includes the
            // requests of this gate.
            Some(_) => {
                let foreign = report.in_flight.saturating_sub(self.slots.len());
                self.predecessor.record_prompt_report(foreign);
            }
            None => self.predecessor.record_report(now, report.in_flight),
        }
        self.limit_hint = report.limit.map(|limit| (now, limit));
        if let Some(slow) = report.slow_percent {
            if !self.is_near_normal_speed() || slow > NEAR_NORMAL_PERCENT {
                self.last_slow = Some(now);
            }
            self.reported_slowness = Some((now, slow));
        }
    }

    /// Records that a request was refused because there was no slot. Returns the time for
    /// which one of `entries` entries should send no request that ranks no higher.
    pub fn record_no_slot(&mut self, now: Duration, entries: usize) -> Duration {
        self.advance_clock(now);
        self.crowding.record_refusal(now);
        let load = self.load();
        let service_time = Duration::from_micros(u64::from(load.service_us));
        let service_time = service_time.mul_f64(self.slowness());
        self.crowding
            .pause(now, (service_time, load.limit), entries)
    }

    /// Sets the rate limit of a cold upstream; `None` disables it.
    pub fn set_cold_limit(&mut self, limit: Option<ColdLimit>) {
        self.cold_rate.set_limit(limit);
    }

    /// Resets the upstream to the cold state, because it may have restarted or
    /// its data centre returns to service.
    pub fn assume_cold(&mut self, now: Duration) {
        self.advance_clock(now);
        self.ramp.reset();
        self.cold_rate.suspect_restart();
    }

    /// Returns whether the upstream states that it is cold.
    #[must_use]
    pub fn is_stated_cold(&self, now: Duration) -> bool {
        self.cold_rate.is_stated(now)
    }

    /// Gives a request a slot, or queues it for a short time.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request must not run now.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &SlotRequest,
    ) -> Result<Placement, RefuseReason> {
        self.advance_clock(now);
        self.check_service(&request.service)?;
        let idle = now.saturating_sub(self.last_active) >= self.limits.idle;
        if idle && self.slots.len() == 0 {
            self.ramp.reset();
        }
        let preference = self.preference(request);
        let by_rate = self.stated_limit.allows(now, preference);
        if self.limits.unlimited || by_rate && self.has_free_slot() {
            self.begin_run(now, request);
            return Ok(Placement::Running);
        }
        self.check_stated_limit(request)?;
        self.enqueue(now, request)
    }

    /// Checks whether a request would get a slot or a place in the queue now.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it would be refused.
    pub fn check_room(&mut self, now: Duration, request: &SlotRequest) -> Result<(), RefuseReason> {
        self.advance_clock(now);
        self.check_service(&request.service)?;
        let preference = self.preference(request);
        let by_rate = self.stated_limit.allows(now, preference);
        if self.limits.unlimited || by_rate && self.has_free_slot() {
            return Ok(());
        }
        self.check_stated_limit(request)?;
        let load = self.load();
        let cx = QueueContext {
            now,
            slots: &self.slots,
            served: &self.served,
            limit: load.limit,
            service_times: &self.service_times,
            slowness: self.slowness(),
        };
        let capacity = self.queue_capacity(load.limit);
        match self.queue.has_room(request, capacity, cx) {
            true => Ok(()),
            false => Err(full_reason(&load)),
        }
    }

    /// Gives a free slot to the queued request with the highest rank.
    pub fn admit_queued(&mut self, now: Duration) -> Option<Ticket> {
        self.advance_clock(now);
        if !self.has_free_slot() || self.is_leaving() || !self.stated_limit.has_token(now) {
            return None;
        }
        let request = self.queue.pop(QueueContext {
            now,
            slots: &self.slots,
            served: &self.served,
            limit: self.load().limit,
            service_times: &self.service_times,
            slowness: self.slowness(),
        })?;
        self.begin_run(now, &request);
        Some(request.ticket)
    }

    /// Removes all requests from the queue if the upstream is leaving.
    pub fn remove_if_leaving(&mut self) -> Vec<Ticket> {
        match self.is_leaving() {
            true => self.queue.clear(),
            false => Vec::new(),
        }
    }

    /// Returns the time until a request that the stated rate rejects now can be admitted,
    /// behind those that were told to come back.
    pub fn retry_after_limited(&mut self, now: Duration) -> Duration {
        self.advance_clock(now);
        self.stated_limit.promise_retry(now)
    }

    /// Removes the requests from the queue whose waiting time has expired.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Ticket> {
        self.advance_clock(now);
        self.queue.remove_expired(now)
    }

    /// Removes a request from the queue, or frees the slot of a request that
    /// was never sent to the upstream.
    pub fn withdraw(&mut self, ticket: Ticket) {
        if !self.queue.remove(ticket) {
            self.slots.free(ticket);
        }
    }

    /// Records that the upstream was asked to cancel a request. The slot stays
    /// occupied until [`Gate::finish`].
    pub fn cancel(&mut self, ticket: Ticket) {
        self.slots.mark_cancelled(ticket);
    }

    /// Frees the slot of a request that has ended at the upstream. Returns
    /// whether the request held a slot.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) -> bool {
        self.advance_clock(now);
        let concurrency = self.slots.len();
        let Some(running) = self.slots.free(ticket) else {
            self.restarts
                .record_end(ticket, matches!(outcome, Outcome::Whole(_)));
            return false;
        };
        self.last_active = now;
        match outcome {
            Outcome::Whole(status) => {
                self.record_response(now, &running, running.concurrency.max(concurrency), status);
            }
            Outcome::Rejected => self.ramp.discard_progress(),
            Outcome::Broken if running.cancelled => {}
            Outcome::Refused | Outcome::Broken => self.assume_cold(now),
        }
        true
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let slots = self.announced.as_ref().map_or(0, |a| a.slots);
        Load {
            in_flight: self.slots.len(),
            limit: self.limit(slots),
            service_us: self.service_times.service_us(),
            cold: self.ramp.is_cold(slots) || self.cold_rate.is_cold(self.clock),
            waiting: self.queue.len(),
            slow_percent: self.slow_percent(),
        }
    }

    /// Advances the clock of the gate.
    pub fn advance_clock(&mut self, now: Duration) {
        self.clock = self.clock.max(now);
        self.cold_rate.advance_clock(now);
    }

    /// Discards what the start of the upstream has stated, because another one has the
    /// address. How slow the VM is stays known.
    fn forget_start(&mut self) {
        self.start += 1;
        self.stated_limit.reset();
        self.cold_rate.forget_statements();
        self.stated_leaving = false;
        self.has_stated = false;
        self.limit_hint = None;
    }

    /// Discards what was measured of the upstream's service, because the next one has
    /// another.
    fn forget_service(&mut self) {
        self.knee.reset();
        self.service_times = ServiceTimes::default();
        self.crowding = Crowding::default();
        self.served = CustomerShares::default();
    }

    fn check_service(&self, service: &str) -> Result<(), RefuseReason> {
        let announced = self.announced.as_ref().ok_or(RefuseReason::NoUpstream)?;
        if announced.service != service {
            return Err(RefuseReason::NoUpstream);
        }
        if announced.leaving {
            return Err(RefuseReason::Leaving);
        }
        Ok(())
    }

    fn is_leaving(&self) -> bool {
        self.announced.as_ref().is_some_and(|a| a.leaving)
    }

    /// Returns how a request ranks for the tokens of a stated rate: calls first, as the
    /// request that made them holds a slot elsewhere, then by the weight of the class;
    /// requests whose response would be late come last.
    fn preference(&self, request: &SlotRequest) -> u32 {
        let typical_us = self.service_times.of_class(self.clock, &request.class);
        let expected = Duration::from_micros(typical_us.into()).mul_f64(self.slowness());
        let late = request
            .objective
            .is_some_and(|at| self.clock + expected > at);
        match (request.is_call, late) {
            (_, true) => 0,
            (true, false) => u32::MAX,
            (false, false) => request.weight,
        }
    }

    /// Checks whether the stated rate admits a request while it may wait in the queue.
    fn check_stated_limit(&mut self, request: &SlotRequest) -> Result<(), RefuseReason> {
        let preference = self.preference(request);
        let waiting = self.queue.len();
        let delay = self.stated_limit.delay(self.clock, preference, waiting);
        match delay < self.wait_limit() {
            true => Ok(()),
            false => Err(RefuseReason::Limited),
        }
    }

    /// Returns the maximum time in the queue.
    fn wait_limit(&self) -> Duration {
        let service_time = Duration::from_micros(u64::from(self.service_times.service_us()));
        (service_time * MAX_WAIT_SERVICE_TIMES).clamp(MIN_WAIT_LIMIT, MAX_WAIT_LIMIT)
    }

    /// Returns until when a request may wait in the queue under overload, where no other
    /// gate would have a slot for it: as long as its response can be in time.
    fn latest_start(&self, now: Duration, request: &SlotRequest) -> Option<Duration> {
        let load = self.load();
        let service_time = Duration::from_micros(load.service_us.into()).mul_f64(self.slowness());
        if !self.crowding.is_overloaded(now, service_time, load.limit) {
            return None;
        }
        let typical_us = self.service_times.of_class(self.clock, &request.class);
        let expected = Duration::from_micros(typical_us.into()).mul_f64(self.slowness());
        let latest = request.objective?.saturating_sub(expected);
        Some(latest.max(now + self.wait_limit()))
    }

    fn has_free_slot(&self) -> bool {
        let load = self.load();
        load.in_flight < load.limit && self.cold_rate.allows(self.clock)
    }

    fn is_near_normal_speed(&self) -> bool {
        self.slow_percent() <= NEAR_NORMAL_PERCENT
    }

    fn slow_percent(&self) -> u32 {
        let recent = |(at, _): &(Duration, u32)| self.clock.saturating_sub(*at) < REPORT_TTL;
        self.reported_slowness
            .filter(recent)
            .map_or(0, |(_, slow)| slow)
    }

    /// Returns the current service time relative to the normal one, at
    /// least 1.
    fn slowness(&self) -> f64 {
        f64::from(self.slow_percent().max(NORMAL_PERCENT)) / f64::from(NORMAL_PERCENT)
    }

    fn begin_run(&mut self, now: Duration, request: &SlotRequest) {
        self.last_active = now;
        self.cold_rate.record_sent(now);
        self.stated_limit.record_sent(now);
        self.service_times.record_start(now, &request.class);
        if !request.is_call {
            self.served
                .record_served(now, &request.customer, request.share);
        }
        self.slots.take(
            request.ticket,
            Running {
                since: now,
                customer: request.customer.clone(),
                class: request.class.clone(),
                share: request.share,
                is_call: request.is_call,
                start: self.start,
                concurrency: self.slots.len() + 1,
                epoch: self.ramp.epoch(),
                cancelled: false,
            },
        );
    }

    fn enqueue(&mut self, now: Duration, request: &SlotRequest) -> Result<Placement, RefuseReason> {
        let load = self.load();
        let expires = self
            .latest_start(now, request)
            .unwrap_or(now + self.wait_limit());
        let capacity = self.queue_capacity(load.limit);
        let cx = QueueContext {
            now,
            slots: &self.slots,
            served: &self.served,
            limit: load.limit,
            service_times: &self.service_times,
            slowness: self.slowness(),
        };
        match self.queue.push(request, expires, capacity, cx) {
            PushResult::Queued => Ok(Placement::Queued { displaced: None }),
            PushResult::Displaced(ticket) => Ok(Placement::Queued {
                displaced: Some(ticket),
            }),
            PushResult::Full => Err(full_reason(&load)),
        }
    }

    /// Returns the queue capacity at a concurrency limit.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    fn queue_capacity(&self, limit: u32) -> u32 {
        (f64::from(limit) * self.limits.queue_ratio).ceil() as u32
    }

    /// Updates service times and limits after a response. `concurrency` is the
    /// number of requests that ran at the same time, including this one.
    fn record_response(&mut self, now: Duration, running: &Running, concurrency: u32, status: u16) {
        let service_time = now.saturating_sub(running.since).div_f64(self.slowness());
        let normal = self.service_times.record(now, &running.class, service_time);
        let slots = self.announced.as_ref().map_or(0, |a| a.slots);
        // Few requests run during a slow period, so a request that overlaps one
        // would make a low concurrency look slow.
        let overlaps_slow_period = self.last_slow.is_some_and(|at| at >= running.since);
        let comparable = !overlaps_slow_period && self.is_near_normal_speed();
        if status < MIN_SERVER_ERROR && self.limits.finds_knee && comparable {
            let seconds = service_time.as_secs_f64();
            self.knee
                .record(&running.class, concurrency, slots, seconds);
        }
        if self.limit(slots) < self.ramp.limit(slots) {
            return;
        }
        if status >= MIN_SERVER_ERROR && self.ramp.is_cold(slots) {
            // The upstream may have received more than it can handle while it
            // warms up.
            self.ramp.reset();
        } else if normal && status < MIN_SERVER_ERROR && !running.cancelled {
            self.ramp.record_normal_response(running.epoch, slots);
        } else {
            self.ramp.discard_progress();
        }
    }

    /// Returns the current concurrency limit.
    fn limit(&self, slots: u32) -> u32 {
        let ramp = self.ramp.limit(slots);
        let cold = self.limits.cold_slots.max(1);
        let predecessor = self.predecessor.limit(self.clock, cold, slots);
        let hint = self
            .limit_hint
            .filter(|(at, _)| self.clock.saturating_sub(*at) < REPORT_TTL)
            .map(|(_, limit)| limit);
        ramp.min(predecessor.unwrap_or(u32::MAX))
            .min(hint.unwrap_or(u32::MAX))
            .min(self.knee.limit().unwrap_or(u32::MAX))
    }
}

/// Returns why a gate without room refuses a request.
fn full_reason(load: &Load) -> RefuseReason {
    match load.cold {
        true => RefuseReason::Cold,
        false => RefuseReason::NoSlot,
    }
}
