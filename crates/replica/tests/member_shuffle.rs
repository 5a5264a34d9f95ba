//! Randomised losses of members: machines that are down for a while, lose their disks, are
//! removed with and without notice, and are replaced, never more at once than the cluster
//! tolerates. Each round ends with the loss of as many disks as are tolerated at that moment.
//! The invariants in `simulation/invariants.rs` are checked after every step, and the cluster
//! has to serve again with all that was acknowledged.
//!
//! To run more seeds than CI does:
//! `SHUFFLE_SEEDS=2000 cargo test --release -p replica --test member_shuffle`

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod seeds;
mod simulation;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use replica::Input;
use simulation::{ELECTION_TIMEOUT, MAX_LEAVE_MS, Simulation};

const CI_SEEDS: u64 = 30;
const ROUNDS: usize = 4;
const EVENTS_PER_ROUND: usize = 6;
/// Losses that the cluster tolerates at once.
const MAX_LOST: usize = 2;
/// Time for which a machine that has started counts as lost.
const CATCH_UP_MS: u64 = 6 * ELECTION_TIMEOUT.as_millis() as u64;
/// Time after which a machine that is removed without notice, though its successor has caught
/// up, no longer counts as lost: that of an election, and of one election timeout of silence.
const NOTICE_MS: u64 = 4 * ELECTION_TIMEOUT.as_millis() as u64;
const RECOVERY_MS: u64 = 20_000;
const STEP_MS: u64 = 10;
/// Range of the time for which a machine is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 20..2_500;
/// Range of the time between two events, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 10..2_000;

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Runs since a time.
    Up(u64),
    /// Is down until a time.
    Down(u64),
    /// Runs, and is stopped and removed from a time on, once its successor has caught up.
    Replaced(u64),
    /// As above, but removed without notice.
    Removed(u64),
    /// Has been asked to stop, and is ended at a time at the latest.
    Stopping(u64),
}

#[derive(Debug)]
struct Machine {
    name: String,
    state: State,
}

struct Losses {
    simulation: Simulation,
    rng: SmallRng,
    machines: Vec<Machine>,
    /// Times at which successors of removed machines start.
    arrivals: Vec<u64>,
    /// Times until which machines that were removed without notice count as lost.
    unnoticed: Vec<u64>,
    started: usize,
    commands: u64,
    history: Vec<String>,
}

