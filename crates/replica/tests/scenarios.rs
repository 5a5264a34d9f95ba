//! Runs the scenario scripts in `scenarios/`, which compare the events printed
//! by each group of commands.
//!
//! Commands of the scripts:
//!
//! - `initialise N [snapshot=ENTRIES]`: starts N servers, of which the first one
//!   creates the cluster
//! - `bootstrap N VOTERS`: starts N servers, of which three bootstrap a cluster
//! - `add SERVER`, `remove SERVER`
//! - `run MS`: advances the time
//! - `propose SERVER COMMAND…`, `propose_many SERVER COUNT`, `read SERVER`
//! - `block FROM TO`, `isolate SERVER`, `delay FROM TO MS`, `heal`: network
//!   partitions and delays
//! - `duplicate on|off`, `reorder on|off`: duplicated and reordered messages
//! - `clock SERVER PERCENT`: speed of the server's clock
//! - `freeze SERVER`, `resume SERVER`
//! - `crash SERVER`, `crash_mid_write SERVER`, `restart SERVER`
//! - `wipe SERVER`, `corrupt SERVER`, `swap_disk SERVER`, `fill_disk SERVER`,
//!   `fail_disk SERVER`, `lose_entries SERVER COUNT`
//! - `hold_syncs SERVER`, `sync SERVER`, `sync_next SERVER`: delayed syncs
//! - `status`: prints the state of all servers
//! - `check_applied`: asserts that all servers have applied the same commands

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod simulation;

use goldenscript::Command;
use replica::DiskError;
use simulation::Simulation;
use std::error::Error;
use std::fmt::Write;
use test_case::test_case;

struct Runner {
    simulation: Simulation,
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let snapshot_entries = args.lookup_parse("snapshot")?;
        let args: Vec<&str> = args.rest_pos().iter().map(|a| a.value.as_str()).collect();
        if let Some(entries) = snapshot_entries {
            self.simulation.snapshot_entries = entries;
        }
        let mut output = self.perform(&command.name, &args)?;
        for event in self.simulation.events.drain(..) {
            writeln!(output, "{event}")?;
        }
        Ok(output)
    }
}

impl Runner {
    fn perform(&mut self, name: &str, args: &[&str]) -> Result<String, Box<dyn Error>> {
        let simulation = &mut self.simulation;
        match (name, args) {
            ("initialise", [size]) => simulation.initialise(size.parse()?),
            ("bootstrap", [size, voters]) => {
                simulation.bootstrap(size.parse()?, voters.parse()?);
            }
            ("add", [server]) => simulation.add(server),
            ("remove", [server]) => simulation.remove(server),
            ("run", [ms]) => simulation.run(ms.parse()?),
            ("propose", [server, commands @ ..]) => {
                commands.iter().for_each(|c| simulation.propose(server, c));
            }
            ("propose_many", [server, count]) => {
                (0..count.parse()?).for_each(|i: u64| simulation.propose(server, &format!("f{i}")));
            }
            ("read", [server]) => simulation.read(server),
            ("block", [from, to]) => {
                simulation
                    .blocked_links
                    .insert(((*from).to_owned(), (*to).to_owned()));
            }
            ("isolate", [server]) => simulation.isolate(server),
            ("heal", []) => {
                simulation.blocked_links.clear();
                simulation.delays.clear();
            }
            ("delay", [from, to, ms]) => {
                let link = ((*from).to_owned(), (*to).to_owned());
                simulation.delays.insert(link, ms.parse()?);
            }
            ("duplicate", [on]) => simulation.duplicates = *on == "on",
            ("reorder", [on]) => simulation.reorders = *on == "on",
            ("freeze", [server]) => simulation.server(server).frozen = true,
            ("resume", [server]) => simulation.resume(server),
            ("crash", [server]) => simulation.crash(server),
            ("crash_mid_write", [server]) => simulation.crash_mid_write(server),
            ("restart", [server]) => simulation.restart(server),
            ("wipe", [server]) => simulation.server(server).disk.wipe(),
            ("swap_disk", [server]) => simulation.swap_disk(server),
            ("lose_entries", [server, count]) => {
                simulation.server(server).disk.lose_entries(count.parse()?);
            }
            ("corrupt", [server]) => simulation.server(server).disk.corrupt(),
            ("hold_syncs", [server]) => simulation.server(server).holds_syncs = true,
            ("sync", [server]) => {
                simulation.server(server).holds_syncs = false;
                simulation.sync(server);
            }
            ("sync_next", [server]) => simulation.sync_next(server),
            ("clock", [server, percent]) => {
                simulation.server(server).clock_percent = percent.parse()?;
            }
            ("fill_disk", [server]) => simulation.fail_disk(server, DiskError::Full),
            ("fail_disk", [server]) => simulation.fail_disk(server, DiskError::Stopped),
            ("check_applied", []) => simulation.assert_all_applied(),
            ("status", []) => return Ok(simulation.status()),
            _ => return Err(format!("unknown command {name} {args:?}").into()),
        }
        Ok(String::new())
    }
}

#[test_case("election")]
#[test_case("lost_leader")]
#[test_case("one_way_partition")]
#[test_case("two_way_partition")]
#[test_case("frozen_leader")]
#[test_case("slow_clock")]
#[test_case("lost_disk")]
#[test_case("torn_tail")]
#[test_case("corrupt_log")]
#[test_case("full_disk")]
#[test_case("membership_during_partitions")]
#[test_case("moved_replica")]
#[test_case("old_disk_returns")]
#[test_case("far_behind")]
#[test_case("pre_vote")]
#[test_case("unsynced")]
#[test_case("stalled_disk")]
#[test_case("late_messages")]
#[test_case("bootstrap")]
#[test_case("lost_tail")]
fn scenario_holds(name: &str) {
    let path = format!("tests/scenarios/{name}");
    let simulation = Simulation::new(1);
    goldenscript::run(&mut Runner { simulation }, path).unwrap();
}
