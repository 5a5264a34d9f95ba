//! Damaged data folders one after another, and several at once, in a cluster of five that
//! was bootstrapped by three and is still set to bootstrap. Each replica whose folder is
//! damaged starts again with an empty one.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod seeds;
mod simulation;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use simulation::Simulation;

const CI_SEEDS: u64 = 30;
const SERVERS: usize = 5;
/// Folders that may be damaged at once.
const TOLERATED: usize = 2;
const ROUNDS: usize = 8;
/// Time within which a command is acknowledged: several election timeouts.
const ACK_MS: u64 = 4_000;
/// Time within which all damaged replicas are voters again.
const REPLACED_MS: u64 = 8_000;
const STEP_MS: u64 = 20;

struct Damage {
    simulation: Simulation,
    rng: SmallRng,
    commands: u64,
}

impl Damage {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation::new(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        simulation.snapshot_entries = rng.random_range(10..60);
        simulation.bootstrap(SERVERS, SERVERS);
        simulation.initial_voters = (1..=3).map(|n| format!("n{n}")).collect();
        Self {
            simulation,
            rng,
            commands: 0,
        }
    }

    fn random_servers(&mut self, count: usize) -> Vec<String> {
        let mut names: Vec<String> = (1..=SERVERS).map(|n| format!("n{n}")).collect();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    fn damage(&mut self, names: &[String]) {
        for name in names {
            self.simulation.crash(name);
            let ms = self.rng.random_range(0..200);
            self.simulation.run(ms);
        }
        for name in names {
            self.simulation.server(name).disk.set_aside();
            self.simulation.restart(name);
        }
    }

    fn propose(&mut self) {
        if let Some(leader) = self.simulation.leader() {
            self.commands += 1;
            let command = format!("c{}", self.commands);
            self.simulation.propose(&leader, &command);
        }
        let name = self.random_servers(1).remove(0);
        self.simulation.read(&name);
    }

    /// Proposes commands until one is acknowledged.
    fn is_acknowledged_within(&mut self, ms: u64) -> bool {
        let acknowledged = self.simulation.acknowledged();
        let deadline = self.simulation.now + ms;
        while self.simulation.now < deadline {
            self.propose();
            self.simulation.run(5 * STEP_MS);
            if self.simulation.acknowledged() > acknowledged {
                return true;
            }
        }
        false
    }

    fn wait_until_replaced(&mut self) {
        let deadline = self.simulation.now + REPLACED_MS;
        while !self.all_vote() {
            let status = self.simulation.status();
            assert!(self.simulation.now < deadline, "not replaced:\n{status}");
            self.simulation.run(STEP_MS);
        }
    }

    fn all_vote(&mut self) -> bool {
        let mut members: Vec<u64> = match self.simulation.leader() {
            Some(leader) => {
                let replica = self.simulation.server(&leader).replica.as_ref().unwrap();
                if !replica.membership_is_complete() {
                    return false;
                }
                replica.membership().voters.iter().map(|v| v.id).collect()
            }
            None => return false,
        };
        let ids = self
            .simulation
            .servers
            .iter()
            .map(|s| s.replica.as_ref().unwrap().id());
        let mut ids: Vec<u64> = ids.collect();
        members.sort_unstable();
        ids.sort_unstable();
        members == ids
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            for _ in 0..self.rng.random_range(0..20) {
                self.propose();
                self.simulation.run(STEP_MS);
            }
            let count = self.rng.random_range(1..=TOLERATED);
            let names = self.random_servers(count);
            self.damage(&names);
            let status = self.simulation.status();
            assert!(
                self.is_acknowledged_within(ACK_MS),
                "not acknowledged:\n{status}"
            );
            self.wait_until_replaced();
        }
    }
}

/// Guards against damaged folders that stop changes, or cost the cluster a vote or an entry
/// that was given under the former identity.
#[test]
fn damaged_folders_are_replaced() {
    for seed in seeds::shuffle_seeds(1, CI_SEEDS) {
        println!("seed {seed}");
        Damage::new(seed).run();
    }
}

/// Guards against a new cluster, or an older state, after more folders were damaged at once
/// than the cluster tolerates.
#[test]
fn too_many_damaged_folders_stop_the_cluster() {
    for seed in seeds::shuffle_seeds(1, CI_SEEDS) {
        println!("seed {seed}");
        let mut damage = Damage::new(seed);
        assert!(damage.is_acknowledged_within(ACK_MS));
        let count = damage.rng.random_range(TOLERATED + 1..=SERVERS);
        let names = damage.random_servers(count);
        damage.damage(&names);
        assert!(!damage.is_acknowledged_within(ACK_MS));
    }
}
