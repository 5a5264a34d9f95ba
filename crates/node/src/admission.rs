//! Admission control for the upstream beside this daemon: the gate.
//!
//! Each request that an entry forwards runs now, waits for a slot or is
//! refused. Requests that may crash the upstream run exclusively, with no other
//! request beside them.

mod address;
mod announcements;
mod breaks;
mod check;
mod completions;
mod crash;
mod crash_counts;
mod dispatched;
mod evidence;
mod jobs;
mod load;
mod message;
mod recent_entries;
mod rollout;
mod starts;
mod statements;
mod suspects;
mod waiting;

pub use evidence::{Evidence, EvidenceRun, UpstreamState};
pub use load::REPORT_READ_COST_BYTES;
pub use message::{Arrival, Effect, Event, UpstreamStart};
pub use statements::{ReadStatement, StatementCounts};

use crate::agent::Agent;
use crate::context::Cx;
use crate::effect::LogLine;
use address::Address;
use breaks::Breaks;
use check::customer_share;
use completions::{Completions, is_completion};
use conf::Settings;
use crash_counts::CrashCounts;
use dispatched::DispatchedClaims;
use gate::{ColdLimit, Gate, GateLimits, Outcome, Placement, SlotRequest, Ticket};
use jobs::{Job, Jobs, Stage};
use pick::MeasuringBudget;
use recent_entries::RecentEntries;
use starts::SupersededStarts;
use std::collections::BTreeSet;
use std::time::Duration;
use suspects::{Permit, Suspects, eligible_upstreams};
use wire::{Fingerprint, RefuseReason, ServiceId, Suspect, Term, UpstreamId};

/// Maximum number of requests that wait for exclusive execution.
const MAX_AWAITING_EXCLUSIVE: usize = 8;
/// Time after its cancellation for which an exclusive request that the upstream
/// has not finished still keeps others out.
const HUNG_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay sent with a refusal that has another cause than missing slots.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Thousandths in a unit.
const MILLI_PER_UNIT: u64 = 1_000;
/// The gate of this daemon.
#[derive(Debug)]
pub struct Admission {
    gate: Gate,
    jobs: Jobs,
    dispatched: DispatchedClaims,
    suspects: Suspects,
    breaks: Breaks,
    crash_counts: CrashCounts,
    completions: Completions,
    /// Convicted requests that ran here once more.
    retried: BTreeSet<Fingerprint>,
    evidence: Evidence,
    /// Term of the leader to which all crash counts were reported.
    counts_reported_in: Term,
    measuring: MeasuringBudget,
    recent_entries: RecentEntries,
    statement_counts: StatementCounts,
    stuck_timeout: Duration,
    isolate_suspects: bool,
    last_break_at: Option<Duration>,
    /// When a heartbeat was last sent early because the upstream may have ended.
    unconfirmed_reported_at: Option<Duration>,
    /// Time of the latest announcement.
    announced_at: Duration,
    /// When the upstream that holds the address started, if it states its age.
    started: Option<Duration>,
    /// When that start was first announced here.
    start_seen_at: Duration,
    superseded: SupersededStarts,
    address: Address,
    was_out: bool,
    stopping: bool,
}

