//! Runs the scenario scripts of customers' limits.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod fake;

use conf::Plan;
use fake::Fleet;
use goldenscript::{ArgumentConsumer, Command};
use quota::{Ledger, LimitExceeded};
use std::error::Error;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

const BLOCK_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Runner {
    fleet: Option<Fleet>,
}

impl Runner {
    fn fleet(&mut self) -> &mut Fleet {
        self.fleet
            .as_mut()
            .expect("the scenario must begin with the fleet command")
    }

    /// Sends requests to entries in turn, evenly over a time.
    fn load(&mut self, entries: &[usize], rate: u32, time: Duration, hold: Duration) -> String {
        let fleet = self.fleet();
        let (start, messages) = (fleet.now, fleet.messages);
        let count = (f64::from(rate) * time.as_secs_f64()) as u32;
        let (mut admitted, mut over_rate, mut over_in_flight) = (0, 0, 0);
        let mut wait = Duration::ZERO;
        for i in 0..count {
            fleet.run_until(start + time * i / count);
            match fleet.admit(entries[i as usize % entries.len()], hold) {
                Ok(()) => admitted += 1,
                Err(LimitExceeded::Rate(after)) => {
                    over_rate += 1;
                    wait = wait.max(after);
                }
                Err(LimitExceeded::InFlight(after)) => {
                    over_in_flight += 1;
                    wait = wait.max(after);
                }
            }
        }
        fleet.run_until(start + time);
        let messages = fleet.messages - messages;
        let most_in_flight = std::mem::take(&mut fleet.in_flight.1);
        let plan = fleet.plan;
        // The rate may be exceeded by the rate over the lifetime of a block, by
        // the burst, and by the requests that entries admit without a block.
        let seconds = (time + BLOCK_LIFETIME).as_secs_f64();
        let unreserved_total = f64::from(u32::try_from(entries.len()).unwrap());
        let burst = f64::from(plan.burst.max(plan.rate));
        let allowed = f64::from(plan.rate) * seconds + burst + unreserved_total;
        assert!(f64::from(admitted) <= allowed, "{admitted} of {allowed}");
        // Entries with rare requests have no share of the in-flight limit, and each
        // admits one request before it knows that the limit is reached.
        let is_rare = rate as usize <= entries.len();
        let unreserved = if is_rare {
            u32::try_from(entries.len()).unwrap()
        } else {
            0
        };
        assert!(
            most_in_flight <= plan.in_flight + unreserved,
            "{most_in_flight}"
        );
        format!(
            "admitted={admitted} over_rate={over_rate} over_in_flight={over_in_flight} \
             longest_wait={}ms most_in_flight={} messages={messages}\n",
            wait.as_millis(),
            most_in_flight
        )
    }
}

fn plan(args: &mut ArgumentConsumer<'_>, old: Plan) -> Result<Plan, Box<dyn Error>> {
    Ok(Plan {
        rate: args.lookup_parse("rate")?.unwrap_or(old.rate),
        burst: args.lookup_parse("burst")?.unwrap_or(old.burst),
        in_flight: args.lookup_parse("in_flight")?.unwrap_or(old.in_flight),
        share: 1,
    })
}

fn millis(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(Duration::from_millis(args.lookup_parse(key)?.unwrap_or(0)))
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "fleet" => {
                let entries = args.lookup_parse("entries")?.unwrap_or(1);
                let none = Plan {
                    rate: 1,
                    burst: 1,
                    in_flight: 1_000,
                    share: 1,
                };
                self.fleet = Some(Fleet::new(entries, plan(&mut args, none)?, BLOCK_LIFETIME));
                String::new()
            }
            "load" => {
                let rate = args.lookup_parse("rate")?.unwrap_or(1);
                let (time, hold) = (millis(&mut args, "ms")?, millis(&mut args, "hold_ms")?);
                let entries: Vec<usize> = args
                    .rest_pos()
                    .iter()
                    .map(|a| a.value.parse().unwrap())
                    .collect();
                self.load(&entries, rate, time, hold)
            }
            "pass" => {
                let time = millis(&mut args, "ms")?;
                let fleet = self.fleet();
                fleet.run_until(fleet.now + time);
                String::new()
            }
            "plan" => {
                let fleet = self.fleet();
                fleet.plan = plan(&mut args, fleet.plan)?;
                fleet.version += 1;
                String::new()
            }
            "cut" => {
                self.fleet().reachable = false;
                String::new()
            }
            "heal" => {
                self.fleet().reachable = true;
                String::new()
            }
            "double" => {
                self.fleet().duplicate_requests = true;
                String::new()
            }
            "change_home" => {
                let fleet = self.fleet();
                fleet.home = Ledger::new(fleet.now, BLOCK_LIFETIME);
                String::new()
            }
            name => return Err(format!("unknown command {name}").into()),
        };
        args.reject_rest()?;
        Ok(output)
    }
}

#[test_case("rate")]
#[test_case("in_flight")]
#[test_case("unreachable")]
#[test_case("changes")]
fn scenario(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    goldenscript::run(&mut Runner::default(), folder.join(name)).unwrap();
}