impl Losses {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation::new(seed);
        simulation.bootstrap(5, 5);
        let machine = |n| Machine {
            name: format!("n{n}"),
            state: State::Up(0),
        };
        Self {
            simulation,
            rng: SmallRng::seed_from_u64(seed),
            machines: (1..=5).map(machine).collect(),
            arrivals: Vec::new(),
            unnoticed: Vec::new(),
            started: 5,
            commands: 0,
            history: Vec::new(),
        }
    }

    fn play(&mut self) {
        for _ in 0..ROUNDS {
            for _ in 0..EVENTS_PER_ROUND {
                self.start_event();
                let ms = self.rng.random_range(GAP_MS);
                self.run(ms);
            }
            self.lose_disks();
            self.check_recovery();
        }
    }

    fn note(&mut self, text: String) {
        let now = self.simulation.now;
        self.history.push(format!("{now} ms: {text}"));
    }

    /// Returns how many machines count as lost. A machine that is removed without notice
    /// does so until its successor has caught up.
    fn lost(&self) -> usize {
        let now = self.simulation.now;
        let is_lost = |m: &&Machine| match m.state {
            State::Up(since) => since > 0 && now < since + CATCH_UP_MS,
            State::Down(_) => true,
            State::Replaced(_) | State::Removed(_) | State::Stopping(_) => false,
        };
        let unnoticed = self.unnoticed.iter().filter(|until| now < **until);
        let removed = self.arrivals.len() + unnoticed.count();
        self.machines.iter().filter(is_lost).count() + removed
    }

    /// Returns a random machine that runs and has caught up.
    fn random_machine(&mut self) -> Option<usize> {
        let now = self.simulation.now;
        let present = |m: &Machine| match m.state {
            State::Up(since) => since == 0 || now >= since + CATCH_UP_MS,
            _ => false,
        };
        let indexes = (0..self.machines.len()).filter(|i| present(&self.machines[*i]));
        let indexes: Vec<usize> = indexes.collect();
        indexes.choose(&mut self.rng).copied()
    }

    fn start_event(&mut self) {
        let Some(index) = self.random_machine().filter(|_| self.lost() < MAX_LOST) else {
            return;
        };
        let now = self.simulation.now;
        let name = self.machines[index].name.clone();
        let until = now + self.rng.random_range(DOWN_MS);
        match self.rng.random_range(0..6) {
            0 | 1 => {
                self.note(format!("{name} without power until {until}"));
                self.simulation.crash(&name);
                self.machines[index].state = State::Down(until);
            }
            2 => {
                self.note(format!("{name} killed until {until}"));
                self.simulation.kill(&name, true);
                self.machines[index].state = State::Down(until);
            }
            3 => self.lose_disk(index, until),
            4 => {
                self.note(format!("{name} removed, successor at {until}"));
                self.simulation.crash(&name);
                self.simulation.remove(&name);
                self.machines.remove(index);
                self.arrivals.push(until);
            }
            _ => {
                self.note(format!("{name} to be replaced"));
                self.add_machine();
                let index = self.machines.iter().position(|m| m.name == name).unwrap();
                self.machines[index].state = match self.rng.random_bool(0.5) {
                    true => State::Replaced(now + CATCH_UP_MS),
                    false => State::Removed(now + CATCH_UP_MS),
                };
            }
        }
    }

    fn lose_disk(&mut self, index: usize, until: u64) {
        let name = self.machines[index].name.clone();
        self.note(format!("{name} loses its disk, down until {until}"));
        self.simulation.crash(&name);
        self.simulation.server(&name).disk.wipe();
        self.machines[index].state = State::Down(until);
    }

    fn add_machine(&mut self) {
        self.started += 1;
        let name = format!("n{}", self.started);
        self.note(format!("{name} added"));
        self.simulation.add(&name);
        let state = State::Up(self.simulation.now);
        self.machines.push(Machine { name, state });
    }

    /// Advances the time, under load.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.simulation.run(STEP_MS);
            self.carry_out_due();
            if self.rng.random_bool(0.2)
                && let Some(leader) = self.simulation.leader()
            {
                self.commands += 1;
                self.simulation
                    .propose(&leader, &format!("c{}", self.commands));
            }
        }
    }

    fn carry_out_due(&mut self) {
        let now = self.simulation.now;
        let due = self.arrivals.extract_if(.., |at| *at <= now).count();
        (0..due).for_each(|_| self.add_machine());
        for index in (0..self.machines.len()).rev() {
            let name = self.machines[index].name.clone();
            match self.machines[index].state {
                State::Down(until) if now >= until => {
                    self.note(format!("{name} back"));
                    self.simulation.restart(&name);
                    self.machines[index].state = State::Up(now);
                }
                State::Replaced(from) if now >= from => {
                    self.note(format!("{name} asked to stop"));
                    self.simulation.input(&name, Input::Leave);
                    self.machines[index].state = State::Stopping(now + MAX_LEAVE_MS);
                }
                State::Removed(from) if now >= from && self.lost() < MAX_LOST => {
                    self.note(format!("{name} removed without notice"));
                    self.simulation.crash(&name);
                    self.simulation.remove(&name);
                    self.machines.remove(index);
                    self.unnoticed.push(now + NOTICE_MS);
                }
                State::Stopping(until) if now >= until || self.simulation.has_left(&name) => {
                    self.note(format!("{name} stopped, left {}", now < until));
                    self.simulation.crash(&name);
                    self.simulation.remove(&name);
                    self.machines.remove(index);
                }
                _ => {}
            }
        }
    }

    /// Loses as many disks at once as the cluster tolerates now.
    fn lose_disks(&mut self) {
        let until = self.simulation.now + self.rng.random_range(DOWN_MS);
        let mut names: Vec<String> = self.machines.iter().map(|m| m.name.clone()).collect();
        names.shuffle(&mut self.rng);
        for name in names {
            let index = self.machines.iter().position(|m| m.name == name).unwrap();
            let was_lost = self.lost();
            let is_up = matches!(self.machines[index].state, State::Up(_));
            if is_up && was_lost < MAX_LOST {
                self.lose_disk(index, until);
            }
        }
    }

    /// Ends all losses and waits until the cluster serves with all that was acknowledged.
    fn check_recovery(&mut self) {
        let deadline = self.simulation.now + RECOVERY_MS;
        while self.lost() > 0 || self.machines.len() != 5 {
            self.run(STEP_MS);
            let expired = self.simulation.now >= deadline;
            assert!(!expired, "{:?}: {:#?}", self.machines, self.history);
        }
        let acknowledged = self.simulation.acknowledged();
        while self.simulation.acknowledged() == acknowledged {
            self.run(STEP_MS);
            let expired = self.simulation.now >= deadline;
            let history = self.history.join("\n");
            let status = self.simulation.status();
            assert!(!expired, "no command is committed:\n{status}{history}");
        }
        self.simulation.run(RECOVERY_MS / 4);
        self.simulation.assert_all_applied();
        let mut voters = self.simulation.voters();
        voters.sort();
        let mut names: Vec<String> = self.machines.iter().map(|m| m.name.clone()).collect();
        names.sort();
        assert_eq!(voters, names, "{}", self.history.join("\n"));
    }
}

/// Guards against a cluster that is lost for good, or loses what it has acknowledged, by
/// losses that it should tolerate: a voter that exists on paper only makes it tolerate less.
#[test]
fn tolerated_losses_of_members_preserve_the_cluster() {
    for seed in seeds::shuffle_seeds(1, CI_SEEDS) {
        println!("seed {seed}");
        Losses::new(seed).play();
    }
}
