//! Rollouts under a control group of three, with fake gates that send heartbeats with
//! evidence to the leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use node::Event;
use std::time::Duration;
use test_case::test_case;
use wire::{
    Announcement, Body, Heartbeat, HeartbeatReply, Rollout, RolloutOrder, RolloutQuery,
    RolloutResult, RolloutStage, RouteEvidence, VersionEvidence, control_reply, control_request,
};

const HEARTBEAT: Duration = Duration::from_millis(500);
/// Duration of the rollouts.
const DURATION: Duration = Duration::from_secs(12);
/// Additional time that a rollout may take while control is unstable.
const OUTER: Duration = Duration::from_secs(5);
/// Link of the first fake gate; links of the simulation have lower numbers.
const FIRST_LINK: u64 = 1 << 40;
/// Bucket of normal service times.
const NORMAL: usize = 8;

/// A gate with an upstream, of which only the heartbeats exist.
struct Gate {
    name: String,
    version: &'static str,
    sequence: u64,
    config_version: u64,
    in_progress: u32,
    responses: u32,
    failures: u32,
    /// Whether a third of the responses fail.
    is_bad: bool,
}

impl Gate {
    fn new(number: usize, version: &'static str) -> Self {
        Self {
            name: format!("g{number}"),
            version,
            sequence: 0,
            config_version: 0,
            in_progress: 0,
            responses: 0,
            failures: 0,
            is_bad: false,
        }
    }

    /// Counts the responses since the last heartbeat.
    fn run_requests(&mut self, rollout: &Rollout) {
        let is_new = self.version == rollout.version;
        let count = match (rollout.stage(), is_new) {
            (RolloutStage::Canary, true) => 6,
            (RolloutStage::Ramp, true) => 30,
            (RolloutStage::Canary | RolloutStage::Ramp, false) => 60,
            (RolloutStage::Switched | RolloutStage::Complete, true) => 60,
            _ => 0,
        };
        self.responses += count;
        self.failures += if self.is_bad { count / 3 } else { 0 };
    }

    fn heartbeat(&mut self, rollout: u64) -> Heartbeat {
        self.sequence += 1;
        let mut service_times = vec![0; NORMAL];
        service_times.push(self.responses - self.failures);
        let routes = vec![RouteEvidence {
            route: "r".to_owned(),
            responses: self.responses,
            failures: self.failures,
            service_times,
        }];
        Heartbeat {
            daemon: self.name.clone(),
            incarnation: 1,
            sequence: self.sequence,
            address: format!("10.0.0.1:{}", 9_000 + self.sequence % 2),
            data_centre: "dc1".to_owned(),
            config_version: self.config_version,
            upstream: Some(Announcement {
                service: "booking".to_owned(),
                slots: 8,
                boot: "b".to_owned(),
                version: self.version.to_owned(),
                ..Announcement::default()
            }),
            evidence: (rollout > 0).then(|| VersionEvidence {
                rollout,
                version: self.version.to_owned(),
                routes,
            }),
            in_progress: self.in_progress,
            ..Heartbeat::default()
        }
    }
}

