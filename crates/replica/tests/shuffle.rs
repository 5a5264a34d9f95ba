//! Randomised fault injection with 3 to 5 replicas. The invariants in
//! `simulation/invariants.rs` are checked after every step. After every
//! [`FAULTS_PER_ROUND`] faults, all of them are repaired and the replicas have
//! to converge within [`RECOVERY_MS`].
//!
//! To run more seeds than CI does:
//! `SHUFFLE_SEEDS=2000 cargo test --release -p replica --test shuffle`

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod seeds;
mod simulation;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use replica::{DiskError, Replica, Role};
use simulation::Simulation;

const CI_SEEDS: u64 = 40;
const ROUNDS: usize = 6;
const FAULTS_PER_ROUND: usize = 40;
const RECOVERY_MS: u64 = 20_000;
const STEP_MS: u64 = 20;

struct FaultInjection {
    simulation: Simulation,
    rng: SmallRng,
    commands: u64,
}

impl FaultInjection {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation::new(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        simulation.snapshot_entries = rng.random_range(10..60);
        simulation.initialise(3 + usize::try_from(seed % 3).unwrap());
        Self {
            simulation,
            rng,
            commands: 0,
        }
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            for _ in 0..FAULTS_PER_ROUND {
                self.inject_fault();
                self.generate_load();
                let ms = self.rng.random_range(1..80);
                self.simulation.run(ms);
            }
            self.repair();
        }
    }

    fn random_server(&mut self) -> String {
        let n = self.rng.random_range(0..self.simulation.servers.len());
        self.simulation.servers[n].name.clone()
    }

    fn generate_load(&mut self) {
        for _ in 0..self.rng.random_range(0..6) {
            let leader = self.simulation.leader();
            let at = match leader {
                Some(leader) if self.rng.random_bool(0.8) => leader,
                _ => self.random_server(),
            };
            if self.rng.random_bool(0.3) {
                self.simulation.read(&at);
            } else {
                self.commands += 1;
                self.simulation.propose(&at, &format!("c{}", self.commands));
            }
        }
    }

    fn inject_fault(&mut self) {
        let name = self.random_server();
        let other = self.random_server();
        match self.rng.random_range(0..32) {
            27..=31 => {
                let has_written = self.rng.random_bool(0.7);
                self.simulation.kill(&name, has_written);
            }
            0 => self.simulation.crash(&name),
            1 => self.simulation.crash_mid_write(&name),
            2..=5 => self.restart(&name),
            6 => self.simulation.server(&name).frozen = true,
            7 | 8 => self.simulation.resume(&name),
            9 => drop(self.simulation.blocked_links.insert((name, other))),
            10 => self.simulation.isolate(&name),
            11..=13 => self.simulation.blocked_links.clear(),
            14 => self.simulation.delays.clear(),
            15 => {
                let ms = self.rng.random_range(1..400);
                self.simulation.delays.insert((name, other), ms);
            }
            16 => self.simulation.duplicates = !self.simulation.duplicates,
            17 => self.simulation.reorders = !self.simulation.reorders,
            18 => self.simulation.server(&name).holds_syncs = true,
            19 | 20 => self.sync(&name),
            21 => self.simulation.sync_next(&name),
            22 | 23 => self.simulation.server(&name).clock_percent = self.rng.random_range(20..200),
            _ => self.lose_disk(&name),
        }
    }

    /// Restarts a server that is down. The disk of a faulty one is replaced, or works again
    /// and is reopened.
    fn restart(&mut self, name: &str) {
        let server = self.simulation.server(name);
        let faulty = server.replica.as_ref().map(Replica::role) == Some(Role::Faulty);
        if faulty {
            match self.rng.random_range(0..4) {
                0 => server.disk.wipe(),
                1 => server.disk.set_aside(),
                n => server.disk.mend(n == 2),
            }
        }
        if faulty || server.replica.is_none() {
            self.simulation.restart(name);
        }
    }

    fn sync(&mut self, name: &str) {
        let server = self.simulation.server(name);
        if !server.frozen {
            server.holds_syncs = false;
            self.simulation.sync(name);
        }
    }

    /// Loses a disk as soon as the replacement of the previous one is complete,
    /// and not before.
    fn lose_disk(&mut self, name: &str) {
        if !self.is_fully_replicated() {
            return;
        }
        match self.rng.random_range(0..3) {
            0 => {
                self.simulation.crash(name);
                self.simulation.server(name).disk.wipe();
            }
            1 => {
                self.simulation.crash(name);
                self.simulation.server(name).disk.corrupt();
            }
            _ => self.simulation.fail_disk(name, DiskError::Full),
        }
    }

    /// Returns whether every disk is healthy and belongs to a voter.
    fn is_fully_replicated(&self) -> bool {
        let servers = &self.simulation.servers;
        let Some(leader) = self.simulation.leader() else {
            return false;
        };
        let leader = servers.iter().find(|s| s.name == leader).unwrap();
        let Some(leader) = &leader.replica else {
            return false;
        };
        let voters = leader.membership().voters;
        leader.membership_is_complete()
            && servers.iter().all(|s| {
                let stored = s.disk.recover();
                let id = stored.hard_state.map_or(0, |h| h.id);
                s.disk.is_healthy() && voters.iter().any(|v| v.id == id)
            })
    }

    /// Ends all faults, replaces lost disks and waits until the replicas
    /// converge.
    fn repair(&mut self) {
        self.simulation.blocked_links.clear();
        self.simulation.delays.clear();
        self.simulation.duplicates = false;
        self.simulation.reorders = false;
        let names: Vec<String> = self
            .simulation
            .servers
            .iter()
            .map(|s| s.name.clone())
            .collect();
        for name in names {
            self.simulation.resume(&name);
            self.sync(&name);
            self.simulation.server(&name).clock_percent = 100;
            if !self.simulation.server(&name).disk.is_healthy() {
                self.simulation.crash(&name);
                self.simulation.server(&name).disk.wipe();
            }
            self.restart(&name);
        }
        let deadline = self.simulation.now + RECOVERY_MS;
        while !self.has_converged() {
            let expired = self.simulation.now >= deadline;
            assert!(
                !expired,
                "replicas did not converge:\n{}",
                self.simulation.status()
            );
            self.simulation.run(STEP_MS);
        }
        self.simulation.assert_all_applied();
    }

    fn has_converged(&mut self) -> bool {
        let Some(leader) = self.simulation.leader() else {
            return false;
        };
        let acknowledged = self.simulation.acknowledged();
        self.commands += 1;
        self.simulation
            .propose(&leader, &format!("c{}", self.commands));
        self.simulation.run(5 * STEP_MS);
        let committed = self.simulation.acknowledged() > acknowledged;
        self.simulation.run(5 * STEP_MS);
        committed && self.is_fully_replicated() && self.all_applied_equal()
    }

    fn all_applied_equal(&self) -> bool {
        let servers = &self.simulation.servers;
        let mut applied = servers.iter().map(|s| &s.applied);
        let first = applied.next().unwrap();
        applied.all(|a| a == first)
    }
}

#[test]
fn random_faults_preserve_invariants() {
    for seed in seeds::shuffle_seeds(1, CI_SEEDS) {
        println!("seed {seed}");
        FaultInjection::new(seed).run();
    }
}
