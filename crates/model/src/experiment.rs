//! Experiment files: the simulated services, load and faults, and the variants
//! to compare.

use conf::Settings;
use miette::{IntoDiagnostic, Result, miette};
use pick::Policy;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Policy name of the reference scheduler in `central_queue`.
const ALL_KNOWING: &str = "all_knowing";
/// First port of the simulated daemons; they open no sockets.
const FIRST_PORT: u16 = 7_000;
/// Port of the simulated control replica; it opens no socket.
pub(crate) const CONTROL_PORT: u16 = 6_000;

/// An experiment, as read from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name that reports show.
    pub name: String,
    /// Measured duration of a run, in seconds.
    pub seconds: f64,
    /// Duration of the warm-up before the measurement, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Offered loads, as fractions of the capacity of the upstreams.
    pub loads: Vec<f64>,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// One-way latency inside a data centre, in milliseconds.
    pub near_ms: f64,
    /// One-way latency between data centres, in milliseconds.
    pub far_ms: f64,
    /// Time that a daemon takes to handle an event, in microseconds; events wait for those
    /// before them.
    #[serde(default)]
    pub event_us: u64,
    /// Whether a load of 1 counts the time for which a request holds its slot while it
    /// waits for its call.
    #[serde(default)]
    pub counts_blocked_slots: bool,
    /// Settings of every daemon, in the format of its settings file, without
    /// its name and addresses.
    #[serde(default)]
    pub settings: String,
    /// Services and their upstreams.
    pub service: Vec<Service>,
    /// Classes of requests, including those of the calls that upstreams make.
    pub class: Vec<Class>,
    /// Customers that the callers belong to; none if they are not told apart.
    #[serde(default)]
    pub customer: Vec<Customer>,
    /// Faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Variants to compare.
    pub variant: Vec<Variant>,
}

/// A service and its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Number of upstreams in each data centre.
    pub upstreams: Vec<usize>,
    /// Requests that an upstream processes at once.
    pub slots: u32,
    /// Intervals in which an upstream is slow.
    #[serde(default)]
    pub noise: Noise,
    /// Slowdown of an upstream at high concurrency.
    #[serde(default)]
    pub knee: Knee,
    /// Behaviour of an upstream after its start.
    #[serde(default)]
    pub cold: Cold,
}

/// Intervals in which an upstream is slow.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Fraction of the intervals in which the upstream is slow.
    pub share: f64,
    /// Factor by which work takes longer.
    pub factor: f64,
    /// Length of an interval, in milliseconds.
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

/// Slowdown of an upstream at high concurrency.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knee {
    /// Fraction of the slots in use up to which work takes its normal time.
    pub from: f64,
    /// Factor by which work takes longer above that fraction.
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

/// Behaviour of an upstream after its start.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Duration of the cold phase, in seconds.
    pub for_s: f64,
    /// Factor by which work takes longer.
    pub factor: f64,
    /// Requests per second that a cold upstream can take.
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

/// A class of requests with the same service, work and objective.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Service that serves the class.
    pub service: String,
    /// Share of the callers' requests, relative to the other classes; 0 if only
    /// upstreams send requests of the class.
    #[serde(default)]
    pub part: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Mean service time at normal speed, in milliseconds.
    pub work_ms: f64,
    /// Spread of the service time: standard deviation of its logarithm.
    pub spread: f64,
    /// Time within which a response has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Time after which a response has no worth, in milliseconds.
    pub deadline_ms: u64,
    /// Worth of a response within the objective.
    pub worth: f64,
    /// Worth of a response after the objective but before the deadline.
    pub late_worth: f64,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Number of times that a caller retries after a failure.
    #[serde(default)]
    pub returns: u32,
    /// Whether callers retry immediately, instead of only after the time that
    /// `retry-after` states.
    #[serde(default)]
    pub impatient: bool,
    /// Size of a request body, in bytes.
    pub request_bytes: u64,
    /// Size of a response body, in bytes.
    pub answer_bytes: u64,
    /// Call that an upstream makes while it processes a request of the class.
    pub call: Option<Call>,
}

