//! A service under a rollout: requests, gates that report every 500 ms, and steps that
//! take effect with a delay.

#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
#![allow(clippy::cast_precision_loss, unreachable_pub, dead_code)]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::{
    ALL_PPM, Bounds, Decision, Evidence, Fleet, Reporter, RolloutView, VersionGroup, canary_share,
    decide,
};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Rollout, RolloutStage, RouteEvidence};

/// Time from a decision until it is in force at entries and gates.
const STEP_DELAY_MS: u64 = 700;
const REPORT_INTERVAL_MS: u64 = 500;
const TICK_MS: u64 = 20;
const BUCKETS: usize = 30;
/// Median service time of the old version, in milliseconds.
pub const NORMAL_MS: f64 = 20.0;

pub const BOUNDS: Bounds = Bounds {
    canary_share: 0.1,
    canary_slack: 50,
    rollback: Duration::from_secs(5),
};

/// A request as the version that runs it sees it.
pub struct Request {
    pub at_ms: u64,
    pub group: VersionGroup,
    pub route: &'static str,
    pub upstream: usize,
    /// Whether neighbours slow the upstream at this time.
    pub is_slowed: bool,
    /// Requests a second that the upstream gets.
    pub load: f64,
}

/// Whether the request fails, and the normalised service time relative to the normal.
pub type Behaviour = fn(&Request, &mut SmallRng) -> (bool, f64);

#[derive(Clone, Copy)]
pub struct Scenario {
    pub duration_ms: u64,
    pub per_second: f64,
    pub old: usize,
    pub new: usize,
    pub behaviour: Behaviour,
}

impl Scenario {
    pub fn new(behaviour: Behaviour) -> Self {
        Self {
            duration_ms: 12_000,
            per_second: 1_000.0,
            old: 16,
            new: 16,
            behaviour,
        }
    }
}

/// What happened until the rollout ended or its duration had passed twice.
#[derive(Debug, Default)]
pub struct Outcome {
    pub stage: i32,
    pub ended_ms: u64,
    pub sent_new: u64,
    pub sent_all: u64,
    /// Failed or slow responses of the new version that had been given when the
    /// rollback was decided.
    pub bad_at_decision: u64,
    pub largest_share: u32,
    pub reason: String,
}

impl Outcome {
    pub fn stage(&self) -> RolloutStage {
        RolloutStage::try_from(self.stage).unwrap_or_default()
    }
}

struct Loop {
    scenario: Scenario,
    rng: SmallRng,
    rollout: Rollout,
    evidence: Evidence,
    counts: BTreeMap<(VersionGroup, usize), BTreeMap<&'static str, RouteEvidence>>,
    /// Stage and share in force at entries.
    in_force: (RolloutStage, u32),
    pending: Option<(u64, RolloutStage, u32)>,
    slowed: Vec<bool>,
    bad_new: u64,
    outcome: Outcome,
}

/// Runs a rollout.
pub fn run(scenario: Scenario, seed: u64) -> Outcome {
    let share = canary_share(BOUNDS);
    let mut cx = Loop {
        scenario,
        rng: SmallRng::seed_from_u64(seed),
        rollout: Rollout {
            id: 2,
            version: "v2".to_owned(),
            duration_ms: scenario.duration_ms,
            stage: RolloutStage::Canary as i32,
            share_ppm: share,
            ..Rollout::default()
        },
        evidence: Evidence::default(),
        counts: BTreeMap::new(),
        in_force: (RolloutStage::Canary, share),
        pending: None,
        slowed: vec![false; scenario.old + scenario.new],
        bad_new: 0,
        outcome: Outcome::default(),
    };
    let mut at_ms = 0;
    while at_ms < scenario.duration_ms * 2 {
        at_ms += TICK_MS;
        cx.tick(at_ms);
    }
    cx.outcome.stage = cx.rollout.stage;
    cx.outcome
}

