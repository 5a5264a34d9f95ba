//! Runs the scenario scripts of the picker and the budgets with a seeded random
//! generator and simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use goldenscript::{ArgumentConsumer, Command};
use pick::{
    Candidate, MeasuringBudget, PickRequest, PickSettings, Picker, Policy, RatioBudget,
    RatioLimits, Reachability, Reply,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;
use wire::{Load, UpstreamId};

static ALL_REACHABLE: Reachability = Reachability::new();

/// Class whose times to the response are recorded; no request that is placed has it.
const CLASS: &str = "measured";

struct Runner {
    picker: Picker,
    names: Vec<UpstreamId>,
    measuring: MeasuringBudget,
    ratio: RatioBudget,
    rng: SmallRng,
    now: Duration,
}

fn settings(policy: Policy) -> PickSettings {
    PickSettings {
        eject_ratio: 0.3,
        return_ramp: Duration::from_secs(20),
        policy,
        far_per_kb: Duration::ZERO,
        far_limit: None,
        late_cost: Duration::ZERO,
        link_bytes: 0,
    }
}

fn policy(name: &str) -> Result<Policy, Box<dyn Error>> {
    let all = [
        Policy::TWO_CHOICES,
        Policy::RANDOM,
        Policy::ROUND_ROBIN,
        Policy::LEAST_IN_FLIGHT,
    ];
    let found = all.into_iter().find(|policy| policy.name == name);
    found.ok_or_else(|| "unknown policy".into())
}

impl Runner {
    fn new() -> Self {
        Self {
            picker: Picker::new(settings(Policy::default())),
            names: Vec::new(),
            measuring: MeasuringBudget::new(0, 0),
            ratio: RatioBudget::new(RatioLimits::new(0.0)),
            rng: SmallRng::seed_from_u64(7),
            now: Duration::ZERO,
        }
    }

    /// Replaces the candidates, which are written as `name@data-centre`.
    fn service(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Box<dyn Error>> {
        let slots = args.lookup_parse("slots")?.unwrap_or(6);
        let mut candidates = Vec::new();
        for arg in args.rest_pos() {
            let (upstream, data_centre) = arg.value.split_once('@').ok_or("data centre missing")?;
            candidates.push(Candidate {
                upstream: upstream.into(),
                data_centre: data_centre.into(),
                slots,
            });
        }
        candidates.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        self.names = candidates.iter().map(|c| c.upstream.clone()).collect();
        self.picker.update(self.now, candidates);
        Ok(())
    }

    fn reply(&mut self, name: &str, reply: Reply, load: Option<Load>) {
        self.picker.record_reply(self.now, name, reply, load);
        self.picker.record_end(self.now, name);
    }

    fn scores(&self) -> Result<String, Box<dyn Error>> {
        let request = PickRequest {
            data_centre: "ams",
            own_upstream: "",
            reachability: &ALL_REACHABLE,
            tried: &[],
            class: "",
            default_work: Duration::from_millis(100),
            bytes: 0,
            objective: None,
            preference: 1,
            late_factor: 1.0,
            deadline: Duration::from_secs(10),
            max_transfer: None,
        };
        let mut out = String::new();
        for candidate in self.picker.scored_candidates(self.now, request) {
            let name = &self.names[candidate.index];
            write!(out, "{name} score={:.2}", candidate.score)?;
            if candidate.ramp_share < 1.0 {
                write!(out, " ramp_share={:.2}", candidate.ramp_share)?;
            }
            if candidate.avoid {
                write!(out, " avoid")?;
            }
            writeln!(out)?;
        }
        Ok(out)
    }

    fn choose(&mut self, count: u32, tried: &[UpstreamId]) -> Result<String, Box<dyn Error>> {
        let mut chosen: BTreeMap<UpstreamId, u32> = BTreeMap::new();
        for _ in 0..count {
            let request = PickRequest {
                data_centre: "ams",
                own_upstream: "",
                reachability: &ALL_REACHABLE,
                tried,
                class: "",
                default_work: Duration::from_millis(100),
                bytes: 0,
                objective: None,
                preference: 1,
                late_factor: 1.0,
                deadline: Duration::from_secs(10),
                max_transfer: None,
            };
            let estimate = self.picker.choose(self.now, &mut self.rng, request);
            let name = estimate.map_or("none".into(), |estimate| estimate.upstream);
            *chosen.entry(name).or_default() += 1;
        }
        let mut out = String::new();
        for (name, times) in chosen {
            writeln!(out, "{name} {times}")?;
        }
        Ok(out)
    }
}

fn load(args: &mut ArgumentConsumer<'_>) -> Result<Option<Load>, Box<dyn Error>> {
    let Some(in_flight) = args.lookup_parse("in_flight")? else {
        return Ok(None);
    };
    Ok(Some(Load {
        in_flight,
        limit: args.lookup_parse("limit")?.unwrap_or(6),
        service_us: args.lookup_parse("service_us")?.unwrap_or(0),
        cold: false,
        waiting: args.lookup_parse("waiting")?.unwrap_or(0),
        ..Load::default()
    }))
}

fn millis(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
    default: u64,
) -> Result<Duration, Box<dyn Error>> {
    let value = args.lookup_parse(key)?.unwrap_or(default);
    Ok(Duration::from_millis(value))
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut out = String::new();
        let mut args = command.consume_args();
        match command.name.as_str() {
            "at" => {
                let to = args.next_pos().ok_or("time missing")?.parse()?;
                self.now = Duration::from_millis(to);
            }
            "policy" => {
                let name = args.next_pos().ok_or("name missing")?;
                self.picker = Picker::new(settings(policy(&name.value)?));
            }
            "service" => self.service(&mut args)?,
            "send" => {
                let count = args.lookup_parse("count")?.unwrap_or(1);
                for name in args.rest_pos() {
                    for _ in 0..count {
                        self.picker.record_sent(self.now, &name.value);
                    }
                }
            }
            "success" | "fail" | "no_slot" => {
                let took = millis(&mut args, "took", 10)?;
                let count = args.lookup_parse("count")?.unwrap_or(1);
                let load = load(&mut args)?;
                let reply = match command.name.as_str() {
                    "success" => Reply::Success(took),
                    "fail" => Reply::Failure,
                    _ => Reply::NoSlot,
                };
                for name in args.rest_pos() {
                    for _ in 0..count {
                        self.reply(&name.value, reply, load);
                        if let Reply::Success(took) = reply {
                            let picker = &mut self.picker;
                            picker.record_service_time(self.now, &name.value, CLASS, took);
                        }
                    }
                }
            }
            "unavailable" => {
                let until = millis(&mut args, "until", 0)?;
                for name in args.rest_pos() {
                    self.reply(&name.value, Reply::Unavailable(until), None);
                }
            }
            "end" => {
                for name in args.rest_pos() {
                    self.picker.record_end(self.now, &name.value);
                }
            }
            "scores" => out = self.scores()?,
            "choose" => {
                let count = args.lookup_parse("count")?.unwrap_or(1_000);
                let tried = args.lookup("tried").map(|a| a.value.clone());
                let tried: Vec<UpstreamId> = tried
                    .iter()
                    .flat_map(|t| t.split(',').map(UpstreamId::from))
                    .collect();
                out = self.choose(count, &tried)?;
            }
            "quantile" => {
                let percent = args.next_pos().ok_or("percentile missing")?.parse()?;
                writeln!(out, "{:?}", self.picker.latency_quantile(CLASS, percent))?;
            }
            "measuring" => {
                let bytes = args.lookup_parse("bytes")?.unwrap_or(0);
                let messages = args.lookup_parse("messages")?.unwrap_or(0);
                self.measuring = MeasuringBudget::new(bytes, messages);
            }
            "measure" => {
                let bytes = args.lookup_parse("bytes")?.unwrap_or(0);
                let messages = args.lookup_parse("messages")?.unwrap_or(0);
                let count: u32 = args.lookup_parse("count")?.unwrap_or(1);
                let allowed =
                    (0..count).filter(|_| self.measuring.spend(self.now, bytes, messages));
                writeln!(out, "{} of {count} allowed", allowed.count())?;
                writeln!(out, "{:?}", self.measuring.count())?;
            }
            "ratio" => {
                let ratio = args.next_pos().ok_or("ratio missing")?.parse()?;
                self.ratio = RatioBudget::new(RatioLimits::new(ratio));
            }
            "requests" => {
                let count: u32 = args.next_pos().ok_or("count missing")?.parse()?;
                (0..count).for_each(|_| self.ratio.record_request());
            }
            "retry" => {
                let count: u32 = args.next_pos().ok_or("count missing")?.parse()?;
                let allowed = (0..count).filter(|_| self.ratio.spend(self.now)).count();
                writeln!(out, "{allowed} of {count} allowed")?;
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_rest()?;
        Ok(out)
    }
}

#[test_case("two_choices")]
#[test_case("aging")]
#[test_case("cold_peer")]
#[test_case("data_centres")]
#[test_case("straggler")]
#[test_case("failures")]
#[test_case("ejection")]
#[test_case("unresponsive")]
#[test_case("return_ramp")]
#[test_case("baselines")]
#[test_case("measuring_budget")]
#[test_case("retry_budget")]
fn pick_scenario(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    goldenscript::run(&mut Runner::new(), dir.join(name)).unwrap();
}
