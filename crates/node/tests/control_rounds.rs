//! Which confirmation round answers a heartbeat.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::World;
use node::Event;
use std::time::Duration;
use wire::{Body, Heartbeat};

const FIRST: u64 = 1_000_001;
const SECOND: u64 = 1_000_002;

fn heartbeat(world: &mut World, leader: usize, link: u64) {
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
    world.event(leader, event);
}

fn cut_answers(world: &mut World, leader: usize) {
    (0..3).for_each(|other| world.cut(other, leader));
}

/// Returns the links that were answered as confirmed since the last call.
fn confirmed(world: &mut World) -> Vec<u64> {
    let stray = std::mem::take(&mut world.stray).into_iter();
    let confirmed = stray.filter_map(|(link, body)| match body {
        Body::HeartbeatReply(reply) if reply.confirmed => Some(link),
        _ => None,
    });
    confirmed.collect()
}

/// Returns three settled replicas and the leader among them.
fn settled() -> (World, usize) {
    let mut world = World::new(3, 0, 1);
    world.event(0, Event::Initialise);
    let settled = |w: &World| w.daemons.iter().all(|d| d.is_fresh(w.now));
    world
        .run_until(Duration::from_secs(30), settled)
        .expect("settles");
    world.run(Duration::from_millis(500));
    let leader = world.daemons.iter().position(|d| d.leads());
    (world, leader.expect("a leader"))
}

#[test]
fn heartbeat_during_a_round_waits_for_the_next_one() {
    let (mut world, leader) = settled();
    // The round's answers are held back, then come late.
    cut_answers(&mut world, leader);
    heartbeat(&mut world, leader, FIRST);
    world.run(Duration::from_millis(50));
    heartbeat(&mut world, leader, SECOND);
    world.run(Duration::from_millis(50));
    assert!(confirmed(&mut world).is_empty());
    // Those of the first round arrive; those of the next one are held back.
    world.heal();
    cut_answers(&mut world, leader);
    world.run(Duration::from_millis(50));
    assert_eq!(confirmed(&mut world), [FIRST]);
    world.heal();
    world.run(Duration::from_millis(50));
    assert_eq!(confirmed(&mut world), [SECOND]);
}

#[test]
fn heartbeat_is_answered_when_the_lead_is_lost() {
    let (mut world, leader) = settled();
    cut_answers(&mut world, leader);
    heartbeat(&mut world, leader, FIRST);
    let lease = world.daemons[leader].settings.control.lease;
    let answered = |w: &World| w.stray.iter().any(|(link, _)| *link == FIRST);
    let took = world.run_until(lease, answered).expect("an answer");
    assert!(took < lease * 3 / 4, "{took:?}");
    assert!(confirmed(&mut world).is_empty());
}

/// Returns the answers to a link's heartbeats, of which each was sent once:
/// whether it was confirmed, and which leader it named.
fn answers(world: &World, asked: u64) -> Vec<(bool, String)> {
    let of_link = world.stray.iter().filter(|(link, _)| *link == asked);
    let answers = of_link.filter_map(|(_, body)| match body {
        Body::HeartbeatReply(reply) => Some((reply.confirmed, reply.leader.clone())),
        _ => None,
    });
    answers.collect()
}

/// Load pattern: all VMs get power again at once. Heartbeats that come before
/// any replica leads are answered as soon as one does, or after 100 ms, so that
/// daemons don't go from one replica to the other until they meet the leader.
#[test]
fn heartbeat_before_a_replica_leads_waits_for_the_leader() {
    const STEP: Duration = Duration::from_millis(10);
    const HOLD: Duration = Duration::from_millis(100);
    let (mut world, _) = settled();
    (0..3).for_each(|i| world.kill(i));
    world.run(Duration::from_millis(100));
    (0..3).for_each(|i| world.start(i));
    let (begun, mut sent) = (world.now, Vec::new());
    while !world.daemons.iter().any(|d| d.leads()) {
        let link = FIRST + sent.len() as u64;
        heartbeat(&mut world, 0, link);
        sent.push((link, world.now));
        world.run(STEP);
        assert!(world.now - begun < Duration::from_secs(5), "no leader");
    }
    let led = world.now;
    let waits = |at: Duration| at + HOLD >= led + STEP * 2;
    world.run(HOLD);
    let gave_up = |at: Duration| at + HOLD + STEP * 2 <= led;
    for (link, at) in sent {
        let answers = answers(&world, link);
        assert_eq!(answers.len(), 1, "{link}");
        let (confirmed, leader) = &answers[0];
        let answered = *confirmed || !leader.is_empty();
        assert!(answered || !waits(at), "{link} met no leader");
        assert!(!answered || !gave_up(at), "{link} waited for too long");
    }
}
