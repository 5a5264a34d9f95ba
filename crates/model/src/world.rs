//! Time, callers and upstreams, and what decides between them.

mod callers;
mod troubles;

use crate::central::Central;
use crate::experiment::{Class, Experiment, Variant};
use crate::fleet::{Fleet, lets_go_at};
use crate::router::{Arrival, CallId, Cx, Output, Router};
use crate::tally::Tally;
use crate::upstream::{Run, Upstream};
use gate::{Outcome, Ticket};
use miette::Result;
use node::Event;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between the ticks of a daemon.
const TICK: Duration = Duration::from_millis(20);
/// Time between two readings of an upstream's load.
const REPORT: Duration = Duration::from_millis(100);
/// Time in which a cold upstream's requests are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// What random numbers are for: callers, spells of upstreams, calls.
const CALLERS: u64 = 0x6361_6c6c;
const SPELLS: u64 = 0x7370_656c;
const CALLS: u64 = 1;
/// Status of an answer that its caller can use.
const OK: u16 = 200;
/// Status of a run whose call failed.
const FAILED: u16 = 500;
/// Status of an answer that didn't come in time.
const TIMED_OUT: u16 = 504;

/// Something that happens at a moment.
#[derive(Debug)]
enum What {
    /// The next request comes in at a data centre.
    Request(usize),
    /// A caller comes back with a request that it sent before.
    Return(Caller, u32),
    /// Something happens at a daemon.
    Daemon(usize, Box<Event>),
    /// Work of an upstream may be done, if it went on as foreseen.
    Work(usize, u64),
    /// A new spell begins at an upstream.
    Spell(usize),
    /// A gate may read its upstream's report.
    Report(usize),
    /// Time passes at all daemons.
    Tick,
    /// A caller has no use for an answer any more.
    Deadline(CallId),
    /// An upstream lets go of a cancelled request.
    LetGo(usize, Ticket),
    /// A fault begins.
    Begins(usize),
    /// A fault ends.
    Ends(usize),
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    class: usize,
    data_centre: usize,
    /// Where the random numbers of the request begin, and of its calls.
    seed: u64,
    first: Duration,
    /// Time after the first sending for which it waits.
    patience: Duration,
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// A caller, who may come back so many times more.
    Caller(Caller, u32),
    /// A run at an upstream.
    Run(usize, Ticket),
}

/// A request that isn't answered yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    arrival: Arrival,
    origin: Origin,
    /// Whether a run of it counts as a repeat: an upstream has got it before,
    /// or the run that calls is a repeat.
    again: bool,
}

struct World<'a> {
    experiment: &'a Experiment,
    rate: f64,
    now: Duration,
    queue: BTreeMap<(Duration, u64), What>,
    queued: u64,
    /// By data centre: random numbers of its callers. Like those of the
    /// upstreams they don't depend on what is decided, so that variants meet
    /// the same requests and the same noise.
    callers: Vec<SmallRng>,
    upstreams: Vec<Upstream>,
    /// By upstream: random numbers of its spells.
    spells: Vec<SmallRng>,
    /// By upstream: counts up when its work goes on otherwise than foreseen.
    foreseen: Vec<u64>,
    /// By upstream: when it got requests while it was cold.
    cold_runs: Vec<Vec<Duration>>,
    router: Router,
    tx: Vec<Output>,
    open: BTreeMap<CallId, Open>,
    next_call: CallId,
    tally: Tally,
}

