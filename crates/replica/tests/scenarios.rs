//! Runs the scenario scripts in `scenarios/`.
//!
//! A script's commands: `found N [snapshot=ENTRIES]`, `found_together N VOTERS`, `add`/`remove SERVER`, `run MS`,
//! `propose SERVER COMMAND…`, `fill SERVER COUNT`, `read SERVER`, `cut FROM TO`,
//! `cut_off SERVER`, `clock SERVER PERCENT`,
//! `heal`, `delay FROM TO MS`, `doubles on|off`, `reorders on|off`,
//! `freeze`/`wake SERVER`, `crash`/`crash_torn`/`restart SERVER`,
//! `wipe`/`damage`/`swap_disk SERVER`, `hold_syncs`/`sync`/`sync_next SERVER`, `fill_disk`/
//! `break_disk SERVER`, `status`, `level`. What happens meanwhile is printed.

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
        let named = args.lookup_parse("snapshot")?;
        let args: Vec<&str> = args.rest_pos().iter().map(|a| a.value.as_str()).collect();
        if let Some(entries) = named {
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
fn scenario_holds(name: &str) {
    let path = format!("tests/scenarios/{name}");
    let simulation = Simulation::new(1);
    goldenscript::run(&mut Runner { simulation }, path).unwrap();
}
