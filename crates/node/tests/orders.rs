//! Tests that an operator's order for a data centre or a rollout, acknowledged once, is not
//! undone by an older one that was delayed, resent or held by a frozen daemon.
//!
//! CI runs fixed seeds. For a longer run:
//! `SHUFFLE_SEEDS=500 cargo test --release -p node --test orders`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use node::Event;
use rand::Rng;
use std::time::Duration;
use test_case::test_case;
use wire::{
    ChangeResult, DataCentreOrder, OrderPosition, RolloutOrder, RolloutResult, control_reply,
    control_request,
};

const DATA_CENTRE: &str = "dc1";
const SETTLE: Duration = Duration::from_secs(40);
/// Time for which an operator waits for a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause of the operator between two orders.
const MAX_PAUSE: Duration = Duration::from_secs(3);
const ORDERS: usize = 40;

fn data_centre(out: bool, base: OrderPosition) -> control_request::Kind {
    control_request::Kind::DataCentre(DataCentreOrder {
        data_centre: DATA_CENTRE.to_owned(),
        out,
        base: Some(base),
    })
}

fn rollout(version: &str, base: OrderPosition) -> control_request::Kind {
    control_request::Kind::StartRollout(RolloutOrder {
        service: "booking".to_owned(),
        version: version.to_owned(),
        duration_ms: 60_000,
        base: Some(base),
    })
}

/// A cluster with an operator, who sends one request at a time.
struct Operator {
    sim: Simulation,
    last_id: u64,
}

impl Operator {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(3, 1, seed);
        sim.event(0, Event::Initialise);
        let settled = |s: &Simulation| s.daemons.iter().all(|d| d.is_fresh(s.now));
        sim.run_until(SETTLE, settled).expect("settles");
        Self { sim, last_id: 0 }
    }

    fn send(&mut self, i: usize, kind: control_request::Kind) -> u64 {
        self.last_id += 1;
        self.sim.send_request(i, self.last_id, kind);
        self.last_id
    }

    /// Returns the reply to a request if it arrives before `end`.
    fn reply(&mut self, i: usize, id: u64, end: Duration) -> Option<control_reply::Kind> {
        while self.sim.now < end {
            if let Some(reply) = self.sim.daemons[i].operator_replies.remove(&id) {
                return reply;
            }
            self.sim.tick();
        }
        None
    }

    /// Sends an order as the daemon does while the operator waits: first without a known
    /// position, then with that of the leader.
    fn order(
        &mut self,
        i: usize,
        request: impl Fn(OrderPosition) -> control_request::Kind,
    ) -> Option<control_reply::Kind> {
        let end = self.sim.now + PATIENCE;
        let mut base = OrderPosition::default();
        loop {
            let id = self.send(i, request(base));
            match self.reply(i, id, end)? {
                control_reply::Kind::NewestOrder(newest) => base = newest,
                reply => return Some(reply),
            }
        }
    }

    fn newest(&mut self, i: usize) -> OrderPosition {
        let id = self.send(i, data_centre(true, OrderPosition::default()));
        match self.reply(i, id, self.sim.now + PATIENCE) {
            Some(control_reply::Kind::NewestOrder(newest)) => newest,
            other => panic!("{other:?}"),
        }
    }

    fn is_out(&self, i: usize) -> bool {
        let node = self.sim.daemons[i].node();
        node.agent.is_out("another", DATA_CENTRE)
    }

    fn leader(&self) -> usize {
        let mut daemons = self.sim.daemons.iter();
        daemons.position(common::Daemon::is_leader).expect("leads")
    }
}

fn is_accepted(reply: Option<&control_reply::Kind>) -> bool {
    match reply {
        Some(control_reply::Kind::Change(outcome)) => outcome.result() == ChangeResult::Accepted,
        Some(control_reply::Kind::Rollout(outcome)) => outcome.result() == RolloutResult::Accepted,
        _ => false,
    }
}

/// Guards against an acknowledged evacuation that a delayed withdrawal undoes (review/1).
#[test]
fn data_centre_order_delayed_behind_a_later_one_has_no_effect() {
    let mut operator = Operator::new(1);
    assert!(is_accepted(
        operator.order(3, |b| data_centre(true, b)).as_ref()
    ));
    // The daemon learns the position, and the operator gives up on it before its order
    // arrives at the leader.
    let base = operator.newest(3);
    let leader = operator.leader();
    assert!(is_accepted(
        operator.order(leader, |b| data_centre(false, b)).as_ref()
    ));
    assert!(is_accepted(
        operator.order(leader, |b| data_centre(true, b)).as_ref()
    ));
    operator.send(3, data_centre(false, base));
    operator.sim.run(Duration::from_secs(5));
    assert!((0..4).all(|i| operator.is_out(i)));
}

