//! The event loop of the simulation: it advances time, handles the events of
//! callers, upstreams and daemons, and executes the outputs of the scheduler.

mod callers;
mod fault_events;

use crate::central_queue::CentralQueue;
use crate::experiment::{Class, Experiment, Variant};
use crate::fleet::{Fleet, cancel_done_at};
use crate::router::{Arrival, CallId, Cx, Output, Router};
use crate::tally::{Attempt, Tally};
use crate::upstream::{Run, Upstream};
use gate::{Outcome, Ticket};
use miette::Result;
use node::Event;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between the ticks of a daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a gate reads the load report of its upstream.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Window over which the requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Window over which requests to an upstream that states a rate are counted.
const STATED_WINDOW: Duration = Duration::from_secs(4);
/// Time after an upstream begins to state a rate from which on requests are counted.
const STATED_COUNTS_AFTER: Duration = Duration::from_millis(500);
/// Time after an upstream begins to state a rate, or that it is leaving, from which on it
/// binds.
const STATED_BINDS_AFTER: Duration = Duration::from_secs(3);
/// Requests in the window that are allowed for each request a second that is stated, and
/// those that are allowed besides.
const STATED_ALLOWANCE: u64 = 6;
const STATED_SLACK: u64 = 5;
/// Offsets that derive the seeds of independent random streams: callers, noise
/// of upstreams, calls.
const CALLER_STREAM: u64 = 0x6361_6c6c;
const NOISE_STREAM: u64 = 0x7370_656c;
const CALL_STREAM: u64 = 1;
/// Status of a successful response.
const OK: u16 = 200;
/// Status of a run whose call failed.
const CALL_FAILED: u16 = 500;
/// Status of a response that did not arrive in time.
const TIMED_OUT: u16 = 504;

/// An event of the simulation.
#[derive(Debug)]
enum SimEvent {
    /// The next request arrives at a data centre.
    NextRequest(usize),
    /// A caller retries a request, with the number of remaining retries.
    Retry(CallerRequest, u32),
    /// A daemon receives work.
    Daemon(usize, DaemonWork),
    /// A daemon has handled the work before, and handles this.
    Handle(usize, DaemonWork),
    /// A run at an upstream completes. The event is outdated if the generation
    /// of the upstream's schedule has changed.
    Completion(usize, u64),
    /// A new noise interval begins at an upstream.
    NoiseInterval(usize),
    /// A gate may read the load report of its upstream.
    ReadReport(usize),
    /// All daemons receive a tick.
    Tick,
    /// The deadline of a request passes.
    Deadline(CallId),
    /// An upstream has stopped a cancelled request.
    CancelDone(usize, Ticket),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// Work that waits at a daemon for its processor.
#[derive(Debug)]
enum DaemonWork {
    /// A request arrived at its entry.
    Arrived(Arrival),
    /// It received an event.
    Event(Box<Event>),
    /// A run at its upstream ended.
    RunEnded(Ticket, Outcome),
}

/// A caller's request, unchanged over its retries.
#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    class: usize,
    customer: Option<usize>,
    data_centre: usize,
    /// Seed of the random numbers for the request's work and its calls.
    seed: u64,
    first_sent_at: Duration,
    /// Time that the caller waits, counted from the first attempt.
    wait_limit: Duration,
}

/// The party that waits for a response.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// A caller, with the number of remaining retries.
    Caller(CallerRequest, u32),
    /// A run at an upstream that made a call.
    Run(usize, Ticket),
}

/// A request without a final response.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    arrival: Arrival,
    origin: Origin,
    /// Whether a run of the request counts as a repeat: an upstream has
    /// received it before, or it is a call made by a repeat.
    repeated: bool,
    sent_at: Duration,
    /// Whether an upstream has received it.
    admitted: bool,
}

impl PendingCall {
    fn attempt(&self) -> Attempt {
        Attempt {
            class: self.arrival.class,
            is_call: matches!(self.origin, Origin::Run(..)),
            admitted: self.admitted,
            sent_at: self.sent_at,
            objective: self.arrival.objective,
        }
    }
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    request_rate: f64,
    now: Duration,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    last_sequence: u64,
    /// Random streams of the callers, by data centre. Like those of the
    /// upstreams they don't depend on decisions, so that all variants get the
    /// same requests and the same noise.
    caller_rngs: Vec<SmallRng>,
    upstreams: Vec<Upstream>,
    /// Random streams of the noise, by upstream.
    noise_rngs: Vec<SmallRng>,
    /// Generation of the completion schedule, by upstream. It is incremented
    /// whenever the schedule changes, which invalidates earlier completion
    /// events.
    generations: Vec<u64>,
    /// Time at which each daemon has handled all work that it received.
    busy_until: Vec<Duration>,
    /// Times at which cold upstreams received requests, by upstream.
    cold_runs: Vec<Vec<Duration>>,
    /// Times of the recent requests to each upstream.
    stated_runs: Vec<Vec<Duration>>,
    /// Since when each upstream states something.
    stated_since: Vec<Option<Duration>>,
    router: Router,
    tx: Vec<Output>,
    pending: BTreeMap<CallId, PendingCall>,
    next_call: CallId,
    tally: Tally,
}