struct Fleet {
    sim: Simulation,
    gates: Vec<Gate>,
    next_heartbeat: Duration,
    next_request: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::with_settings(3, 1, seed, |settings| {
            settings.control.heartbeat_interval = HEARTBEAT;
            settings.control.election_timeout = Duration::from_millis(600);
            // Small enough that a snapshot is taken at each stage.
            settings.control.snapshot_entries = 4;
        });
        sim.event(0, Event::Initialise);
        let versions = ["v1", "v1", "v1", "v2", "v2", "v2"];
        let gates = versions.iter().enumerate();
        let mut fleet = Self {
            sim,
            gates: gates.map(|(i, version)| Gate::new(i, version)).collect(),
            next_heartbeat: Duration::ZERO,
            next_request: 0,
        };
        fleet.run(Duration::from_secs(8));
        fleet
    }

    fn leader(&self) -> Option<usize> {
        let mut daemons = self.sim.daemons.iter();
        daemons.position(|d| d.node.is_some() && d.is_leader() && !d.frozen)
    }

    /// Returns the rollout with the highest step that a replica has applied.
    fn rollout(&self) -> Option<Rollout> {
        let nodes = self.sim.daemons.iter().filter_map(|d| d.node.as_ref());
        let controls = nodes.filter_map(|n| n.control.as_ref());
        let rollouts = controls.filter_map(|c| c.config().rollouts.get("booking"));
        rollouts.max_by_key(|r| (r.id, r.step)).cloned()
    }

    fn stage(&self) -> RolloutStage {
        self.rollout().map_or(RolloutStage::Unknown, |r| r.stage())
    }

    fn run(&mut self, time: Duration) {
        let end = self.sim.now + time;
        while self.sim.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.sim.tick();
        self.take_replies();
        if self.sim.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.sim.now + HEARTBEAT;
        if let Some(leader) = self.leader() {
            self.send_heartbeats(leader);
        }
    }

    fn send_heartbeats(&mut self, leader: usize) {
        let rollout = self.rollout().unwrap_or_default();
        for (i, gate) in self.gates.iter_mut().enumerate() {
            gate.run_requests(&rollout);
            let event = Event::Received {
                link: Some(FIRST_LINK + i as u64),
                daemon: gate.name.as_str().into(),
                body: Body::Heartbeat(gate.heartbeat(rollout.id)),
            };
            self.sim.event(leader, event);
        }
    }

    fn take_replies(&mut self) {
        for (link, body) in std::mem::take(&mut self.sim.unrouted_replies) {
            let gate = usize::try_from(link - FIRST_LINK).unwrap();
            let Body::HeartbeatReply(HeartbeatReply {
                confirmed: true,
                config_version,
                ..
            }) = body
            else {
                continue;
            };
            let gate = &mut self.gates[gate];
            gate.config_version = gate.config_version.max(config_version);
        }
    }

    /// Runs until a stage is reached and returns how long it took.
    fn run_until(&mut self, stage: RolloutStage, limit: Duration) -> Duration {
        let start = self.sim.now;
        while self.stage() != stage {
            let elapsed = self.sim.now - start;
            assert!(elapsed < limit, "{:?} after {elapsed:?}", self.rollout());
            self.tick();
        }
        self.sim.now - start
    }

    fn send(&mut self, i: usize, kind: control_request::Kind) -> u64 {
        self.next_request += 1;
        self.sim.send_request(i, self.next_request, kind);
        self.next_request
    }

    /// Returns the reply to a request, or `None` if there is none within 5 s.
    fn reply(&mut self, i: usize, id: u64) -> Option<RolloutResult> {
        for _ in 0..500 {
            if let Some(reply) = self.sim.daemons[i].operator_replies.remove(&id) {
                let Some(control_reply::Kind::Rollout(outcome)) = reply else {
                    return None;
                };
                return Some(outcome.result());
            }
            self.tick();
        }
        None
    }

    fn order(&mut self, i: usize, version: &str) -> Option<RolloutResult> {
        let id = self.send(i, order(version));
        self.reply(i, id)
    }

    fn set_bad(&mut self) {
        let gates = self.gates.iter_mut().filter(|g| g.version == "v2");
        gates.for_each(|gate| gate.is_bad = true);
    }

    fn set_in_progress(&mut self, in_progress: u32) {
        let gates = self.gates.iter_mut().filter(|g| g.version == "v1");
        gates.for_each(|gate| gate.in_progress = in_progress);
    }

    fn step_lines(&self) -> Vec<String> {
        let lines = self.sim.daemons.iter().flat_map(|d| &d.logs);
        let steps = lines.filter(|line| line.event == "rollout_step");
        steps.map(|line| format!("{:?}", line.pairs)).collect()
    }
}

fn order(version: &str) -> control_request::Kind {
    control_request::Kind::StartRollout(RolloutOrder {
        service: "booking".to_owned(),
        version: version.to_owned(),
        duration_ms: u64::try_from(DURATION.as_millis()).unwrap(),
        base: None,
    })
}

fn query(service: &str) -> control_request::Kind {
    control_request::Kind::ReadRollout(RolloutQuery {
        service: service.to_owned(),
    })
}

#[test]
fn rollout_of_a_good_version_completes_in_time() {
    let mut fleet = Fleet::new(1);
    assert_eq!(fleet.order(3, "v2"), Some(RolloutResult::Accepted));
    fleet.run_until(RolloutStage::Complete, DURATION);
    let rollout = fleet.rollout().unwrap();
    assert_eq!(rollout.replaced_versions, ["v1"]);
    let lines = fleet.step_lines();
    assert_eq!(lines.len(), 5, "one line for each step: {lines:?}");
    fleet.run(Duration::from_secs(2));
    let node = fleet.sim.daemons[3].node();
    assert_eq!(node.agent.config.rollouts["booking"], rollout);
}