/// Guards against an older withdrawal after an order that changed nothing: it was
/// acknowledged all the same (review/1).
#[test]
fn data_centre_order_delayed_behind_one_without_effect_has_no_effect() {
    let mut operator = Operator::new(2);
    assert!(is_accepted(
        operator.order(3, |b| data_centre(true, b)).as_ref()
    ));
    let base = operator.newest(3);
    assert!(is_accepted(
        operator.order(3, |b| data_centre(true, b)).as_ref()
    ));
    operator.send(3, data_centre(false, base));
    operator.sim.run(Duration::from_secs(5));
    assert!((0..4).all(|i| operator.is_out(i)));
}

/// Guards against a withdrawal sent in one term that takes effect in another (review/1).
#[test]
fn data_centre_order_of_an_earlier_term_has_no_effect() {
    let mut operator = Operator::new(3);
    assert!(is_accepted(
        operator.order(3, |b| data_centre(true, b)).as_ref()
    ));
    let base = operator.newest(3);
    let old = operator.leader();
    operator.sim.kill(old);
    let led = |s: &Simulation| s.daemons.iter().any(|d| d.node.is_some() && d.is_leader());
    operator.sim.run_until(SETTLE, led).expect("a new leader");
    operator.send(3, data_centre(false, base));
    operator.sim.run(Duration::from_secs(5));
    assert!(operator.is_out(3));
}

/// Guards against a rollout to a former version by an order that was delayed behind a
/// later one (the cause of review/1 on a related path).
#[test]
fn rollout_order_delayed_behind_a_later_one_has_no_effect() {
    let mut operator = Operator::new(4);
    let base = operator.newest(3);
    assert!(is_accepted(
        operator.order(3, |b| rollout("v3", b)).as_ref()
    ));
    let id = operator.send(3, rollout("v2", base));
    let reply = operator.reply(3, id, operator.sim.now + SETTLE);
    let Some(control_reply::Kind::NewestOrder(_)) = reply else {
        panic!("{reply:?}");
    };
}

/// A daemon of an earlier version states no base; its orders are carried out.
#[test]
fn data_centre_order_without_base_is_carried_out() {
    let mut operator = Operator::new(5);
    let order = DataCentreOrder {
        data_centre: DATA_CENTRE.to_owned(),
        out: true,
        base: None,
    };
    let id = operator.send(3, control_request::Kind::DataCentre(order));
    let reply = operator.reply(3, id, operator.sim.now + SETTLE);
    assert!(is_accepted(reply.as_ref()));
    operator.sim.run(Duration::from_secs(5));
    assert!((0..4).all(|i| operator.is_out(i)));
}

/// Injects a random fault, or ends all of them.
fn disturb(sim: &mut Simulation) {
    let i = sim.rng.random_range(0..sim.daemons.len());
    let other = sim.rng.random_range(0..sim.daemons.len());
    let up = sim.daemons[i].node.is_some();
    match sim.rng.random_range(0..12) {
        0 if up => sim.kill(i),
        1 | 2 if up => sim.freeze(i),
        3 if i != other => sim.cut(i, other),
        4 => sim.isolate(i),
        5 => sim.heal(),
        6..=8 => repair(sim),
        _ => {}
    }
}

fn repair(sim: &mut Simulation) {
    sim.heal();
    for i in 0..sim.daemons.len() {
        if sim.daemons[i].frozen {
            sim.thaw(i);
        }
        if sim.daemons[i].node.is_none() {
            sim.start(i);
        }
    }
}

/// Orders and withdraws evacuations through random daemons, beside faults. Between the
/// acknowledgement of an order and the next one, no fresh daemon may return to another
/// state once it has reached that of the order.
fn shuffle(seed: u64) {
    let mut operator = Operator::new(seed);
    operator.sim.duplicate_ratio = 0.05;
    operator.sim.delay = Duration::from_millis(15);
    for n in 0..ORDERS {
        let out = n % 2 == 0;
        loop {
            disturb(&mut operator.sim);
            let i = operator.sim.rng.random_range(0..4);
            if operator.sim.daemons[i].node.is_none() {
                repair(&mut operator.sim);
            }
            if is_accepted(operator.order(i, |b| data_centre(out, b)).as_ref()) {
                break;
            }
        }
        disturb(&mut operator.sim);
        let pause = operator.sim.rng.random_range(0..MAX_PAUSE.as_millis());
        let pause = Duration::from_millis(u64::try_from(pause).unwrap());
        operator.sim.run(pause);
        if n % 4 == 3 {
            repair(&mut operator.sim);
            let settled = |s: &Simulation| s.daemons.iter().all(|d| d.is_fresh(s.now));
            operator.sim.run_until(SETTLE, settled).expect("settles");
            operator.sim.run(MAX_PAUSE);
            for d in 0..4 {
                assert_eq!(
                    operator.is_out(d),
                    out,
                    "seed {seed}: order {n} undone at {d}"
                );
            }
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn shuffle_keeps_acknowledged_orders(seed: u64) {
    shuffle(seed);
}

#[test]
fn shuffle_longer_run() {
    common::shuffle_seeds(100, 2).for_each(shuffle);
}
