//! Losses of members in each order around changes of the membership. A cluster of five
//! voters tolerates the loss of two at any time. A member that is back, or new, counts as lost
//! for [`CATCH_UP_MS`].

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod simulation;

use replica::Role;
use simulation::{ELECTION_TIMEOUT, Simulation};
use test_case::test_case;

/// Time after which a member that has started again counts as present: six election
/// timeouts, well below the time after which an unreachable leader is searched for.
const CATCH_UP_MS: u64 = 6 * ELECTION_TIMEOUT.as_millis() as u64;
/// Time within which the cluster has to serve again after its last losses.
const RECOVERY_MS: u64 = 20_000;

/// Starts `n1` to `n5`, of which `n1` to `n3` bootstrap the cluster.
fn five_voters() -> Simulation {
    let mut simulation = Simulation::new(1);
    simulation.bootstrap(5, 5);
    simulation
}

/// Asserts that each voter runs, and that nothing is lost with the disks of any two.
fn assert_tolerates_two_losses(simulation: &mut Simulation) {
    let voters = simulation.voters();
    let running = simulation.running();
    let missing: Vec<&String> = voters.iter().filter(|v| !running.contains(v)).collect();
    assert!(missing.is_empty(), "{missing:?} of {voters:?} do not run");
    let leader = simulation.leader().unwrap();
    simulation.propose(&leader, "acknowledged");
    simulation.run(100);
    let acknowledged = simulation.acknowledged();
    for name in &voters[1..3] {
        simulation.crash(name);
        simulation.server(name).disk.wipe();
    }
    simulation.run(CATCH_UP_MS / 3);
    for name in &voters[1..3] {
        simulation.restart(name);
    }
    let deadline = simulation.now + RECOVERY_MS;
    while simulation.acknowledged() == acknowledged {
        assert!(
            simulation.now < deadline,
            "no command is committed:\n{}",
            simulation.status()
        );
        if let Some(leader) = simulation.leader() {
            simulation.propose(&leader, "after the losses");
        }
        simulation.run(100);
    }
    simulation.run(RECOVERY_MS / 4);
    simulation.assert_all_applied();
}

/// Guards against a voter that was replaced while it was down, in place of one that is gone
/// for good, and that asks to join again only after seconds: until then a voter exists on
/// paper only, and the loss of two more ends the cluster.
#[test]
fn voter_replaced_while_down_takes_the_place_of_removed_one() {
    let mut simulation = five_voters();
    simulation.crash("n1");
    simulation.run(300);
    simulation.crash("n5");
    simulation.remove("n5");
    simulation.run(600);
    simulation.add("n6");
    simulation.run(CATCH_UP_MS);
    assert!(simulation.voters().contains(&"n6".to_owned()));
    simulation.restart("n1");
    simulation.run(CATCH_UP_MS);
    assert_tolerates_two_losses(&mut simulation);
}

/// Guards against join requests without end of a voter that is one and is merely cut off
/// from the leader in one direction.
#[test]
fn voter_that_hears_no_leader_stays_voter() {
    let mut simulation = five_voters();
    let leader = simulation.leader().unwrap();
    let deaf = simulation.voters().into_iter().find(|v| *v != leader);
    let deaf = deaf.unwrap();
    let before = simulation.voters();
    simulation.blocked_links.insert((leader, deaf.clone()));
    simulation.run(CATCH_UP_MS);
    simulation.blocked_links.clear();
    simulation.run(CATCH_UP_MS);
    assert_eq!(simulation.voters(), before);
    let replica = simulation.server(&deaf).replica.as_ref().unwrap();
    assert_eq!(replica.role(), Role::Follower);
}

/// Guards against a vote that ends with its process: after a planned replacement, the
/// successor first, the cluster tolerates the loss of two more at once.
#[test_case("n1"; "of the leader or another one that bootstraps")]
#[test_case("n2"; "of a second one that bootstraps")]
#[test_case("n5"; "of one that has joined")]
fn stopped_voter_passes_its_vote_to_its_successor(stopped: &str) {
    let mut simulation = five_voters();
    simulation.add("n6");
    simulation.run(CATCH_UP_MS);
    assert!(simulation.stop(stopped));
    simulation.remove(stopped);
    assert_tolerates_two_losses(&mut simulation);
}

/// Guards against a cluster without a leader for an election timeout after the planned stop
/// of the leader.
#[test]
fn stopped_leader_passes_its_leadership_on() {
    let mut simulation = five_voters();
    let former = simulation.leader().unwrap();
    assert!(simulation.stop(&former));
    let leader = simulation.leader().unwrap();
    simulation.propose(&leader, "after the stop");
    let acknowledged = simulation.acknowledged();
    simulation.run(50);
    assert!(simulation.acknowledged() > acknowledged);
}

/// Guards against a restart that costs a vote where no other replica can take it.
#[test]
fn stopped_voter_without_successor_keeps_its_vote() {
    let mut simulation = five_voters();
    let before = simulation.voters();
    let started = simulation.now;
    for name in ["n1", "n2", "n3", "n4", "n5"] {
        assert!(simulation.stop(name));
        simulation.restart(name);
        simulation.run(CATCH_UP_MS);
    }
    let waited = simulation.now - started - 5 * CATCH_UP_MS;
    assert!(
        waited < 5 * ELECTION_TIMEOUT.as_millis() as u64,
        "{waited} ms"
    );
    assert_eq!(simulation.voters(), before);
}