/// Guards against a switch to a version whose upstreams were never started.
#[test]
fn rollout_without_upstream_is_rolled_back_at_the_deadline() {
    let mut fleet = Fleet::new(1);
    fleet.order(3, "v9");
    let took = fleet.run_until(RolloutStage::RolledBack, DURATION + OUTER);
    assert!(took + Duration::from_millis(500) > DURATION, "{took:?}");
}

/// Guards against a completion at which requests would be cut off.
#[test]
fn rollout_completes_only_when_the_old_upstreams_are_empty() {
    let mut fleet = Fleet::new(1);
    fleet.set_in_progress(1);
    fleet.order(3, "v2");
    fleet.run(DURATION * 2);
    assert_eq!(fleet.stage(), RolloutStage::Switched);
    fleet.set_in_progress(0);
    fleet.run_until(RolloutStage::Complete, Duration::from_secs(2));
}

#[test]
fn rollout_of_a_bad_version_is_rolled_back() {
    let mut fleet = Fleet::new(1);
    fleet.set_bad();
    fleet.order(3, "v2");
    fleet.run_until(RolloutStage::RolledBack, Duration::from_secs(5));
    let rollout = fleet.rollout().unwrap();
    assert_eq!(rollout.share_ppm, 0);
    assert!(!rollout.reason.is_empty());
}

#[test]
fn rollout_becomes_bad_in_the_ramp_is_rolled_back() {
    let mut fleet = Fleet::new(1);
    fleet.order(3, "v2");
    fleet.run_until(RolloutStage::Ramp, DURATION);
    fleet.set_bad();
    fleet.run_until(RolloutStage::RolledBack, Duration::from_secs(2));
}

/// Guards against a log full of one step, when disks are slow.
#[test]
fn step_is_not_proposed_again_while_it_is_being_committed() {
    let mut fleet = Fleet::new(11);
    fleet.order(3, "v2");
    fleet.run(Duration::from_millis(5_200));
    assert_eq!(fleet.stage(), RolloutStage::Canary);
    let controls = fleet.sim.daemons.iter_mut().filter(|d| d.is_control);
    controls.for_each(|d| d.disk_stalled = true);
    fleet.run(Duration::from_millis(900));
    assert_eq!(fleet.stage(), RolloutStage::Canary);
    assert_eq!(fleet.step_lines().len(), 1, "{:?}", fleet.step_lines());
}

/// Guards against a rollout that stops or starts again when the leader is lost.
#[test_case(RolloutStage::Canary, 1)]
#[test_case(RolloutStage::Ramp, 2)]
#[test_case(RolloutStage::Switched, 3)]
fn leader_lost_at_stage(stage: RolloutStage, seed: u64) {
    let mut fleet = Fleet::new(seed);
    fleet.set_in_progress(u32::from(stage == RolloutStage::Switched));
    fleet.order(3, "v2");
    let ordered = fleet.sim.now;
    fleet.run_until(stage, DURATION);
    fleet.run(Duration::from_millis(300));
    assert_eq!(fleet.stage(), stage);
    let before = fleet.rollout().unwrap();
    let leader = fleet.leader().unwrap();
    fleet.sim.kill(leader);
    fleet.set_in_progress(0);
    let end = ordered + DURATION + OUTER;
    let limit = end - fleet.sim.now;
    fleet.run_until(RolloutStage::Complete, limit);
    assert_eq!(fleet.rollout().unwrap().id, before.id);
    assert_eq!(fleet.order(3, "v2"), Some(RolloutResult::Accepted));
    assert_eq!(fleet.stage(), RolloutStage::Complete);
}

/// Guards against a schedule that starts again from the log time of the last change:
/// nothing else is written while the canary runs.
#[test]
fn leader_lost_late_in_canary_delays_the_ramp_by_the_election_only() {
    let mut fleet = Fleet::new(4);
    fleet.order(3, "v2");
    let ordered = fleet.sim.now;
    fleet.run(Duration::from_secs(6));
    let leader = fleet.leader().unwrap();
    fleet.sim.kill(leader);
    let limit = ordered + DURATION + OUTER - fleet.sim.now;
    fleet.run_until(RolloutStage::Complete, limit);
}