impl Admission {
    /// Creates the gate of an upstream that has not announced itself yet. With
    /// `gateless`, every request is admitted regardless of the limit; this is
    /// for measurements only.
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
            dispatched: DispatchedClaims::default(),
            suspects: Suspects::default(),
            breaks: Breaks::default(),
            crash_counts: CrashCounts::default(),
            completions: Completions::default(),
            retried: BTreeSet::new(),
            evidence: Evidence::default(),
            counts_reported_in: 0,
            measuring: MeasuringBudget::new(routing.probe_bytes, routing.probe_messages),
            recent_entries: RecentEntries::default(),
            statement_counts: StatementCounts::default(),
            stuck_timeout: settings.gate.stuck_timeout,
            isolate_suspects: settings.gate.isolate_suspects,
            last_break_at: None,
            unconfirmed_reported_at: None,
            announced_at: Duration::ZERO,
            started: None,
            start_seen_at: Duration::ZERO,
            superseded: SupersededStarts::default(),
            address: Address::default(),
            was_out: false,
            stopping: false,
        }
    }

    /// Handles an event.
    pub fn step(&mut self, event: Event, cx: &mut Cx<'_>) {
        self.update_out_state(cx);
        match event {
            Event::Offered(arrival) => {
                self.recent_entries.record_request(cx.now, arrival.link);
                self.offer(&arrival, cx);
            }
            Event::Arrived(arrival) => {
                self.recent_entries.record_request(cx.now, arrival.link);
                self.schedule(Job::new(arrival, cx.now), cx);
            }
            Event::Informed(restriction) => self.on_informed(&restriction, cx),
            Event::Cancelled(ticket) => self.cancel(ticket, Effect::Cancel(ticket), cx),
            Event::ResponseStarted(ticket, read) => {
                self.record_run_response(ticket, cx.now);
                self.on_statement(ticket, read, cx);
            }
            Event::HealthResponse(read) => self.on_health_statement(read, cx),
            Event::Ended(ticket, outcome) => self.on_ended(ticket, outcome, cx),
            Event::Announced(announcement) => self.announce(announcement, cx),
            Event::Reported(report) => {
                self.record_sign_of_life(cx);
                self.gate.record_report(cx.now, report);
                self.notify_entries(cx);
            }
            Event::Answered { target, sent_at } => self.address.record_answer(target, sent_at),
            Event::ConnectionRefused => {
                self.address.record_refusal();
                self.connection_refused(cx);
            }
        }
        self.run_waiting(cx);
        self.run_exclusive(cx);
    }

    /// Handles deadlines, time-outs and queues that are due at the current
    /// time.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.gate.advance_clock(cx.now);
        self.update_out_state(cx);
        self.adopt_deregistration(cx);
        self.suspects.tick(cx.now);
        self.breaks.tick(cx.now);
        self.crash_counts.tick(cx.now);
        self.retried.retain(|f| cx.agent.convicted(*f));
        let classes = cx.agent.config.plans.classes.values();
        if let Some(longest) = classes.map(|class| class.deadline).max() {
            self.gate.set_longest_deadline(longest);
        }
        self.limit_cold(cx);
        self.review_rollout(cx);
        self.expire(cx);
        self.jobs
            .end_hung_exclusivity(cx.now.saturating_sub(HUNG_TIMEOUT));
        self.log_stuck(cx);
        self.run_waiting(cx);
        self.run_exclusive(cx);
    }

    /// Applies verdicts that another gate sent.
    pub fn apply_suspicion(&mut self, suspect: &Suspect, cx: &mut Cx<'_>) {
        for state in &suspect.states {
            self.suspects.apply(cx.now, state);
        }
    }

    /// Begins a graceful stop: new requests are refused, and this upstream is
    /// announced as leaving.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.stopping = true;
        self.announce_leaving(cx);
    }

    fn service(&self) -> ServiceId {
        let announced = self.gate.announced();
        announced.map_or_else(ServiceId::default, |a| a.service.as_str().into())
    }

    /// Limits the requests per second to a cold upstream as the routing rules
    /// of its service demand.
    fn limit_cold(&mut self, cx: &Cx<'_>) {
        let service = self.service();
        let rules = cx.agent.config.routing.service(&service);
        let limit = rules.map(|r| ColdLimit {
            per_second: u32::try_from(r.cold_per_s_milli / MILLI_PER_UNIT).unwrap_or(u32::MAX),
            duration: Duration::from_millis(r.cold_ms),
        });
        self.gate.set_cold_limit(limit.filter(|l| l.per_second > 0));
    }

    /// Treats the upstream as cold once operators have returned it to service.
    fn update_out_state(&mut self, cx: &Cx<'_>) {
        let out = cx.agent.is_out(&cx.agent.name, &cx.agent.data_centre);
        if self.was_out && !out {
            self.gate.assume_cold(cx.now);
        }
        self.was_out = out;
    }

    /// Schedules a request that has arrived, or one whose permit changed while
    /// it waited for a slot.
    fn schedule(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let ticket = job.arrival.ticket;
        match self.permit_now(&job, cx) {
            Ok(Permit::Unrestricted) if self.jobs.has_exclusive() => {
                self.refuse(ticket, RefuseReason::NoSlot, None, cx);
            }
            Ok(Permit::Unrestricted) => self.admit(job, cx),
            Ok(Permit::Exclusive) if self.jobs.awaiting_exclusive() >= MAX_AWAITING_EXCLUSIVE => {
                self.refuse(ticket, RefuseReason::NoSlot, None, cx);
            }
            Ok(Permit::Exclusive) => {
                job.exclusive = true;
                job.stage = Stage::AwaitingExclusive;
                self.jobs.insert(job);
            }
            Ok(Permit::Elsewhere(only_at)) => {
                self.refuse(ticket, RefuseReason::Suspect, Some(only_at), cx);
            }
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    /// Asks for the body of a request, unless the request would be refused now: its
    /// body would only delay others on the network link.
    fn offer(&mut self, arrival: &Arrival, cx: &mut Cx<'_>) {
        let ticket = arrival.ticket;
        let request = slot_request(arrival, cx.now, cx.agent);
        let room = match self.permit(arrival, cx) {
            Ok(Permit::Elsewhere(only_at)) => {
                return self.refuse(ticket, RefuseReason::Suspect, Some(only_at), cx);
            }
            Ok(Permit::Unrestricted) => self.gate.check_room(cx.now, &request),
            Ok(Permit::Exclusive) => Ok(()),
            Err(reason) => Err(reason),
        };
        match room {
            Ok(()) => push(cx, Effect::Receive(ticket)),
            Err(reason) => self.refuse(ticket, reason, None, cx),
        }
    }

    /// Checks a request and returns how it may run. A request that the entry
    /// marked as suspected runs exclusively even if the verdict of the gate
    /// where it broke has not arrived yet.
    fn permit(&self, arrival: &Arrival, cx: &mut Cx<'_>) -> Result<Permit, RefuseReason> {
        self.check(arrival, cx)?;
        let name = cx.agent.name.clone();
        let eligible = eligible_upstreams(&self.service(), cx);
        let permit = self
            .suspects
            .permit(cx.now, arrival.fingerprint, &name, &eligible)?;
        Ok(match permit {
            Permit::Unrestricted if arrival.suspected => Permit::Exclusive,
            permit => permit,
        })
    }

    /// Dispatches a request if a slot is free; otherwise queues or refuses it.
    fn admit(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let ticket = job.arrival.ticket;
        let request = slot_request(&job.arrival, job.arrived, cx.agent);
        match self.gate.admit(cx.now, &request) {
            Ok(Placement::Running) => self.dispatch(job, cx),
            Ok(Placement::Queued { .. }) if job.exclusive => {
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

    fn dispatch(&mut self, mut job: Job, cx: &mut Cx<'_>) {
        let ticket = job.arrival.ticket;
        if job.arrival.claim != 0 {
            self.dispatched.add(job.arrival.claim);
        }
        let fingerprint = job.arrival.fingerprint;
        if cx.agent.convicted(fingerprint) {
            self.retried.insert(fingerprint);
        }
        job.stage = Stage::Running;
        job.run = Some(self.begin_run(cx.now));
        self.jobs.insert(job);
        let start = self.upstream_start();
        push(cx, Effect::Run { ticket, start });
    }

    fn on_ended(&mut self, ticket: Ticket, outcome: Outcome, cx: &mut Cx<'_>) {
        self.gate.finish(cx.now, ticket, outcome);
        if matches!(outcome, Outcome::Whole(_) | Outcome::Rejected) {
            self.record_sign_of_life(cx);
        }
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        self.record_run_end(&job, outcome, cx.now);
        match outcome {
            Outcome::Whole(status) if !is_completion(status) => {}
            Outcome::Whole(_) if job.exclusive => self.acquit(job.arrival.fingerprint, cx),
            Outcome::Whole(_) => self.record_completion(job.arrival.fingerprint, cx),
            Outcome::Rejected => self.dispatched.remove(job.arrival.claim),
            Outcome::Refused => {
                self.dispatched.remove(job.arrival.claim);
                self.connection_refused(cx);
                if job.exclusive {
                    self.reassign(job.arrival.fingerprint, cx);
                }
            }
            Outcome::Broken if job.stage == Stage::Running => self.connection_broken(&job, cx),
            Outcome::Broken => self.cancelled_request_ended(&job, cx),
        }
    }

    /// Drops a request that was not dispatched, or asks the upstream to cancel
    /// a running one.
    fn cancel(&mut self, ticket: Ticket, effect: Effect, cx: &mut Cx<'_>) {
        self.record_run_cancelled(ticket, cx.now);
        let Some(job) = self.jobs.get_mut(ticket) else {
            return;
        };
        match job.stage {
            Stage::Cancelled(_) => return,
            Stage::AwaitingExclusive | Stage::Waiting => {
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
        let expired = self.jobs.select(|job| job.deadline <= cx.now);
        for ticket in expired {
            if self.jobs.is_dispatched(ticket) {
                self.cancel(ticket, Effect::Expire(ticket), cx);
            } else {
                self.gate.withdraw(ticket);
                self.jobs.remove(ticket);
                self.refuse(ticket, RefuseReason::Deadline, None, cx);
            }
        }
    }

    fn log_stuck(&mut self, cx: &mut Cx<'_>) {
        let (now, timeout) = (cx.now, self.stuck_timeout);
        let stuck = self.jobs.select(|job| match job.stage {
            Stage::Cancelled(at) => !job.stuck && now.saturating_sub(at) >= timeout,
            Stage::AwaitingExclusive | Stage::Waiting | Stage::Running => false,
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
            RefuseReason::Limited => {
                self.statement_counts.rejected += 1;
                self.gate.retry_after_limited(cx.now)
            }
            _ => DEFAULT_RETRY_AFTER,
        };
        let pause = match reason {
            RefuseReason::NoSlot => {
                let entries = self.recent_entries.count(cx.now);
                self.gate.record_no_slot(cx.now, entries)
            }
            _ => Duration::ZERO,
        };
        let load = self.load_to_send(cx.now).unwrap_or_default();
        push(
            cx,
            Effect::Refuse {
                ticket,
                reason,
                load,
                retry_after,
                pause,
                only_at,
            },
        );
    }
}

/// Returns the request for a slot of a request that arrived at a time.
fn slot_request(arrival: &Arrival, arrived: Duration, agent: &Agent) -> SlotRequest {
    SlotRequest {
        ticket: arrival.ticket,
        service: arrival.service.clone(),
        customer: arrival.customer.clone(),
        share: customer_share(&arrival.customer, agent),
        class: arrival.class.clone(),
        weight: arrival.weight,
        objective: arrival.objective.map(|o| arrived + o),
        is_call: arrival.is_call,
    }
}

fn push(cx: &mut Cx<'_>, effect: Effect) {
    cx.tx.push(crate::Effect::Admission(effect));
}
