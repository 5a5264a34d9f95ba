//! Tests that a customer's rate limit holds across three daemons, which lease
//! blocks of it from the customer's home, also when the home is lost.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;
mod requests;

use common::Simulation;
use node::{Event, entry};
use std::time::Duration;
use wire::{ChangeOperation, ChangeRequest, Lists, OperationKind, UpstreamId, control_request};

const SETTLE: Duration = Duration::from_secs(30);
const CUSTOMER: &str = "tc-utrecht";
const RATE: u32 = 100;
const PLANS: &str = "[plan club]\nrate = 100\nburst = 100\nin-flight = 1000\n";
const CUSTOMERS: &str = "[customers]\ntc-utrecht = club\n";
/// Requests offered per second, over all daemons.
const OFFERED: u32 = 300;

fn sim() -> Simulation {
    let mut sim = Simulation::new(3, 0, 1);
    sim.event(0, Event::Initialise);
    let fresh = |s: &Simulation| s.daemons.iter().all(|d| d.version() == 1);
    sim.run_until(SETTLE, fresh).expect("never fresh");
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
    sim.send_request(0, 1, control_request::Kind::Change(change));
    let applied = |s: &Simulation| s.daemons.iter().all(|d| d.version() == 2);
    sim.run_until(SETTLE, applied).expect("never applied");
    // Lets the home's token bucket fill completely.
    sim.run(Duration::from_secs(5));
    sim
}

fn home(sim: &Simulation) -> usize {
    let homes = sim.daemons[0].node().agent.homes();
    let home = quota::home_of(CUSTOMER, homes).expect("no home");
    sim.index(&home.daemon)
}

fn request(id: u64) -> entry::Request {
    entry::Request {
        customer: CUSTOMER.into(),
        service: "booking".into(),
        ..requests::request(id)
    }
}

/// Sends requests to the daemons in turn; returns how many the customer's plan
/// admitted. There is no upstream, so that admitted requests end immediately.
fn admitted(sim: &mut Simulation, daemons: &[usize], seconds: u32) -> u32 {
    let start = sim.now;
    let count = OFFERED * seconds;
    for d in daemons {
        sim.daemons[*d].entry.clear();
    }
    for i in 0..count {
        let at = start + Duration::from_secs(1) * i / OFFERED;
        while sim.now < at {
            sim.tick();
        }
        let id = sim.now.as_nanos() as u64 + u64::from(i);
        let daemon = daemons[i as usize % daemons.len()];
        sim.event(daemon, Event::Entry(entry::Event::Arrived(request(id))));
    }
    let limited = daemons.iter().flat_map(|d| &sim.daemons[*d].entry);
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
    let mut sim = sim();
    let admitted = admitted(&mut sim, &[0, 1, 2], 10);
    // Ten seconds of the rate, plus the burst.
    assert!((RATE * 10..RATE * 12).contains(&admitted), "{admitted}");
}

#[test]
fn limit_holds_while_the_home_is_lost_and_changes() {
    let mut sim = sim();
    admitted(&mut sim, &[0, 1, 2], 10);
    let home = home(&sim);
    let others: Vec<usize> = (0..3).filter(|d| *d != home).collect();
    let lost: UpstreamId = sim.daemons[home].name.as_str().into();
    sim.kill(home);
    // Runs for longer than it takes to detect that the home is lost.
    let admitted = admitted(&mut sim, &others, 30);
    assert!((RATE * 29..RATE * 33).contains(&admitted), "{admitted}");
    let homes = sim.daemons[others[0]].node().agent.homes();
    assert!(homes.iter().all(|home| home.daemon != lost), "{homes:?}");
}
