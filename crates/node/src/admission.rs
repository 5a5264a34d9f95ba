//! The gate's role: admission to the upstream beside this daemon.

mod check;
mod crash;
mod handed;
mod jobs;
mod message;
mod suspects;
mod watchers;

pub use message::{Arrival, Effect, Event};

use crate::context::Cx;
use crate::effect::LogLine;
use check::share;
use conf::Settings;
use gate::{ColdLimit, Gate, GateLimits, Outcome, Placement, SlotRequest, Ticket};
use handed::HandedClaims;
use jobs::{Job, Jobs, Stage};
use pick::{MeasuringBudget, MeasuringCount};
use prost::Message;
use std::time::Duration;
use suspects::{Permit, Suspects, eligible};
use watchers::Watchers;
use wire::{Announcement, Body, Load, LoadUpdate, RefuseReason, ServiceId, Suspect, UpstreamId};

/// Requests that wait until they may run alone, at most.
const MAX_HELD: usize = 8;
/// Time that a request waits at most until it may run alone.
const HOLD_BOUND: Duration = Duration::from_secs(2);
/// Time after its cancellation for which a request that runs alone keeps
/// others out.
const HUNG_AFTER: Duration = Duration::from_secs(2);
/// When a request refused for another reason than its slot may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most bytes that reading a load report takes, both ways and with headers.
pub const REPORT_READ_COST_BYTES: u32 = 512;
/// Thousandths in a unit.
const MILLI: u64 = 1_000;
/// Bytes around a load in an answer: its tag and its length.
const LOAD_FRAME_BYTES: usize = 2;
/// Bytes of a message of its own besides what it carries, with the headers of
/// a TCP segment.
const NEWS_FRAME_BYTES: usize = 60;

/// The gate's role.
#[derive(Debug)]
pub struct Admission {
    gate: Gate,
    jobs: Jobs,
    handed: HandedClaims,
    suspects: Suspects,
    measuring: MeasuringBudget,
    watchers: Watchers,
    stuck_after: Duration,
    isolates: bool,
    broke_at: Option<Duration>,
    was_out: bool,
    stopping: bool,
}

impl Admission {
    /// Creates the role for an upstream that has not announced itself yet.
    /// Without a gate, everything is admitted whatever the limit; that is for
    /// measurements only.
    #[must_use]
    pub fn new(settings: &Settings, gateless: bool) -> Self {
        let limits = GateLimits {
            cold_slots: settings.gate.cold_slots,
            ramp_answers: settings.gate.ramp_answers,
            queue_ratio: settings.gate.queue_ratio,
            idle: settings.gate.idle_timeout,
            finds_knee: settings.gate.find_knee,
            expects_reports: settings
                .upstream
                .as_ref()
                .is_some_and(|u| u.load_path.is_some()),
            unlimited: gateless,
        };
        let routing = &settings.routing;
        Self {
            gate: Gate::new(limits),
            jobs: Jobs::default(),
            handed: HandedClaims::default(),
            suspects: Suspects::default(),
            measuring: MeasuringBudget::new(routing.probe_bytes, routing.probe_messages),
            watchers: Watchers::default(),
            stuck_after: settings.gate.stuck_timeout,
            isolates: settings.gate.isolate_suspects,
            broke_at: None,
            was_out: false,
            stopping: false,
        }
    }