/// Guards against evidence that is lost with the leader.
#[test]
fn leader_lost_in_canary_of_a_bad_version() {
    let mut fleet = Fleet::new(5);
    fleet.order(3, "v2");
    fleet.set_bad();
    fleet.run(Duration::from_millis(600));
    assert_eq!(fleet.stage(), RolloutStage::Canary);
    let leader = fleet.leader().unwrap();
    fleet.sim.kill(leader);
    fleet.run_until(RolloutStage::RolledBack, Duration::from_secs(4));
}

/// Guards against a rollout that is lost with all power. The replicas restart from a
/// snapshot and the log.
#[test_case(RolloutStage::Canary, 1)]
#[test_case(RolloutStage::Ramp, 2)]
#[test_case(RolloutStage::Switched, 3)]
fn all_power_lost_at_stage(stage: RolloutStage, seed: u64) {
    let mut fleet = Fleet::new(seed);
    fleet.set_in_progress(u32::from(stage == RolloutStage::Switched));
    fleet.order(3, "v2");
    fleet.run_until(stage, DURATION);
    fleet.run(Duration::from_millis(300));
    let before = fleet.rollout().unwrap();
    (0..3).for_each(|i| fleet.sim.kill(i));
    let snapshot = fleet.sim.daemons[0].disk.recover().snapshot;
    assert!(snapshot.is_some(), "no snapshot was taken");
    (0..3).for_each(|i| fleet.sim.start(i));
    fleet.run(Duration::from_secs(2));
    let after = fleet.rollout().unwrap();
    assert_eq!((after.id, after.ordered_ms), (before.id, before.ordered_ms));
    assert!(after.step >= before.step);
    fleet.set_in_progress(0);
    fleet.run_until(RolloutStage::Complete, DURATION + OUTER);
}

/// Guards against a former leader that rolls a good version back, or completes a
/// rollout, on evidence that only it has received.
#[test]
fn isolated_leader_makes_no_step() {
    let mut fleet = Fleet::new(6);
    fleet.order(3, "v2");
    let former = fleet.leader().unwrap();
    fleet.sim.isolate(former);
    fleet.set_bad();
    fleet.gates.iter_mut().for_each(|g| g.responses += 300);
    fleet.gates[3..].iter_mut().for_each(|g| g.failures += 100);
    fleet.send_heartbeats(former);
    fleet.sim.run(Duration::from_millis(300));
    assert!(fleet.sim.daemons[former].is_leader());
    assert!(
        !fleet.step_lines().is_empty(),
        "the former leader proposed no step"
    );
    assert_eq!(fleet.stage(), RolloutStage::Canary);
    fleet.gates.iter_mut().for_each(|g| {
        g.is_bad = false;
        g.failures = 0;
    });
    fleet.sim.run(Duration::from_secs(3));
    fleet.sim.heal();
    fleet.run_until(RolloutStage::Complete, DURATION + OUTER);
}

/// Guards against two operators who are both told that their order is carried out.
#[test_case("v2", "v3" => (1, 1); "different")]
#[test_case("v2", "v2" => (2, 0); "equal")]
fn two_orders_at_once(first: &str, second: &str) -> (usize, usize) {
    let mut fleet = Fleet::new(7);
    let a = fleet.send(0, order(first));
    let b = fleet.send(3, order(second));
    let results = [fleet.reply(0, a), fleet.reply(3, b)];
    let count = |result| results.iter().filter(|r| **r == Some(result)).count();
    assert_eq!(fleet.rollout().unwrap().id, 2);
    (
        count(RolloutResult::Accepted),
        count(RolloutResult::InProgress),
    )
}

#[test]
fn read_rollout_finds_the_newest() {
    let mut fleet = Fleet::new(8);
    let id = fleet.send(3, query("booking"));
    assert_eq!(fleet.reply(3, id), Some(RolloutResult::NotFound));
    fleet.order(3, "v2");
    let id = fleet.send(3, query("booking"));
    assert_eq!(fleet.reply(3, id), Some(RolloutResult::Accepted));
}

/// Guards against a read that returns an outdated state.
#[test]
fn read_rollout_from_an_isolated_leader_gets_no_reply() {
    let mut fleet = Fleet::new(9);
    let leader = fleet.leader().unwrap();
    fleet.sim.isolate(leader);
    let id = fleet.send(leader, query("booking"));
    assert_eq!(fleet.reply(leader, id), None);
}

#[test]
fn order_with_findings_is_invalid() {
    let mut fleet = Fleet::new(10);
    assert_eq!(fleet.order(3, ""), Some(RolloutResult::Invalid));
    assert_eq!(fleet.stage(), RolloutStage::Unknown);
}
