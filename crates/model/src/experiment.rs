//! Experiments: what is served, how, and by which decisions.

use conf::Settings;
use miette::{IntoDiagnostic, Result, miette};
use pick::Policy;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Name of the variant that knows everything.
const ALL_KNOWING: &str = "all_knowing";
/// First peer port of the model's daemons; nothing listens there.
const FIRST_PORT: u16 = 7_000;
/// Port of the stand-in for control; nothing listens there.
pub(crate) const CONTROL_PORT: u16 = 6_000;

/// An experiment, as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, for reports.
    pub name: String,
    /// Measured time of a run, in seconds.
    pub seconds: f64,
    /// Time before it that isn't measured, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Work that is asked for, in proportion to what the upstreams can do.
    pub loads: Vec<f64>,
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Time of a message inside a data centre, in milliseconds.
    pub near_ms: f64,
    /// Time of a message to another data centre, in milliseconds.
    pub far_ms: f64,
    /// Settings of every daemon, as in its settings file, but for its place.
    #[serde(default)]
    pub settings: String,
    /// Services.
    pub service: Vec<Service>,
    /// Classes of requests, and of the calls that upstreams make.
    pub class: Vec<Class>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// What is compared.
    pub variant: Vec<Variant>,
}

/// A service and its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Upstreams in each data centre.
    pub upstreams: Vec<usize>,
    /// Requests that an upstream works on at once.
    pub slots: u32,
    /// Spells in which an upstream is slow.
    #[serde(default)]
    pub noise: Noise,
    /// How an upstream slows down when it is nearly full.
    #[serde(default)]
    pub knee: Knee,
    /// How an upstream is after its start.
    #[serde(default)]
    pub cold: Cold,
}

/// Spells in which an upstream is slow.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Part of the time.
    pub share: f64,
    /// Multiple of the usual time that work takes.
    pub factor: f64,
    /// Length of a spell, in milliseconds.
    pub every_ms: u64,
}

impl Default for Noise {
    fn default() -> Self {
        Self {
            share: 0.0,
            factor: 1.0,
            every_ms: 500,
        }
    }
}

/// How an upstream slows down when it is nearly full.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// Part of the slots in use up to which it does not.
    pub from: f64,
    /// Multiple of the usual time with more in use.
    pub factor: f64,
}

impl Default for Knee {
    fn default() -> Self {
        Self {
            from: 1.0,
            factor: 1.0,
        }
    }
}

/// How an upstream is after its start.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// How long, in seconds.
    pub for_s: f64,
    /// Multiple of the usual time that work takes.
    pub factor: f64,
    /// Requests a second that it bears.
    pub per_s: u64,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            for_s: 0.0,
            factor: 1.0,
            per_s: 0,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Service that it asks for.
    pub service: String,
    /// Requests of the class, relative to the others; 0 if only upstreams
    /// send them.
    #[serde(default)]
    pub part: f64,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Mean work, in milliseconds at the usual pace.
    pub work_ms: f64,
    /// Spread of the work: standard deviation of its logarithm.
    pub spread: f64,
    /// Time within which the answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the answer has none, in milliseconds.
    pub deadline_ms: u64,
    /// Worth of an answer.
    pub worth: f64,
    /// Worth of an answer after the objective.
    pub late_worth: f64,
    /// Rank under overload; 0 is the highest.
    pub priority: u32,
    /// Times that a caller comes back after a failure.
    #[serde(default)]
    pub returns: u32,
    /// Whether it comes back at once, whatever it was told.
    #[serde(default)]
    pub impatient: bool,
    /// Bytes of a request.
    pub request_bytes: u64,
    /// Bytes of an answer.
    pub answer_bytes: u64,
    /// Call that its runs make.
    pub call: Option<Call>,
}

/// A call that an upstream makes while it runs a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Class of the call.
    pub class: String,
    /// Part of the runs that make it.
    pub share: f64,
    /// Whether the work goes on meanwhile; else it begins after the call.
    pub together: bool,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When, in seconds after the warm-up.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// Data centre; all if none is named.
    pub data_centre: Option<String>,
    /// Service; all if none is named.
    pub service: Option<String>,
    /// Number of the upstream among those of the data centre and the service;
    /// all if none is named.
    pub upstream: Option<usize>,
    /// Multiple of the usual time or rate.
    #[serde(default)]
    pub factor: f64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Work takes longer, and the upstream doesn't tell.
    Slow,
    /// The upstream is down, and cold when it is back.
    Crash,
    /// Operators take a data centre out, and return it.
    Out,
    /// More requests than usual come in.
    Burst,
}

/// A way to decide.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name, for reports.
    pub name: String,
    /// Way to choose upstreams: a policy's name, or `all_knowing` for a queue
    /// for the whole fleet.
    pub policy: String,
    /// Settings besides those of the experiment.
    #[serde(default)]
    pub settings: String,
}