impl Loop {
    fn tick(&mut self, at_ms: u64) {
        if at_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            let rng = &mut self.rng;
            self.slowed.fill_with(|| rng.random_bool(0.25));
        }
        if let Some((_, stage, share)) = self.pending.take_if(|(due, ..)| *due <= at_ms) {
            self.in_force = (stage, share);
        }
        let requests = self.scenario.per_second * TICK_MS as f64 / 1_000.0;
        let whole = requests as u64 + u64::from(self.rng.random_bool(requests.fract()));
        (0..whole).for_each(|_| self.request(at_ms));
        self.report(at_ms);
        if at_ms.is_multiple_of(100) {
            self.decide(at_ms);
        }
    }

    fn request(&mut self, at_ms: u64) {
        if at_ms <= self.scenario.duration_ms {
            self.outcome.sent_all += 1;
        }
        let (stage, share) = self.in_force;
        let is_new = match stage {
            RolloutStage::Canary | RolloutStage::Ramp => {
                self.rng.random_ratio(share.min(ALL_PPM), ALL_PPM)
            }
            RolloutStage::Switched | RolloutStage::Complete => self.scenario.new > 0,
            RolloutStage::RolledBack | RolloutStage::Unknown => false,
        } && self.scenario.new > 0;
        let (group, upstreams) = match is_new {
            true => (VersionGroup::New, self.scenario.new),
            false => (VersionGroup::Old, self.scenario.old),
        };
        let upstream = self.rng.random_range(0..upstreams);
        let share = f64::from(share) / f64::from(ALL_PPM);
        let share = if is_new { share } else { 1.0 - share };
        let slowed = self.slowed[upstream + if is_new { self.scenario.old } else { 0 }];
        let request = Request {
            at_ms,
            group,
            route: if self.rng.random_bool(0.1) {
                "rare"
            } else {
                "main"
            },
            upstream,
            is_slowed: slowed,
            load: self.scenario.per_second * share / upstreams as f64,
        };
        let (failed, relative) = (self.scenario.behaviour)(&request, &mut self.rng);
        if is_new {
            self.bad_new += u64::from(failed || relative > 2.5);
            if at_ms <= self.scenario.duration_ms {
                self.outcome.sent_new += 1;
            }
        }
        self.count(&request, failed, relative);
    }

    fn count(&mut self, request: &Request, failed: bool, relative: f64) {
        let routes = self.counts.entry((request.group, request.upstream));
        let counts = routes.or_default().entry(request.route).or_default();
        counts.route = request.route.to_owned();
        counts.responses += 1;
        if failed {
            counts.failures += 1;
            return;
        }
        let spread = self.rng.random_range(0.7..1.4);
        let ms = (NORMAL_MS * relative * spread).max(1.0);
        let bucket = (ms.log2() * 2.0).ceil() as usize;
        counts.service_times.resize(BUCKETS, 0);
        counts.service_times[bucket.min(BUCKETS - 1)] += 1;
    }

    /// Reports the counts of the gates whose heartbeat is due.
    fn report(&mut self, at_ms: u64) {
        for ((group, upstream), routes) in &self.counts {
            let phase = (*upstream as u64 * TICK_MS) % REPORT_INTERVAL_MS;
            if at_ms % REPORT_INTERVAL_MS != phase {
                continue;
            }
            let reporter = Reporter {
                daemon: format!("{group:?}{upstream}").as_str().into(),
                incarnation: 1,
                data_centre: format!("dc{}", upstream % 3).as_str().into(),
                group: *group,
            };
            let routes: Vec<RouteEvidence> = routes.values().cloned().collect();
            let now = Duration::from_millis(at_ms);
            self.evidence.record(now, &reporter, &routes);
        }
    }

    fn decide(&mut self, at_ms: u64) {
        let switched = self.in_force.0 == RolloutStage::Switched;
        let view = RolloutView {
            rollout: &self.rollout,
            time_ms: at_ms,
            now: Duration::from_millis(at_ms),
            evidence: &self.evidence,
            fleet: Fleet {
                is_known: true,
                new_upstreams: self.scenario.new,
                new_slots: self.scenario.new as u32 * 8,
                old_slots: self.scenario.old as u32 * 8,
                old_empty: switched,
                entries_switched: switched,
            },
            bounds: BOUNDS,
        };
        let (stage, share) = match decide(&view) {
            Decision::Hold => return,
            Decision::SetShare(share) => (RolloutStage::Ramp, share),
            Decision::Switch => (RolloutStage::Switched, ALL_PPM),
            Decision::Complete => (RolloutStage::Complete, ALL_PPM),
            Decision::RollBack(reason) => {
                self.outcome.reason = format!("{reason:?}");
                self.outcome.bad_at_decision = self.bad_new;
                (RolloutStage::RolledBack, 0)
            }
        };
        self.rollout.stage = stage as i32;
        self.rollout.share_ppm = share;
        self.rollout.stepped_ms = at_ms;
        self.rollout.step += 1;
        self.outcome.ended_ms = at_ms;
        self.outcome.largest_share = self.outcome.largest_share.max(share);
        self.pending = Some((at_ms + STEP_DELAY_MS, stage, share));
    }
}