/// A call that an upstream makes while it processes a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Class of the called request.
    pub class: String,
    /// Fraction of the requests that make the call.
    pub share: f64,
    /// Whether the work proceeds during the call; otherwise it starts after the
    /// call.
    pub together: bool,
}

/// A customer, whose callers send requests of all classes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Share of the callers' requests, relative to the other customers.
    pub part: f64,
    /// Whether its callers retry immediately, as those of an impatient class.
    #[serde(default)]
    pub impatient: bool,
}

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, in seconds after the warm-up.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Affected data centre; all if none is named.
    pub data_centre: Option<String>,
    /// Affected service; all if none is named.
    pub service: Option<String>,
    /// Index of the upstream among those of the data centre and the service;
    /// all if none is given.
    pub upstream: Option<usize>,
    /// Factor on the service time of a slow upstream, or on the request rate of
    /// a burst.
    #[serde(default)]
    pub factor: f64,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Work takes longer, and the upstream's load reports don't show it.
    Slow,
    /// The upstream is down, and cold after its restart.
    Crash,
    /// Operators take a data centre out of service and return it.
    Out,
    /// The request rate is higher than normal.
    Burst,
    /// The upstream states in its responses that it takes `factor` requests a second, and
    /// announces nothing of it.
    Limit,
    /// The upstream states in its responses that it is leaving, and announces that it is
    /// ready.
    Leave,
    /// The daemon beside the upstream starts again, and has forgotten what its upstream
    /// stated.
    DaemonRestart,
}

/// A policy with its settings, to be compared with others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name that reports show.
    pub name: String,
    /// Name of the policy that chooses upstreams, or `all_knowing` for the
    /// reference scheduler with one queue for the whole fleet.
    pub policy: String,
    /// Settings added to those of the experiment.
    #[serde(default)]
    pub settings: String,
}

impl Variant {
    /// Returns whether the variant uses the reference scheduler.
    pub(crate) fn is_all_knowing(&self) -> bool {
        self.policy == ALL_KNOWING
    }

    /// Returns the policy with the variant's policy name.
    fn policy(&self) -> Option<Policy> {
        let policies = [
            Policy::EXPECTED_FINISH,
            Policy::TWO_CHOICES,
            Policy::RANDOM,
            Policy::ROUND_ROBIN,
            Policy::LEAST_IN_FLIGHT,
        ];
        policies.into_iter().find(|p| p.name == self.policy)
    }
}

impl Experiment {
    /// Parses an experiment and checks that its references and settings are
    /// valid.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid key, service, class, policy or
    /// setting.
    pub fn parse(text: &str) -> Result<Self> {
        let experiment: Self = toml::from_str(text).map_err(|err| miette!("{err}"))?;
        experiment.validate()?;
        Ok(experiment)
    }

    fn validate(&self) -> Result<()> {
        for service in &self.service {
            if service.upstreams.len() != self.data_centres.len() || service.slots == 0 {
                return Err(miette!(
                    "service {}: needs at least one slot and a number of upstreams for each \
                     of the {} data centres, got {} slots and {} numbers",
                    service.name,
                    self.data_centres.len(),
                    service.slots,
                    service.upstreams.len()
                ));
            }
        }
        for class in &self.class {
            let called = class.call.iter().map(|c| &c.class);
            if let Some(unknown) = called.into_iter().find(|c| self.class(c).is_none()) {
                return Err(miette!(
                    "class {}: its call refers to an unknown class: no class {unknown}",
                    class.name
                ));
            }
            if !self.service.iter().any(|s| s.name == class.service) {
                return Err(miette!(
                    "class {}: refers to an unknown service: no service {}",
                    class.name,
                    class.service
                ));
            }
        }
        for variant in &self.variant {
            if !variant.is_all_knowing() && variant.policy().is_none() {
                return Err(miette!(
                    "variant {}: no such policy: {}",
                    variant.name,
                    variant.policy
                ));
            }
            self.daemon_settings(variant, "check", "check", 0)?;
        }
        Ok(())
    }

