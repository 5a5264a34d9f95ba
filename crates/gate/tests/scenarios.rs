//! Runs the scenario scripts of the gate against one gate with simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use gate::{Gate, GateLimits, LoadReport, Outcome, Placement, SlotRequest, Ticket};
use goldenscript::Command;
use std::collections::BTreeSet;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;
use wire::Announcement;

struct Runner {
    gate: Gate,
    now: Duration,
    running: BTreeSet<Ticket>,
    next: Ticket,
}

fn limits() -> GateLimits {
    GateLimits {
        cold_slots: 1,
        ramp_answers: 4,
        queue_ratio: 0.0,
        idle: Duration::from_secs(600),
        finds_knee: false,
        expects_reports: false,
        unlimited: false,
    }
}

impl Runner {
    fn new() -> Self {
        Self {
            gate: Gate::new(limits()),
            now: Duration::ZERO,
            running: BTreeSet::new(),
            next: 1_000,
        }
    }

    /// Parses a request; `objective` is in milliseconds.
    fn parse_request(command: &Command) -> Result<(SlotRequest, Vec<Ticket>), Box<dyn Error>> {
        let mut args = command.consume_args();
        let request = SlotRequest {
            ticket: 0,
            service: args.lookup_parse("service")?.unwrap_or("booking".into()),
            customer: args.lookup_parse("customer")?.unwrap_or("a".into()),
            share: args.lookup_parse("share")?.unwrap_or(1),
            class: args.lookup_parse("class")?.unwrap_or("page".into()),
            weight: args.lookup_parse("weight")?.unwrap_or(1),
            objective: args.lookup_parse("objective")?.map(Duration::from_millis),
            is_call: args.lookup_parse("call")?.unwrap_or(false),
        };
        let tickets = args.rest_pos();
        let tickets = tickets.iter().map(|a| a.value.parse());
        let tickets = tickets.collect::<Result<_, _>>()?;
        args.reject_rest()?;
        Ok((request, tickets))
    }

    fn admit(&mut self, request: &SlotRequest) -> String {
        match self.gate.admit(self.now, request) {
            Ok(Placement::Running) => {
                self.record_running(request.ticket);
                "runs".to_owned()
            }
            Ok(Placement::Queued { displaced: None }) => "waits".to_owned(),
            Ok(Placement::Queued {
                displaced: Some(other),
            }) => format!("waits, {other} is refused"),
            Err(reason) => format!("refused: {reason:?}"),
        }
    }

    fn record_running(&mut self, ticket: Ticket) {
        self.running.insert(ticket);
        let load = self.gate.load();
        assert!(load.in_flight <= load.limit, "past the limit: {load:?}");
    }

    /// Runs queued requests as long as there are free slots, and removes
    /// expired ones.
    fn run_waiting(&mut self) -> String {
        let mut out = String::new();
        for ticket in self.gate.remove_expired(self.now) {
            out.push_str(&format!("{ticket} expired\n"));
        }
        while let Some(ticket) = self.gate.admit_queued(self.now) {
            self.record_running(ticket);
            out.push_str(&format!("{ticket} runs\n"));
        }
        out
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome) -> bool {
        self.running.remove(&ticket);
        self.gate.finish(self.now, ticket, outcome)
    }

    /// Runs requests one after the other.
    fn serve(
        &mut self,
        request: &SlotRequest,
        count: u32,
        service_time: Duration,
    ) -> Result<(), Box<dyn Error>> {
        for _ in 0..count {
            self.next += 1;
            let request = SlotRequest {
                ticket: self.next,
                ..request.clone()
            };
            self.gate
                .admit(self.now, &request)
                .map_err(|reason| format!("{reason:?}"))?;
            self.now += service_time;
            self.gate.finish(self.now, self.next, Outcome::Whole(200));
        }
        Ok(())
    }
}

