//! A customer's limit over three daemons, as the reducer keeps it: questions
//! and answers between daemons, and the home's loss.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::World;
use node::{Event, entry};
use std::time::Duration;
use wire::{ChangeOperation, ChangeRequest, Lists, OperationKind, UpstreamId, control_request};

const SETTLE: Duration = Duration::from_secs(30);
const CUSTOMER: &str = "tc-utrecht";
const RATE: u32 = 100;
const PLANS: &str = "[plan club]\nrate = 100\nburst = 100\nin-flight = 1000\n";
const CUSTOMERS: &str = "[customers]\ntc-utrecht = club\n";
/// Requests offered a second, at all daemons together.
const OFFERED: u32 = 300;

fn world() -> World {
    let mut world = World::new(3, 0, 1);
    world.event(0, Event::Initialise);
    let fresh = |w: &World| w.daemons.iter().all(|d| d.version() == 1);
    world.run_until(SETTLE, fresh).expect("never fresh");
    let operation = ChangeOperation {
        kind: OperationKind::Lists.into(),
        target: String::new(),
        lists: Some(Lists {
            customers: Some(CUSTOMERS.into()),
            plans: Some(PLANS.into()),
        }),
    };
    let change = ChangeRequest {
        change: "c-1".into(),
        base: 1,
        author: "anna".into(),
        operation: Some(operation),
    };
    world.ask(0, 1, control_request::Kind::Change(change));
    let applied = |w: &World| w.daemons.iter().all(|d| d.version() == 2);
    world.run_until(SETTLE, applied).expect("never applied");
    // Longer than a home's bucket takes to fill.
    world.run(Duration::from_secs(5));
    world
}

fn home(world: &World) -> usize {
    let homes = world.daemons[0].node().agent.homes();
    let home = quota::home_of(CUSTOMER, homes).expect("no home");
    world.index(&home.daemon)
}

fn request(id: u64) -> entry::Request {
    entry::Request {
        id,
        customer: CUSTOMER.into(),
        service: "booking".into(),
        class: None,
        safe_method: true,
        fingerprint: id,
        key: None,
        deadline: None,
        retry_budget: None,
        depth: 1,
        body_buffered: true,
        route_key: None,
        body_bytes: 0,
    }
}

/// Sends requests to some daemons in turn; returns how many their customer's
/// plan let in. There is no upstream, so that they end at once.
fn admitted(world: &mut World, daemons: &[usize], seconds: u32) -> u32 {
    let start = world.now;
    let count = OFFERED * seconds;
    for d in daemons {
        world.daemons[*d].entry.clear();
    }
    for i in 0..count {
        let at = start + Duration::from_secs(1) * i / OFFERED;
        while world.now < at {
            world.tick();
        }
        let id = world.now.as_nanos() as u64 + u64::from(i);
        let daemon = daemons[i as usize % daemons.len()];
        world.event(daemon, Event::Entry(entry::Event::Arrived(request(id))));
    }
    let limited = daemons.iter().flat_map(|d| &world.daemons[*d].entry);
    let limited = limited.filter(|effect| {
        let entry::Effect::Refuse(_, refusal) = effect else {
            return false;
        };
        assert_ne!(refusal.reason, entry::Reason::UnknownCustomer);
        refusal.reason == entry::Reason::PlanRate
    });
    count - u32::try_from(limited.count()).unwrap()
}

#[test]
fn limit_holds_over_daemons_whichever_is_home() {
    let mut world = world();
    let admitted = admitted(&mut world, &[0, 1, 2], 10);
    // Ten seconds of the rate, and the burst.
    assert!((RATE * 10..RATE * 12).contains(&admitted), "{admitted}");
}

#[test]
fn limit_holds_while_the_home_is_lost_and_changes() {
    let mut world = world();
    admitted(&mut world, &[0, 1, 2], 10);
    let home = home(&world);
    let others: Vec<usize> = (0..3).filter(|d| *d != home).collect();
    let lost: UpstreamId = world.daemons[home].name.as_str().into();
    world.kill(home);
    // Longer than it takes to notice that the home is gone.
    let admitted = admitted(&mut world, &others, 30);
    assert!((RATE * 29..RATE * 33).contains(&admitted), "{admitted}");
    let homes = world.daemons[others[0]].node().agent.homes();
    assert!(homes.iter().all(|home| home.daemon != lost), "{homes:?}");
}
