//! Tests which heartbeat round among the replicas confirms a daemon's heartbeat.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::Simulation;
use node::Event;
use std::time::Duration;
use wire::{Body, Heartbeat};

const FIRST: u64 = 1_000_001;
const SECOND: u64 = 1_000_002;

fn heartbeat(sim: &mut Simulation, leader: usize, link: u64) {
    let heartbeat = Heartbeat {
        daemon: format!("daemon-{link}"),
        incarnation: 1,
        sequence: 1,
        ..Heartbeat::default()
    };
    let event = Event::Received {
        link: Some(link),
        daemon: heartbeat.daemon.as_str().into(),
        body: Body::Heartbeat(heartbeat),
    };
    sim.event(leader, event);
}

fn cut_replies(sim: &mut Simulation, leader: usize) {
    (0..3).for_each(|other| sim.cut(other, leader));
}

/// Returns the links that received a confirmed reply since the last call.
fn confirmed(sim: &mut Simulation) -> Vec<u64> {
    let unrouted_replies = std::mem::take(&mut sim.unrouted_replies).into_iter();
    let confirmed = unrouted_replies.filter_map(|(link, body)| match body {
        Body::HeartbeatReply(reply) if reply.confirmed => Some(link),
        _ => None,
    });
    confirmed.collect()
}

/// Returns a cluster of three replicas that have elected a leader, and the
/// leader's index.
fn settled() -> (Simulation, usize) {
    let mut sim = Simulation::new(3, 0, 1);
    sim.event(0, Event::Initialise);
    let settled = |s: &Simulation| s.daemons.iter().all(|d| d.is_fresh(s.now));
    sim.run_until(Duration::from_secs(30), settled)
        .expect("settles");
    sim.run(Duration::from_millis(500));
    let leader = sim.daemons.iter().position(|d| d.is_leader());
    (sim, leader.expect("a leader"))
}

#[test]
fn heartbeat_during_a_round_waits_for_the_next_one() {
    let (mut sim, leader) = settled();
    // The replies to the first round are delayed.
    cut_replies(&mut sim, leader);
    heartbeat(&mut sim, leader, FIRST);
    sim.run(Duration::from_millis(50));
    heartbeat(&mut sim, leader, SECOND);
    sim.run(Duration::from_millis(50));
    assert!(confirmed(&mut sim).is_empty());
    // The replies to the first round arrive; those to the next are delayed.
    sim.heal();
    cut_replies(&mut sim, leader);
    sim.run(Duration::from_millis(50));
    assert_eq!(confirmed(&mut sim), [FIRST]);
    sim.heal();
    sim.run(Duration::from_millis(50));
    assert_eq!(confirmed(&mut sim), [SECOND]);
}

#[test]
fn heartbeat_gets_a_reply_when_leadership_is_lost() {
    let (mut sim, leader) = settled();
    cut_replies(&mut sim, leader);
    heartbeat(&mut sim, leader, FIRST);
    let lease = sim.daemons[leader].settings.control.lease;
    let replied = |s: &Simulation| s.unrouted_replies.iter().any(|(link, _)| *link == FIRST);
    let took = sim.run_until(lease, replied).expect("a reply");
    assert!(took < lease * 3 / 4, "{took:?}");
    assert!(confirmed(&mut sim).is_empty());
}

/// Returns the replies sent over a link: whether each was confirmed, and which
/// leader it named.
fn heartbeat_replies(sim: &Simulation, link: u64) -> Vec<(bool, String)> {
    let of_link = sim.unrouted_replies.iter().filter(|(l, _)| *l == link);
    let replies = of_link.filter_map(|(_, body)| match body {
        Body::HeartbeatReply(reply) => Some((reply.confirmed, reply.leader.clone())),
        _ => None,
    });
    replies.collect()
}

/// After a power cut all VMs start at the same time. Heartbeats that arrive
/// before a replica leads must be held until one does, for at most 100 ms;
/// otherwise daemons would try one replica after the other.
#[test]
fn heartbeat_before_a_replica_leads_waits_for_the_leader() {
    const STEP: Duration = Duration::from_millis(10);
    const HOLD: Duration = Duration::from_millis(100);
    let (mut sim, _) = settled();
    (0..3).for_each(|i| sim.kill(i));
    sim.run(Duration::from_millis(100));
    (0..3).for_each(|i| sim.start(i));
    let (start, mut sent) = (sim.now, Vec::new());
    while !sim.daemons.iter().any(|d| d.is_leader()) {
        let link = FIRST + sent.len() as u64;
        heartbeat(&mut sim, 0, link);
        sent.push((link, sim.now));
        sim.run(STEP);
        assert!(sim.now - start < Duration::from_secs(5), "no leader");
    }
    let elected_at = sim.now;
    let must_reach_leader = |at: Duration| at + HOLD >= elected_at + STEP * 2;
    sim.run(HOLD);
    let must_expire = |at: Duration| at + HOLD + STEP * 2 <= elected_at;
    for (link, at) in sent {
        let replies = heartbeat_replies(&sim, link);
        assert_eq!(replies.len(), 1, "{link}");
        let (confirmed, leader) = &replies[0];
        let leader_known = *confirmed || !leader.is_empty();
        assert!(
            leader_known || !must_reach_leader(at),
            "the heartbeat on link {link} was not held until a leader was known"
        );
        assert!(
            !leader_known || !must_expire(at),
            "the heartbeat on link {link} was held for longer than {HOLD:?}"
        );
    }
}