fn outcome(text: &str) -> Result<Outcome, Box<dyn Error>> {
    Ok(match text {
        "refused" => Outcome::Refused,
        "broken" => Outcome::Broken,
        status => Outcome::Whole(status.parse()?),
    })
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut out = String::new();
        let mut args = command.consume_args();
        match command.name.as_str() {
            "gate" => {
                self.now = Duration::ZERO;
                let reports = args.lookup_parse("reports")?.unwrap_or(false);
                let cold = args.lookup_parse("cold")?.unwrap_or(1);
                self.gate = Gate::new(GateLimits {
                    cold_slots: cold,
                    finds_knee: false,
                    expects_reports: reports,
                    queue_ratio: args.lookup_parse("queue")?.unwrap_or(0.0),
                    ..limits()
                });
                if let Some(longest) = args.lookup_parse("longest")? {
                    self.gate
                        .set_longest_deadline(Duration::from_millis(longest));
                }
            }
            "at" => {
                let to = args.next_pos().ok_or("time missing")?.parse()?;
                self.now = Duration::from_millis(to);
                self.gate.advance_clock(self.now);
            }
            "announce" => {
                let announcement = Announcement {
                    service: args.lookup_parse("service")?.unwrap_or("booking".into()),
                    slots: args.lookup_parse("slots")?.unwrap_or(6),
                    boot: args.lookup_parse("boot")?.unwrap_or("b1".into()),
                    leaving: args.lookup_parse("leaving")?.unwrap_or(false),
                    ..Announcement::default()
                };
                for lost in self
                    .gate
                    .announce(self.now, announcement)
                    .into_iter()
                    .flatten()
                {
                    self.running.remove(&lost);
                    writeln!(out, "{lost} lost")?;
                }
            }
            "admit" => {
                let (request, tickets) = Self::parse_request(command)?;
                for ticket in tickets {
                    let request = SlotRequest {
                        ticket,
                        ..request.clone()
                    };
                    writeln!(out, "{ticket} {}", self.admit(&request))?;
                }
                return Ok(out);
            }
            "finish" => {
                let ended = args.lookup_parse("as")?.unwrap_or("200".to_owned());
                let ended = outcome(&ended)?;
                for ticket in args.rest_pos() {
                    let ticket = ticket.value.parse()?;
                    if !self.finish(ticket, ended) {
                        writeln!(out, "{ticket} held no slot")?;
                    }
                }
            }
            "cancel" => {
                for ticket in args.rest_pos() {
                    self.gate.cancel(ticket.value.parse()?);
                }
            }
            "serve" => {
                let count = args.lookup_parse("count")?.unwrap_or(1);
                let took = args.lookup_parse("took")?.unwrap_or(10);
                let class = args.lookup_parse("class")?.unwrap_or("page".into());
                let (mut request, _) = Self::parse_request(&{
                    let mut plain = command.clone();
                    plain.args.clear();
                    plain
                })?;
                request.class = class;
                self.serve(&request, count, Duration::from_millis(took))?;
            }
            "report" => {
                let report = LoadReport {
                    in_flight: args.lookup_parse("in_flight")?.unwrap_or(0),
                    limit: args.lookup_parse("limit")?,
                    slow_percent: None,
                };
                self.gate.record_report(self.now, report);
            }
            "withdraw" => {
                for ticket in args.rest_pos() {
                    self.gate.withdraw(ticket.value.parse()?);
                }
            }
            "assume_cold" => self.gate.assume_cold(self.now),
            "load" => {}
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_rest()?;
        out.push_str(&self.run_waiting());
        let load = self.gate.load();
        let cold = if load.cold { ", cold" } else { "" };
        writeln!(out, "{} of {}{cold}", load.in_flight, load.limit)?;
        Ok(out)
    }

    fn end_command(&mut self, _command: &Command) -> Result<String, Box<dyn Error>> {
        let running = u32::try_from(self.running.len())?;
        assert_eq!(self.gate.load().in_flight, running, "the count is exact");
        Ok(String::new())
    }
}

#[test_case("cold_start")]
#[test_case("boot_id")]
#[test_case("assumed_cold")]
#[test_case("ramp")]
#[test_case("slots")]
#[test_case("drain")]
#[test_case("announcements")]
#[test_case("limit_reports")]
#[test_case("gate_restart")]
#[test_case("queue")]
#[test_case("queue_classes")]
#[test_case("queue_customers")]
#[test_case("queue_objectives")]
#[test_case("queue_calls")]
#[test_case("queue_floor")]
fn gate_scenario(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    goldenscript::run(&mut Runner::new(), dir.join(name)).unwrap();
}