/// Plays an experiment's load under a variant's decisions.
///
/// # Errors
///
/// Returns what is wrong with the variant's settings.
pub fn play(experiment: &Experiment, variant: &Variant, load: f64, seed: u64) -> Result<Tally> {
    let mut world = World::new(experiment, variant, load, seed)?;
    world.begin();
    let (end, _) = experiment.times();
    while let Some(((at, _), what)) = world.queue.pop_first() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(what);
        world.settle();
    }
    world.tally.far_bytes = world.router.far_bytes();
    Ok(world.tally)
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, variant: &Variant, load: f64, seed: u64) -> Result<Self> {
        let mut upstreams = Vec::new();
        for (number, service) in experiment.service.iter().enumerate() {
            for (data_centre, count) in service.upstreams.iter().enumerate() {
                let new = || Upstream::new(service.clone(), number, data_centre);
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
            let late = |c: &Class| c.late_worth / c.worth.max(f64::MIN_POSITIVE);
            let classes = experiment.class.iter().map(|c| (service(c), late(c)));
            Router::Central(Central::new(
                classes.collect(),
                experiment.data_centres.clone(),
            ))
        } else {
            let fleet = Fleet::new(experiment, variant, &upstreams, seed)?;
            Router::Fleet(Box::new(fleet))
        };
        Ok(Self {
            experiment,
            rate: experiment.rate(load),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            queued: 0,
            callers: stream(seed, CALLERS, experiment.data_centres.len()),
            spells: stream(seed, SPELLS, upstreams.len()),
            foreseen: vec![0; upstreams.len()],
            cold_runs: vec![Vec::new(); upstreams.len()],
            upstreams,
            router,
            tx: Vec::new(),
            open: BTreeMap::new(),
            next_call: 0,
            tally: Tally::new(&experiment.class),
        })
    }

    fn begin(&mut self) {
        for number in 0..self.upstreams.len() {
            self.route(|router, cx| router.started(number, cx));
            let phase = self.spells[number].random::<f64>();
            self.at(REPORT.mul_f64(phase), What::Report(number));
            let spell = self.spell(number);
            self.at(spell.mul_f64(phase), What::Spell(number));
        }
        self.at(Duration::ZERO, What::Tick);
        for data_centre in 0..self.experiment.data_centres.len() {
            self.next_request(data_centre);
        }
        let (_, warm_up) = self.experiment.times();
        for (number, fault) in self.experiment.fault.iter().enumerate() {
            let (begins, ends) = fault.times(warm_up);
            self.at(begins, What::Begins(number));
            self.at(ends, What::Ends(number));
        }
    }

    fn at(&mut self, at: Duration, what: What) {
        self.queued += 1;
        self.queue.insert((at, self.queued), what);
    }

    fn spell(&self, upstream: usize) -> Duration {
        Duration::from_millis(self.upstreams[upstream].service.noise.every_ms)
    }

    fn route(&mut self, f: impl FnOnce(&mut Router, &mut Cx<'_>)) {
        let mut cx = Cx {
            now: self.now,
            upstreams: &self.upstreams,
            tx: &mut self.tx,
        };
        f(&mut self.router, &mut cx);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Request(data_centre) => {
                self.request(data_centre);
                self.next_request(data_centre);
            }
            What::Return(caller, returns) => self.send(caller, returns),
            What::Daemon(daemon, event) => {
                self.route(|router, cx| router.event(daemon, *event, cx));
            }
            What::Work(upstream, foreseen) if self.foreseen[upstream] == foreseen => {
                self.work(upstream);
            }
            What::Work(..) => {}
            What::Spell(upstream) => {
                self.upstreams[upstream].pass(self.now);
                self.upstreams[upstream].new_spell(&mut self.spells[upstream]);
                self.foresee(upstream);
                self.at(self.now + self.spell(upstream), What::Spell(upstream));
            }
            What::Report(upstream) => {
                self.route(|router, cx| router.read_report(upstream, cx));
                self.at(self.now + REPORT, What::Report(upstream));
            }
            What::Tick => {
                for daemon in 0..self.upstreams.len() {
                    let event = Event::Tick { unix_ms: 0 };
                    self.route(|router, cx| router.event(daemon, event, cx));
                }
                self.at(self.now + TICK, What::Tick);
            }
            What::Deadline(call) => {
                if self.open.contains_key(&call) {
                    self.route(|router, cx| router.gone(call, cx));
                    self.answer(call, TIMED_OUT, None);
                }
            }
            What::LetGo(upstream, ticket) => self.let_go(upstream, ticket, Outcome::Broken),
            What::Begins(fault) => self.fault(fault, true),
            What::Ends(fault) => self.fault(fault, false),
        }
    }

    /// Carries out what is to be done, until nothing is left.
    fn settle(&mut self) {
        loop {
            if self.tx.is_empty() {
                self.route(Router::settle);
            }
            if self.tx.is_empty() {
                return;
            }
            for output in std::mem::take(&mut self.tx) {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Run {
                upstream,
                ticket,
                call,
            } => self.run(upstream, ticket, call),
            Output::Cancel { upstream, ticket } => {
                self.at(lets_go_at(self.now), What::LetGo(upstream, ticket));
            }
            Output::Answer {
                call,
                status,
                retry_after,
            } => self.answer(call, status, retry_after),
            Output::Deliver { at, daemon, event } => self.at(at, What::Daemon(daemon, event)),
        }
    }

    /// An upstream gets a request.
    fn run(&mut self, number: usize, ticket: Ticket, call: CallId) {
        let upstream = &mut self.upstreams[number];
        let open = self.open.get(&call).copied();
        if !upstream.up {
            self.route(|router, cx| router.ended(number, ticket, Outcome::Refused, cx));
            return;
        }
        self.tally.runs += 1;
        if let Some(open) = self.open.get_mut(&call) {
            self.tally.again += u64::from(open.again);
            open.again = true;
        }
        if self.now < upstream.cold_until {
            self.count_cold(number);
        }
        let upstream = &mut self.upstreams[number];
        upstream.pass(self.now);
        let run = Run {
            again: open.is_some_and(|open| open.again),
            left: open.map_or(0.0, |open| open.arrival.work),
            waits_for: None,
            stands: false,
        };
        upstream.runs.insert(ticket, run);
        if let Some(open) = open {
            self.make_call(number, ticket, open.arrival);
        }
        self.foresee(number);
    }

    fn count_cold(&mut self, number: usize) {
        let now = self.now;
        let bears = self.upstreams[number].service.cold.per_s;
        let runs = &mut self.cold_runs[number];
        runs.retain(|at| now - *at < COLD_WINDOW);
        runs.push(now);
        if runs.len() as u64 > bears {
            self.tally.beyond_cold += 1;
        }
    }

    /// Makes the call of a run, if it makes one.
    fn make_call(&mut self, number: usize, ticket: Ticket, parent: Arrival) {
        let class = &self.experiment.class[parent.class];
        let Some(call) = &class.call else {
            return;
        };
        let called = self.experiment.class(&call.class);
        let mut rng = SmallRng::seed_from_u64(parent.seed.wrapping_add(CALLS));
        let makes = rng.random::<f64>() < call.share;
        let Some(called) = called.filter(|_| makes) else {
            return;
        };
        let of_call = &self.experiment.class[called];
        let objective = self.now + Duration::from_millis(of_call.objective_ms);
        let deadline = self.now + Duration::from_millis(of_call.deadline_ms);
        let together = call.together;
        if let Some(run) = self.upstreams[number].runs.get_mut(&ticket) {
            run.waits_for = Some(self.next_call + 1);
            run.stands = !together;
        }
        self.call(
            (called, number, parent.worth, rng.random()),
            (
                objective.min(parent.objective),
                deadline.min(parent.deadline),
            ),
            parent.depth + 1,
            Origin::Run(number, ticket),
        );
    }

    /// The call of a run is answered.
    fn called(&mut self, number: usize, ticket: Ticket, status: u16) {
        let upstream = &mut self.upstreams[number];
        upstream.pass(self.now);
        if let Some(run) = upstream.runs.get_mut(&ticket) {
            run.waits_for = None;
            run.stands = false;
            if status != OK {
                self.let_go(number, ticket, Outcome::Whole(FAILED));
            }
        }
        self.work(number);
    }

    /// Takes what an upstream has done, and foresees what comes next.
    fn work(&mut self, number: usize) {
        self.upstreams[number].pass(self.now);
        while let Some(ticket) = self.upstreams[number].done() {
            self.let_go(number, ticket, Outcome::Whole(OK));
        }
        self.foresee(number);
    }

    fn let_go(&mut self, number: usize, ticket: Ticket, outcome: Outcome) {
        self.upstreams[number].pass(self.now);
        let Some(run) = self.upstreams[number].runs.remove(&ticket) else {
            return;
        };
        if let Some(call) = run
            .waits_for
            .filter(|call| self.open.remove(call).is_some())
        {
            self.route(|router, cx| router.gone(call, cx));
        }
        self.route(|router, cx| router.ended(number, ticket, outcome, cx));
        self.foresee(number);
    }

    fn foresee(&mut self, number: usize) {
        self.foreseen[number] += 1;
        if let Some(at) = self.upstreams[number].next() {
            self.at(at, What::Work(number, self.foreseen[number]));
        }
    }
}

/// Returns random numbers for each of some places, out of a seed.
fn stream(seed: u64, what: u64, places: usize) -> Vec<SmallRng> {
    let mut of_what = SmallRng::seed_from_u64(seed.wrapping_add(what));
    let of_place = || SmallRng::seed_from_u64(of_what.random());
    std::iter::repeat_with(of_place).take(places).collect()
}