/// Simulates an experiment at a load under a variant.
///
/// # Errors
///
/// Returns an error if the variant's settings are invalid.
pub fn simulate(experiment: &Experiment, variant: &Variant, load: f64, seed: u64) -> Result<Tally> {
    let mut simulation = Simulation::new(experiment, variant, load, seed)?;
    simulation.schedule_initial_events();
    let (end, _) = experiment.durations();
    while let Some(((at, _), event)) = simulation.queue.pop_first() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle_event(event);
        simulation.process_outputs();
    }
    simulation.tally.gate_refusals = simulation.router.gate_refusals();
    simulation.tally.far_bytes = simulation.router.far_bytes();
    Ok(simulation.tally)
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, variant: &Variant, load: f64, seed: u64) -> Result<Self> {
        let mut upstreams = Vec::new();
        for (index, service) in experiment.service.iter().enumerate() {
            for (data_centre, count) in service.upstreams.iter().enumerate() {
                let new = || Upstream::new(service.clone(), index, data_centre);
                upstreams.extend(std::iter::repeat_with(new).take(*count));
            }
        }
        let router = if variant.is_all_knowing() {
            let service = |c: &Class| {
                let named = |s: &crate::experiment::Service| s.name == c.service;
                experiment
                    .service
                    .iter()
                    .position(named)
                    .unwrap_or_default()
            };
            let late_worth_ratio = |c: &Class| c.late_worth / c.worth.max(f64::MIN_POSITIVE);
            let classes = experiment
                .class
                .iter()
                .map(|c| (service(c), late_worth_ratio(c)));
            Router::Central(CentralQueue::new(
                classes.collect(),
                experiment.data_centres.clone(),
            ))
        } else {
            let fleet = Fleet::new(experiment, variant, &upstreams, seed)?;
            Router::Fleet(Box::new(fleet))
        };
        Ok(Self {
            experiment,
            request_rate: experiment.request_rate(load),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            last_sequence: 0,
            caller_rngs: seeded_rngs(seed, CALLER_STREAM, experiment.data_centres.len()),
            noise_rngs: seeded_rngs(seed, NOISE_STREAM, upstreams.len()),
            generations: vec![0; upstreams.len()],
            busy_until: vec![Duration::ZERO; upstreams.len()],
            cold_runs: vec![Vec::new(); upstreams.len()],
            stated_runs: vec![Vec::new(); upstreams.len()],
            stated_since: vec![None; upstreams.len()],
            upstreams,
            router,
            tx: Vec::new(),
            pending: BTreeMap::new(),
            next_call: 0,
            tally: Tally::new(experiment),
        })
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.upstreams.len() {
            self.with_router(|router, cx| router.upstream_started(index, cx));
            let phase = self.noise_rngs[index].random::<f64>();
            self.schedule(REPORT_INTERVAL.mul_f64(phase), SimEvent::ReadReport(index));
            let interval = self.noise_interval(index);
            self.schedule(interval.mul_f64(phase), SimEvent::NoiseInterval(index));
        }
        self.schedule(Duration::ZERO, SimEvent::Tick);
        for data_centre in 0..self.experiment.data_centres.len() {
            self.schedule_next_request(data_centre);
        }
        let (_, warm_up) = self.experiment.durations();
        for (index, fault) in self.experiment.fault.iter().enumerate() {
            let (begins, ends) = fault.period(warm_up);
            self.schedule(begins, SimEvent::FaultBegins(index));
            self.schedule(ends, SimEvent::FaultEnds(index));
        }
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), event);
    }

    fn noise_interval(&self, upstream: usize) -> Duration {
        Duration::from_millis(self.upstreams[upstream].service.noise.every_ms)
    }

    fn with_router(&mut self, f: impl FnOnce(&mut Router, &mut Cx<'_>)) {
        let mut cx = Cx {
            now: self.now,
            upstreams: &self.upstreams,
            tx: &mut self.tx,
        };
        f(&mut self.router, &mut cx);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::NextRequest(data_centre) => {
                self.draw_request(data_centre);
                self.schedule_next_request(data_centre);
            }
            SimEvent::Retry(caller, retries) => self.send_request(caller, retries),
            SimEvent::Daemon(daemon, work) => self.give_to_daemon(daemon, work),
            SimEvent::Handle(daemon, work) => self.handle_work(daemon, work),
            SimEvent::Completion(upstream, generation)
                if self.generations[upstream] == generation =>
            {
                self.complete_runs(upstream);
            }
            SimEvent::Completion(..) => {}
            SimEvent::NoiseInterval(upstream) => {
                self.upstreams[upstream].advance(self.now);
                self.upstreams[upstream].draw_noise(&mut self.noise_rngs[upstream]);
                self.schedule_completion(upstream);
                self.schedule(
                    self.now + self.noise_interval(upstream),
                    SimEvent::NoiseInterval(upstream),
                );
            }
            SimEvent::ReadReport(upstream) => {
                self.with_router(|router, cx| router.read_report(upstream, cx));
                self.schedule(self.now + REPORT_INTERVAL, SimEvent::ReadReport(upstream));
            }
            SimEvent::Tick => {
                for daemon in 0..self.upstreams.len() {
                    let event = Event::Tick { unix_ms: 0 };
                    self.with_router(|router, cx| router.handle_event(daemon, event, cx));
                }
                self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick);
            }
            SimEvent::Deadline(call) => {
                if self.pending.contains_key(&call) {
                    self.with_router(|router, cx| router.caller_gone(call, cx));
                    self.respond(call, TIMED_OUT, None);
                }
            }
            SimEvent::CancelDone(upstream, ticket) => {
                self.end_run(upstream, ticket, Outcome::Broken)
            }
            SimEvent::FaultBegins(fault) => self.apply_fault(fault, true),
            SimEvent::FaultEnds(fault) => self.apply_fault(fault, false),
        }
    }

    /// Gives a daemon work, which it handles after what it received before.
    fn give_to_daemon(&mut self, daemon: usize, work: DaemonWork) {
        let time = Duration::from_micros(self.experiment.event_us);
        if time.is_zero() {
            return self.handle_work(daemon, work);
        }
        let busy_until = &mut self.busy_until[daemon];
        *busy_until = self.now.max(*busy_until) + time;
        let at = *busy_until;
        self.schedule(at, SimEvent::Handle(daemon, work));
    }

    fn handle_work(&mut self, daemon: usize, work: DaemonWork) {
        self.with_router(|router, cx| match work {
            DaemonWork::Arrived(arrival) => router.request_arrived(arrival, cx),
            DaemonWork::Event(event) => router.handle_event(daemon, *event, cx),
            DaemonWork::RunEnded(ticket, outcome) => router.run_ended(daemon, ticket, outcome, cx),
        });
    }

    /// Executes outputs until the scheduler requests no more.
    fn process_outputs(&mut self) {
        loop {
            if self.tx.is_empty() {
                self.with_router(Router::schedule);
            }
            if self.tx.is_empty() {
                return;
            }
            for output in std::mem::take(&mut self.tx) {
                self.handle_output(output);
            }
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Run {
                upstream,
                ticket,
                call,
            } => self.start_run(upstream, ticket, call),
            Output::Cancel { upstream, ticket } => {
                self.schedule(
                    cancel_done_at(self.now),
                    SimEvent::CancelDone(upstream, ticket),
                );
            }
            Output::Respond {
                call,
                status,
                retry_after,
            } => self.respond(call, status, retry_after),
            Output::Deliver { at, daemon, event } => {
                self.schedule(at, SimEvent::Daemon(daemon, DaemonWork::Event(event)));
            }
        }
    }

    /// Starts a request at an upstream, which refuses it if it is down.
    fn start_run(&mut self, index: usize, ticket: Ticket, call: CallId) {
        let upstream = &mut self.upstreams[index];
        let pending = self.pending.get(&call).copied();
        if !upstream.up {
            self.give_to_daemon(index, DaemonWork::RunEnded(ticket, Outcome::Refused));
            return;
        }
        self.tally.runs += 1;
        if let Some(pending) = self.pending.get_mut(&call) {
            self.tally.repeats += u64::from(pending.repeated);
            pending.repeated = true;
            pending.admitted = true;
        }
        if self.now < upstream.cold_until {
            self.count_cold_excess(index);
        }
        self.count_stated_excess(index);
        let upstream = &mut self.upstreams[index];
        upstream.advance(self.now);
        let run = Run {
            repeated: pending.is_some_and(|pending| pending.repeated),
            remaining_work: pending.map_or(0.0, |pending| pending.arrival.work),
            pending_call: None,
            blocked: false,
        };
        upstream.runs.insert(ticket, run);
        if let Some(pending) = pending {
            self.make_call(index, ticket, pending.arrival);
        }
        self.schedule_completion(index);
    }

    /// Counts a request beyond what its upstream states.
    fn count_stated_excess(&mut self, index: usize) {
        let now = self.now;
        let Some(since) = self.stated_since[index] else {
            return;
        };
        let runs = &mut self.stated_runs[index];
        runs.retain(|at| now - *at < STATED_WINDOW && *at >= since + STATED_COUNTS_AFTER);
        runs.push(now);
        let binds = now >= since + STATED_BINDS_AFTER;
        let statement = self.upstreams[index].statement;
        self.tally.late_leaving += u64::from(binds && statement.leaving);
        let rate_milli = statement.rate_milli.filter(|_| binds);
        let allowed = rate_milli.map(|rate| rate * STATED_ALLOWANCE / 1_000 + STATED_SLACK);
        let arrived = runs.len() as u64;
        self.tally.stated_excess += u64::from(allowed.is_some_and(|allowed| arrived > allowed));
    }

    fn count_cold_excess(&mut self, index: usize) {
        let now = self.now;
        let limit = self.upstreams[index].service.cold.per_s;
        let runs = &mut self.cold_runs[index];
        runs.retain(|at| now - *at < COLD_WINDOW);
        runs.push(now);
        if runs.len() as u64 > limit {
            self.tally.cold_excess += 1;
        }
    }

    /// Makes the call of a run, if its class has one and the draw selects it.
    fn make_call(&mut self, index: usize, ticket: Ticket, parent: Arrival) {
        let class = &self.experiment.class[parent.class];
        let Some(call) = &class.call else {
            return;
        };
        let callee = self.experiment.class(&call.class);
        let mut rng = SmallRng::seed_from_u64(parent.seed.wrapping_add(CALL_STREAM));
        let makes_call = rng.random::<f64>() < call.share;
        let Some(callee) = callee.filter(|_| makes_call) else {
            return;
        };
        let callee_class = &self.experiment.class[callee];
        let objective = self.now + Duration::from_millis(callee_class.objective_ms);
        let deadline = self.now + Duration::from_millis(callee_class.deadline_ms);
        let together = call.together;
        if let Some(run) = self.upstreams[index].runs.get_mut(&ticket) {
            run.pending_call = Some(self.next_call + 1);
            run.blocked = !together;
        }
        self.start_call(
            (callee, index, parent.worth, rng.random()),
            (
                objective.min(parent.objective),
                deadline.min(parent.deadline),
            ),
            parent.depth + 1,
            Origin::Run(index, ticket),
        );
    }

    /// Handles the response to the call of a run.
    fn call_responded(&mut self, index: usize, ticket: Ticket, status: u16) {
        let upstream = &mut self.upstreams[index];
        upstream.advance(self.now);
        if let Some(run) = upstream.runs.get_mut(&ticket) {
            run.pending_call = None;
            run.blocked = false;
            if status != OK {
                self.end_run(index, ticket, Outcome::Whole(CALL_FAILED));
            }
        }
        self.complete_runs(index);
    }

    /// Ends the completed runs of an upstream and schedules its next
    /// completion.
    fn complete_runs(&mut self, index: usize) {
        self.upstreams[index].advance(self.now);
        while let Some(ticket) = self.upstreams[index].finished_run() {
            self.end_run(index, ticket, Outcome::Whole(OK));
        }
        self.schedule_completion(index);
    }

    fn end_run(&mut self, index: usize, ticket: Ticket, outcome: Outcome) {
        self.upstreams[index].advance(self.now);
        let Some(run) = self.upstreams[index].runs.remove(&ticket) else {
            return;
        };
        if let Some(call) = run
            .pending_call
            .filter(|call| self.pending.remove(call).is_some())
        {
            self.with_router(|router, cx| router.caller_gone(call, cx));
        }
        self.give_to_daemon(index, DaemonWork::RunEnded(ticket, outcome));
        self.schedule_completion(index);
    }

    fn schedule_completion(&mut self, index: usize) {
        self.generations[index] += 1;
        if let Some(at) = self.upstreams[index].next_change() {
            self.schedule(at, SimEvent::Completion(index, self.generations[index]));
        }
    }
}

/// Returns `count` random generators that are derived from the seed and the
/// stream.
fn seeded_rngs(seed: u64, stream: u64, count: usize) -> Vec<SmallRng> {
    let mut parent = SmallRng::seed_from_u64(seed.wrapping_add(stream));
    let child = || SmallRng::seed_from_u64(parent.random());
    std::iter::repeat_with(child).take(count).collect()
}