impl Variant {
    /// Returns whether it stands for the queue that knows everything.
    pub(crate) fn is_all_knowing(&self) -> bool {
        self.policy == ALL_KNOWING
    }

    /// Returns the policy that it names.
    fn policy(&self) -> Option<Policy> {
        let all = [
            Policy::EXPECTED_FINISH,
            Policy::TWO_CHOICES,
            Policy::RANDOM,
            Policy::ROUND_ROBIN,
            Policy::LEAST_IN_FLIGHT,
        ];
        all.into_iter().find(|p| p.name == self.policy)
    }
}

impl Experiment {
    /// Reads an experiment.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(text: &str) -> Result<Self> {
        let experiment: Self = toml::from_str(text).map_err(|err| miette!("{err}"))?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<()> {
        for service in &self.service {
            if service.upstreams.len() != self.data_centres.len() || service.slots == 0 {
                return Err(miette!(
                    "service {}: slots, and a number of upstreams for each data centre, are \
                     needed",
                    service.name
                ));
            }
        }
        for class in &self.class {
            let called = class.call.iter().map(|c| &c.class);
            if let Some(unknown) = called.into_iter().find(|c| self.class(c).is_none()) {
                return Err(miette!("class {}: no class {unknown}", class.name));
            }
            if !self.service.iter().any(|s| s.name == class.service) {
                return Err(miette!(
                    "class {}: no service {}",
                    class.name,
                    class.service
                ));
            }
        }
        for variant in &self.variant {
            if !variant.is_all_knowing() && variant.policy().is_none() {
                return Err(miette!("variant {}: no such policy", variant.name));
            }
            self.daemon(variant, "check", "check", 0)?;
        }
        Ok(())
    }

    /// Returns the position of a class.
    pub(crate) fn class(&self, name: &str) -> Option<usize> {
        self.class.iter().position(|c| c.name == name)
    }

    /// Returns the settings of a daemon and its way to choose.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the settings.
    pub(crate) fn daemon(
        &self,
        variant: &Variant,
        name: &str,
        data_centre: &str,
        number: u16,
    ) -> Result<(Settings, Policy)> {
        let address = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let text = format!(
            "[daemon]\nname = {name}\ndata-centre = {data_centre}\n\n\
             [listen]\ncallers = {}\noperators = {}\npeers = {}\n\n\
             [upstream]\naddress = {}\n\n\
             [control]\nreplicas = {}\n{}\n{}",
            address(FIRST_PORT + 4 * number),
            address(FIRST_PORT + 4 * number + 1),
            address(FIRST_PORT + 4 * number + 2),
            address(FIRST_PORT + 4 * number + 3),
            address(CONTROL_PORT),
            self.settings,
            variant.settings,
        );
        let settings = Settings::parse(&variant.name, &text).into_diagnostic()?;
        Ok((settings, variant.policy().unwrap_or_default()))
    }

    /// Returns the requests a second at which the service that is asked for
    /// most gets this part of the work that it can do.
    #[must_use]
    pub fn rate(&self, load: f64) -> f64 {
        let parts: f64 = self.class.iter().map(|c| c.part).sum();
        let demand = |service: &str| -> f64 {
            let of_class = |c: &Class| {
                let own = if c.service == service { c.work_ms } else { 0.0 };
                let call = c.call.as_ref();
                let called = call.and_then(|call| Some((call.share, self.class(&call.class)?)));
                let called = called.map(|(share, n)| (share, &self.class[n]));
                let called = called.filter(|(_, c)| c.service == service);
                own + called.map_or(0.0, |(share, c)| share * c.work_ms)
            };
            let sum: f64 = self.class.iter().map(|c| c.part * of_class(c)).sum();
            sum / parts / 1_000.0
        };
        let busiest = self.service.iter().map(|s| demand(&s.name) / s.capacity());
        load / busiest.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Returns how long a run takes, and how much of that isn't measured.
    pub(crate) fn times(&self) -> (Duration, Duration) {
        let warm_up = Duration::from_secs_f64(self.warm_up_s);
        (warm_up + Duration::from_secs_f64(self.seconds), warm_up)
    }
}

impl Service {
    /// Returns the seconds of work that all upstreams do a second, at best.
    fn capacity(&self) -> f64 {
        let used = 1..=self.slots;
        let at_once = used.map(|used| f64::from(used) / self.knee.slowdown(used, self.slots));
        let best = at_once.fold(0.0, f64::max);
        let pace = 1.0 - self.noise.share + self.noise.share / self.noise.factor;
        let upstreams: f64 = self.upstreams.iter().map(|n| *n as f64).sum();
        upstreams * best * pace
    }
}

impl Knee {
    /// Returns by what work takes longer with some slots in use.
    pub(crate) fn slowdown(&self, used: u32, slots: u32) -> f64 {
        let part = f64::from(used) / f64::from(slots.max(1));
        if part > self.from { self.factor } else { 1.0 }
    }
}