    /// Returns the index of a class.
    pub(crate) fn class(&self, name: &str) -> Option<usize> {
        self.class.iter().position(|c| c.name == name)
    }

    /// Returns the settings and the policy of the daemon with an index, which
    /// determines its ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub(crate) fn daemon_settings(
        &self,
        variant: &Variant,
        name: &str,
        data_centre: &str,
        index: u16,
    ) -> Result<(Settings, Policy)> {
        let address = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let text = format!(
            "[daemon]\nname = {name}\ndata-centre = {data_centre}\n\n\
             [listen]\ncallers = {}\noperators = {}\npeers = {}\n\n\
             [upstream]\naddress = {}\n\n\
             [control]\nreplicas = {}\n{}\n{}",
            address(FIRST_PORT + 4 * index),
            address(FIRST_PORT + 4 * index + 1),
            address(FIRST_PORT + 4 * index + 2),
            address(FIRST_PORT + 4 * index + 3),
            address(CONTROL_PORT),
            self.settings,
            variant.settings,
        );
        let settings = Settings::parse(&variant.name, &text).into_diagnostic()?;
        Ok((settings, variant.policy().unwrap_or_default()))
    }

    /// Returns the request rate, per second, at which the most loaded service
    /// is offered `load` times its capacity.
    #[must_use]
    pub fn request_rate(&self, load: f64) -> f64 {
        let total: f64 = self.class.iter().map(|c| c.part).sum();
        let demand = |service: &str| -> f64 {
            let of_class = |c: &Class| {
                let call = c.call.as_ref();
                let called = call.and_then(|call| Some((call, self.class(&call.class)?)));
                let called = called.map(|(call, n)| (call, &self.class[n]));
                let blocked =
                    called.filter(|(call, _)| self.counts_blocked_slots && !call.together);
                let held = c.work_ms + blocked.map_or(0.0, |(call, c)| call.share * c.work_ms);
                let own = if c.service == service { held } else { 0.0 };
                let called = called.filter(|(_, c)| c.service == service);
                own + called.map_or(0.0, |(call, c)| call.share * c.work_ms)
            };
            let sum: f64 = self.class.iter().map(|c| c.part * of_class(c)).sum();
            sum / total / 1_000.0
        };
        let busiest = self.service.iter().map(|s| demand(&s.name) / s.capacity());
        load / busiest.fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Returns the duration of a run including its warm-up, and the duration of
    /// the warm-up.
    pub(crate) fn durations(&self) -> (Duration, Duration) {
        let warm_up = Duration::from_secs_f64(self.warm_up_s);
        (warm_up + Duration::from_secs_f64(self.seconds), warm_up)
    }
}

impl Service {
    /// Returns the seconds of work per second that all upstreams of the service
    /// can do at their best concurrency.
    fn capacity(&self) -> f64 {
        let used = 1..=self.slots;
        let throughputs = used.map(|used| f64::from(used) / self.knee.slowdown(used, self.slots));
        let best = throughputs.fold(0.0, f64::max);
        let speed = 1.0 - self.noise.share + self.noise.share / self.noise.factor;
        let upstreams: f64 = self.upstreams.iter().map(|n| *n as f64).sum();
        upstreams * best * speed
    }
}

impl Knee {
    /// Returns the factor by which work takes longer with `used` of the slots
    /// in use.
    pub(crate) fn slowdown(&self, used: u32, slots: u32) -> f64 {
        let ratio = f64::from(used) / f64::from(slots.max(1));
        if ratio > self.from { self.factor } else { 1.0 }
    }
}