    /// Returns the gate's exact load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.gate.load()
    }

    /// Returns the load for an answer, if the budget for measuring pays for
    /// the bytes.
    pub fn load_to_send(&mut self, now: Duration) -> Option<Load> {
        let load = self.gate.load();
        let bytes = u32::try_from(load.encoded_len() + LOAD_FRAME_BYTES).unwrap_or(u32::MAX);
        self.measuring.spend(now, bytes, 0).then_some(load)
    }

    /// Returns whether the budget for measuring pays for reading the
    /// upstream's load report now.
    pub fn may_read_report(&mut self, now: Duration) -> bool {
        self.measuring.spend(now, REPORT_READ_COST_BYTES, 1)
    }

    /// Returns what measuring the load has cost so far.
    #[must_use]
    pub fn measuring(&self) -> MeasuringCount {
        self.measuring.count()
    }

    /// Returns what the upstream last said of itself.
    #[must_use]
    pub fn announced(&self) -> Option<&Announcement> {
        self.gate.announced()
    }

    /// Takes an event in.
    pub fn step(&mut self, event: Event, cx: &mut Cx<'_>) {
        self.watch_out(cx);
        match event {
            Event::Arrived(arrival) => {
                self.watchers.used(cx.now, arrival.link);
                self.place(Job::new(arrival, cx.now), cx);
            }
            Event::Cancelled(ticket) => self.cancel(ticket, Effect::Cancel(ticket), cx),
            Event::Answering(..) => {}
            Event::Ended(ticket, outcome) => self.ended(ticket, outcome, cx),
            Event::Announced(announcement) => self.announce(announcement, cx),
            Event::Reported(report) => {
                self.gate.record_report(cx.now, report);
                self.tell_watchers(cx);
            }
        }
        self.run_waiting(cx);
        self.run_held(cx);
    }

    /// Lets time pass.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.gate.advance_clock(cx.now);
        self.watch_out(cx);
        self.suspects.tick(cx.now);
        let classes = cx.agent.config.plans.classes.values();
        if let Some(longest) = classes.map(|class| class.deadline).max() {
            self.gate.set_longest_deadline(longest);
        }
        self.limit_cold(cx);
        self.expire(cx);
        self.jobs.release_hung(cx.now.saturating_sub(HUNG_AFTER));
        self.log_stuck(cx);
        self.run_waiting(cx);
        self.run_held(cx);
    }

    /// Takes another gate's suspicion in.
    pub fn apply_suspicion(&mut self, suspect: &Suspect, cx: &mut Cx<'_>) {
        for state in &suspect.states {
            self.suspects.learn(cx.now, state);
        }
    }

    /// Begins a graceful stop: nothing new is admitted, and control is told
    /// that the upstream here is leaving.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.stopping = true;
        if let Some(announced) = self.gate.announced() {
            let leaving = Announcement {
                leaving: true,
                ..announced.clone()
            };
            cx.agent.announce(leaving);
        }
    }

    fn service(&self) -> ServiceId {
        let announced = self.gate.announced();
        announced.map_or_else(ServiceId::default, |a| a.service.as_str().into())
    }

    /// Tells the entries that sent here lately that the upstream's pace has
    /// changed, as far as the budget for measuring pays for it.
    fn tell_watchers(&mut self, cx: &mut Cx<'_>) {
        let load = self.gate.load();
        for link in self.watchers.due(cx.now, load.slow_percent) {
            let news = LoadUpdate {
                upstream: cx.agent.name.to_string(),
                load,
            };
            let bytes = u32::try_from(news.encoded_len() + NEWS_FRAME_BYTES).unwrap_or(u32::MAX);
            if !self.measuring.spend(cx.now, bytes, 1) {
                return;
            }
            let body = Body::LoadUpdate(news);
            cx.tx.push(crate::Effect::Reply { link, body });
        }
    }

    /// Limits what a cold upstream gets a second, as its service's rules say.
    fn limit_cold(&mut self, cx: &Cx<'_>) {
        let service = self.service();
        let rules = cx.agent.config.routing.service(&service);
        let limit = rules.map(|r| ColdLimit {
            per_second: u32::try_from(r.cold_per_s_milli / MILLI).unwrap_or(u32::MAX),
            duration: Duration::from_millis(r.cold_ms),
        });
        self.gate.set_cold_limit(limit.filter(|l| l.per_second > 0));
    }

    /// Counts the upstream as cold when operators have returned it.
    fn watch_out(&mut self, cx: &Cx<'_>) {
        let out = cx.agent.is_out(&cx.agent.name, &cx.agent.data_centre);
        if self.was_out && !out {
            self.gate.assume_cold(cx.now);
        }
        self.was_out = out;
    }

    /// Returns whether an announcement is older than one that was taken in: of
    /// an earlier start of the upstream, or overtaken on its way.
    #[must_use]
    pub fn is_outdated(&self, announcement: &Announcement) -> bool {
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        let known = self.gate.announced();
        known.is_some_and(|known| known.incarnation > 0 && order(announcement) <= order(known))
    }

    fn announce(&mut self, mut announcement: Announcement, cx: &mut Cx<'_>) {
        if self.is_outdated(&announcement) {
            return;
        }
        announcement.leaving |= self.stopping;
        let lost = self.gate.announce(cx.now, announcement);
        let lost: Vec<Job> = lost
            .into_iter()
            .filter_map(|ticket| self.jobs.remove(ticket))
            .collect();
        self.started_again(lost, cx);
        if let Some(announced) = self.gate.announced() {
            cx.agent.service(&announced.service);
            cx.agent.announce(announced.clone());
        }
    }

    /// Places a request that arrives, or whose standing changed while it
    /// waited for a slot.
    fn place(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let ticket = job.arrival.ticket;
        match self.permit(&job.arrival, cx) {
            Ok(Permit::Free) if self.jobs.is_confined() => {
                self.refuse(ticket, RefuseReason::NoSlot, None, cx);
            }
            Ok(Permit::Free) => self.admit(job, cx),
            Ok(Permit::Alone) if self.jobs.held() >= MAX_HELD => {
                self.refuse(ticket, RefuseReason::NoSlot, None, cx);
            }
            Ok(Permit::Alone) => {
                job.alone = true;
                job.stage = Stage::Held;
                self.jobs.insert(job);
            }
            Ok(Permit::Elsewhere(only_at)) => {
                self.refuse(ticket, RefuseReason::Suspect, Some(only_at), cx);
            }
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    /// Checks a request, and whether crashes restrict it. One that the entry
    /// saw break runs alone even if the word of the gate it broke at is still
    /// under way.
    fn permit(&self, arrival: &Arrival, cx: &mut Cx<'_>) -> Result<Permit, RefuseReason> {
        self.check(arrival, cx)?;
        let name = cx.agent.name.clone();
        let eligible = eligible(&self.service(), cx);
        let permit = self
            .suspects
            .permit(cx.now, arrival.fingerprint, &name, &eligible)?;
        Ok(match permit {
            Permit::Free if arrival.suspected => Permit::Alone,
            permit => permit,
        })
    }

    /// Hands a request over if there is a slot for it.
    fn admit(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let arrival = &job.arrival;
        let ticket = arrival.ticket;
        let ask = SlotRequest {
            ticket,
            service: arrival.service.clone(),
            customer: arrival.customer.clone(),
            share: share(&arrival.customer, cx.agent),
            class: arrival.class.clone(),
            weight: arrival.weight,
            objective: arrival.objective.map(|o| job.arrived + o),
        };
        match self.gate.admit(cx.now, &ask) {
            Ok(Placement::Running) => self.hand_over(job, cx),
            Ok(Placement::Queued { .. }) if job.alone => {
                self.gate.withdraw(ticket);
                self.refuse(ticket, RefuseReason::NoSlot, None, cx);
            }
            Ok(Placement::Queued { displaced }) => {
                job.stage = Stage::Waiting;
                self.jobs.insert(job);
                if let Some(displaced) = displaced {
                    self.jobs.remove(displaced);
                    self.refuse(displaced, RefuseReason::NoSlot, None, cx);
                }
            }
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    fn hand_over(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let ticket = job.arrival.ticket;
        if job.arrival.claim != 0 {
            self.handed.add(job.arrival.claim);
        }
        job.stage = Stage::Running;
        self.jobs.insert(job);
        push(cx, Effect::Run(ticket));
    }

    /// Runs the requests that wait for a slot, as far as there are slots.
    fn run_waiting(&mut self, cx: &mut Cx<'_>) {
        for ticket in self.gate.remove_expired(cx.now) {
            self.jobs.remove(ticket);
            self.refuse(ticket, RefuseReason::NoSlot, None, cx);
        }
        while !self.jobs.is_confined() {
            let Some(ticket) = self.gate.admit_queued(cx.now) else {
                return;
            };
            let Some(job) = self.jobs.remove(ticket) else {
                self.gate.withdraw(ticket);
                continue;
            };
            if self.permit(&job.arrival, cx) == Ok(Permit::Free) {
                self.hand_over(job, cx);
            } else {
                self.gate.withdraw(ticket);
                self.place(job, cx);
            }
        }
    }

    /// Runs the oldest request that must run alone, once nothing else runs.
    /// Until then nothing new is admitted, for a bounded time.
    fn run_held(&mut self, cx: &mut Cx<'_>) {
        let bound = cx.now.saturating_sub(HOLD_BOUND);
        let overdue = self
            .jobs
            .select(|j| j.stage == Stage::Held && j.arrived <= bound && cx.now >= HOLD_BOUND);
        for ticket in overdue {
            self.jobs.remove(ticket);
            self.refuse(ticket, RefuseReason::NoSlot, None, cx);
        }
        if self.jobs.any_running() || self.may_be_crashing(cx.now) {
            return;
        }
        let Some(ticket) = self.jobs.first_held().map(|j| j.arrival.ticket) else {
            return;
        };
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        match self.permit(&job.arrival, cx) {
            Ok(Permit::Free | Permit::Alone) => self.admit(job, cx),
            Ok(Permit::Elsewhere(only_at)) => {
                self.refuse(ticket, RefuseReason::Suspect, Some(only_at), cx);
            }
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    fn ended(&mut self, ticket: Ticket, outcome: Outcome, cx: &mut Cx<'_>) {
        self.gate.finish(cx.now, ticket, outcome);
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        match outcome {
            Outcome::Whole(_) if job.alone => self.acquit(job.arrival.fingerprint, cx),
            Outcome::Whole(_) => {}
            Outcome::Rejected => self.handed.remove(job.arrival.claim),
            Outcome::Refused => {
                self.handed.remove(job.arrival.claim);
                self.unreachable(cx);
                if job.alone {
                    self.confine_elsewhere(job.arrival.fingerprint, cx);
                }
            }
            Outcome::Broken if job.stage == Stage::Running => self.broke(&job, cx),
            Outcome::Broken => {}
        }
    }

    /// Drops a request that was not handed over, or asks the upstream to drop
    /// a running one.
    fn cancel(&mut self, ticket: Ticket, effect: Effect, cx: &mut Cx<'_>) {
        let Some(job) = self.jobs.get_mut(ticket) else {
            return;
        };
        match job.stage {
            Stage::Cancelled(_) => return,
            Stage::Held | Stage::Waiting => {
                self.gate.withdraw(ticket);
                self.jobs.remove(ticket);
            }
            Stage::Running => {
                job.stage = Stage::Cancelled(cx.now);
                self.gate.cancel(ticket);
            }
        }
        push(cx, effect);
    }

    fn expire(&mut self, cx: &mut Cx<'_>) {
        let late = self.jobs.select(|job| job.deadline <= cx.now);
        for ticket in late {
            if self.jobs.is_handed_over(ticket) {
                self.cancel(ticket, Effect::Expire(ticket), cx);
            } else {
                self.gate.withdraw(ticket);
                self.jobs.remove(ticket);
                self.refuse(ticket, RefuseReason::Deadline, None, cx);
            }
        }
    }

    fn log_stuck(&mut self, cx: &mut Cx<'_>) {
        let (now, bound) = (cx.now, self.stuck_after);
        let stuck = self.jobs.select(|job| match job.stage {
            Stage::Cancelled(at) => !job.stuck && now.saturating_sub(at) >= bound,
            Stage::Held | Stage::Waiting | Stage::Running => false,
        });
        for ticket in stuck {
            if let Some(job) = self.jobs.get_mut(ticket) {
                job.stuck = true;
                cx.tx.push(crate::Effect::Log(LogLine {
                    level: log::Level::Warn,
                    event: "slot_stuck",
                    pairs: vec![
                        ("ticket", ticket.to_string()),
                        ("class", job.arrival.class.to_string()),
                    ],
                }));
            }
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: RefuseReason,
        only_at: Option<UpstreamId>,
        cx: &mut Cx<'_>,
    ) {
        let retry_after = match reason {
            RefuseReason::NoSlot | RefuseReason::Cold => {
                Duration::from_micros(self.gate.load().service_us.into())
            }
            _ => RETRY_AFTER,
        };
        let load = self.load_to_send(cx.now).unwrap_or_default();
        push(
            cx,
            Effect::Refuse {
                ticket,
                reason,
                load,
                retry_after,
                only_at,
            },
        );
    }
}

fn push(cx: &mut Cx<'_>, effect: Effect) {
    cx.tx.push(crate::Effect::Admission(effect));
}
