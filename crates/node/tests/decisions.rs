//! Runs the scenario scripts of the entry's and the gate's decisions.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "decisions/fleet.rs"]
mod fleet;

use fleet::Fleet;
use gate::{LoadReport, Outcome};
use goldenscript::{ArgumentConsumer, Command};
use node::{Event, admission, entry};
use std::error::Error;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;
use wire::{Announcement, AttemptId, ClaimDecision, Refuse, RefuseReason, RequestId};

type Fallible<T> = Result<T, Box<dyn Error>>;

struct Runner {
    fleet: Fleet,
    /// Number of the last request that a command made up.
    next: RequestId,
}

fn next(args: &mut ArgumentConsumer<'_>) -> Fallible<String> {
    Ok(args.next_pos().ok_or("argument missing")?.value.clone())
}

/// Reads `request.attempt`.
fn attempt(args: &mut ArgumentConsumer<'_>) -> Fallible<(RequestId, AttemptId)> {
    let text = next(args)?;
    let (request, attempt) = text.split_once('.').ok_or("no attempt")?;
    Ok((request.parse()?, attempt.parse()?))
}

fn announcement(args: &mut ArgumentConsumer<'_>) -> Fallible<Announcement> {
    Ok(Announcement {
        service: args.lookup_parse("service")?.unwrap_or("court".into()),
        slots: args.lookup_parse("slots")?.unwrap_or(2),
        boot: args.lookup_parse("boot")?.unwrap_or("b1".into()),
        leaving: args.lookup_parse("leaving")?.unwrap_or(false),
        ..Announcement::default()
    })
}

fn request(args: &mut ArgumentConsumer<'_>) -> Fallible<entry::Request> {
    let id = next(args)?.parse()?;
    let class: Option<String> = args.lookup_parse("class")?;
    let key: Option<String> = args.lookup_parse("key")?;
    let deadline: Option<u64> = args.lookup_parse("deadline")?;
    Ok(entry::Request {
        id,
        customer: args.lookup_parse("customer")?.unwrap_or("club".into()),
        service: args.lookup_parse("service")?.unwrap_or("court".into()),
        class: class.map(Into::into),
        safe_method: args.lookup_parse("safe")?.unwrap_or(true),
        fingerprint: args.lookup_parse("print")?.unwrap_or(id),
        key: key.map(Into::into),
        deadline: deadline.map(Duration::from_millis),
        retry_budget: args.lookup_parse("budget")?,
        depth: args.lookup_parse("depth")?.unwrap_or(1),
        body_buffered: args.lookup_parse("held")?.unwrap_or(true),
        route_key: None,
        body_bytes: 0,
    })
}

fn arrival(args: &mut ArgumentConsumer<'_>) -> Fallible<admission::Arrival> {
    Ok(admission::Arrival {
        ticket: 0,
        service: args.lookup_parse("service")?.unwrap_or("court".into()),
        customer: args.lookup_parse("customer")?.unwrap_or("club".into()),
        class: args.lookup_parse("class")?.unwrap_or("page".into()),
        deadline: Duration::from_millis(args.lookup_parse("deadline")?.unwrap_or(1_000)),
        fingerprint: args.lookup_parse("print")?.unwrap_or(0),
        claim: args.lookup_parse("claim")?.unwrap_or(0),
        idempotent: args.lookup_parse("idempotent")?.unwrap_or(true),
        weight: 2,
        suspected: false,
        objective: None,
        link: 0,
        believed_slow_percent: 0,
    })
}

fn refuse_reason(name: &str) -> Fallible<RefuseReason> {
    let all = (0..14).filter_map(|i| RefuseReason::try_from(i).ok());
    let mut found = all.filter(|reason| format!("{reason:?}") == name);
    found.next().ok_or_else(|| "no such reason".into())
}

fn outcome(text: &str) -> Fallible<Outcome> {
    Ok(match text {
        "refused" => Outcome::Refused,
        "broken" => Outcome::Broken,
        status => Outcome::Whole(status.parse()?),
    })
}

fn decision(name: &str) -> Fallible<ClaimDecision> {
    let all = (0..7).filter_map(|i| ClaimDecision::try_from(i).ok());
    let mut found = all.filter(|decision| format!("{decision:?}") == name);
    found.next().ok_or_else(|| "no such decision".into())
}

impl Runner {
    /// Starts daemons, written as `name@data-centre`, and announces the
    /// upstreams beside those that don't begin with an "e".
    fn start(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<()> {
        let retry: Option<f64> = args.lookup_parse("retry")?;
        let hedge: Option<f64> = args.lookup_parse("hedge")?;
        let cold = args.lookup_parse("cold")?.unwrap_or(false);
        let load_path: Option<String> = args.lookup_parse("load")?;
        let probe: Option<u32> = args.lookup_parse("probe")?;
        let queue = args.lookup_parse("queue")?.unwrap_or(0.0);
        let announced = announcement(args)?;
        let names: Vec<String> = args.rest_pos().iter().map(|a| a.value.clone()).collect();
        let mut gates = Vec::new();
        for name in &names {
            let (name, data_centre) = name.split_once('@').ok_or("no data centre")?;
            self.fleet.add(name, data_centre, |settings| {
                let routing = &mut settings.routing;
                routing.retry_ratio = retry.unwrap_or(routing.retry_ratio);
                routing.hedge_ratio = hedge.unwrap_or(0.0);
                routing.probe_bytes = probe.unwrap_or(routing.probe_bytes);
                let upstream = settings.upstream.as_mut().unwrap();
                upstream.load_path.clone_from(&load_path);
                settings.gate.queue_ratio = queue;
            });
            gates.push(name.to_owned());
        }
        let (entries, gates): (Vec<_>, Vec<_>) =
            gates.into_iter().partition(|name| name.starts_with('e'));
        let fresh = self.fleet.now + Duration::from_millis(100);
        self.fleet.pass(fresh);
        for name in &gates {
            self.fleet.announce(name, announced.clone());
        }
        for (id, name) in (9_000_000..).zip(&entries) {
            self.fleet.subscribe(name, id);
        }
        let settled = self.fleet.now + Duration::from_secs(11);
        self.fleet.pass(settled);
        if !cold {
            gates.iter().for_each(|name| self.fleet.warm(name));
        }
        Ok(())
    }

    fn entry_event(&mut self, command: &Command) -> Fallible<()> {
        let mut args = command.consume_args();
        let at = next(&mut args)?;
        let (request, attempt) = attempt(&mut args)?;
        let status = args.lookup_parse("status")?.unwrap_or(200);
        let event = match command.name.as_str() {
            "refused" => {
                let only_at = args.lookup_parse("only")?.unwrap_or_default();
                let reason = refuse_reason(&next(&mut args)?)?;
                let refuse = Refuse {
                    reason: reason.into(),
                    only_at,
                    ..Refuse::default()
                };
                entry::Event::Refused(request, attempt, refuse)
            }
            "unsent" => entry::Event::NotSent(request, attempt),
            "answering" => entry::Event::Answering(request, attempt, status, None),
            "ended" => entry::Event::Ended(request, attempt, 0, None),
            _ => entry::Event::Broken(request, attempt, None),
        };
        args.reject_rest()?;
        self.fleet.event(&at, Event::Entry(event));
        Ok(())
    }

    fn gate_event(&mut self, command: &Command) -> Fallible<()> {
        let mut args = command.consume_args();
        let at = next(&mut args)?;
        match command.name.as_str() {
            "announce" => {
                let announcement = announcement(&mut args)?;
                self.fleet.announce(&at, announcement);
            }
            "end" => {
                let (request, attempt) = attempt(&mut args)?;
                let ended = args.lookup_parse("as")?.unwrap_or("200".to_owned());
                self.fleet.end(&at, request, attempt, outcome(&ended)?);
            }
            "crash" => self.fleet.crash(&at),
            "finish" => {
                let ended = args.lookup_parse("as")?.unwrap_or("200".to_owned());
                self.fleet.finish(&at, outcome(&ended)?);
            }
            "warm" => self.fleet.warm(&at),
            "report" => {
                let report = LoadReport {
                    in_flight: args.lookup_parse("in_flight")?.unwrap_or(0),
                    limit: args.lookup_parse("limit")?,
                    cold_remaining: None,
                    slow_percent: None,
                };
                let event = admission::Event::Reported(report);
                self.fleet.event(&at, Event::Admission(event));
            }
            _ => {
                let arrival = arrival(&mut args)?;
                self.fleet.repeat(&at, arrival);
            }
        }
        args.reject_rest()?;
        Ok(())
    }

    fn control(&mut self, command: &Command) -> Fallible<()> {
        let mut args = command.consume_args();
        let what = next(&mut args)?;
        match command.name.as_str() {
            "control" => self.fleet.control = what == "on",
            "links" => self.fleet.linked = what == "on",
            "grants" => self.fleet.grants = what == "on",
            "out" => self.fleet.out(&what, true),
            "return" => self.fleet.out(&what, false),
            _ => {
                let status = args.lookup_parse("status")?.unwrap_or(0);
                self.fleet.answer_claim(decision(&what)?, status);
            }
        }
        args.reject_rest()?;
        Ok(())
    }

    /// Calls through `depth` entries, each of which calls the next. Every
    /// attempt breaks, or with `last` only those at the end of the chain.
    /// Returns how often the end was called.
    fn chain(
        &mut self,
        level: u32,
        (depth, last): (u32, bool),
        budget: Option<u32>,
    ) -> Fallible<u32> {
        self.next += 1;
        let id = self.next;
        let at = format!("e{level:02}");
        let text = format!("arrive {id} class=page depth={level}");
        let mut call = request(&mut parse(&text).consume_args())?;
        call.retry_budget = budget;
        self.fleet.arrive(&at, call);
        let mut leaves = 0;
        for attempt in 1.. {
            let Some(handed) = self.fleet.handed.remove(&(id, attempt)) else {
                break;
            };
            leaves += if level == depth {
                1
            } else {
                self.chain(level + 1, (depth, last), Some(handed))?
            };
            assert!(leaves <= 21, "{leaves} calls at the end of a chain");
            let events = if last && level < depth {
                vec![
                    entry::Event::Answering(id, attempt, 502, None),
                    entry::Event::Ended(id, attempt, 0, None),
                ]
            } else {
                vec![entry::Event::Broken(id, attempt, None)]
            };
            for event in events {
                self.fleet.event(&at, Event::Entry(event));
            }
        }
        Ok(leaves)
    }

    fn chains(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<String> {
        let depth = args.lookup_parse("depth")?.unwrap_or(17);
        let last = args.lookup_parse("last")?.unwrap_or(false);
        let count: u32 = args.lookup_parse("count")?.unwrap_or(1);
        let mut worst = 0;
        let mut total = 0;
        for _ in 0..count {
            let leaves = self.chain(1, (depth, last), None)?;
            worst = worst.max(leaves);
            total += leaves;
        }
        self.fleet.log.clear();
        Ok(format!(
            "{total} calls at the end, {worst} at most for one\n"
        ))
    }

    /// Sends many requests to one service; returns how many wait or run, and
    /// when the others are told to come back.
    fn crowd(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<String> {
        let at = next(args)?;
        let count: u64 = args.lookup_parse("count")?.unwrap_or(1_000);
        let service: String = args.lookup_parse("service")?.unwrap_or("court".to_owned());
        let text = format!("arrive 1 class=page service={service}");
        let plain = request(&mut parse(&text).consume_args())?;
        self.fleet.returns.clear();
        for _ in 0..count {
            self.next += 1;
            let request = entry::Request {
                id: self.next,
                ..plain.clone()
            };
            self.fleet.arrive(&at, request);
        }
        self.fleet.log.clear();
        let under_way = self.fleet.node(&at).entry.in_flight();
        let returns = std::mem::take(&mut self.fleet.returns);
        let mut deciles = [0; 10];
        for after in &returns {
            let tenth = after
                .as_millis()
                .checked_sub(1_000)
                .expect("a second at least")
                / 100;
            deciles[usize::try_from(tenth)?] += 1;
        }
        Ok(format!(
            "{under_way} under way, {} refused, back after 1 s and 0 to 9 tenths: {deciles:?}\n",
            returns.len()
        ))
    }

    /// Sends many requests whose attempts all end in the same way; returns
    /// how many attempts a request cost.
    fn outage(&mut self, args: &mut ArgumentConsumer<'_>) -> Fallible<String> {
        let at = next(args)?;
        let count: u64 = args.lookup_parse("count")?.unwrap_or(1_000);
        let how: String = args.lookup_parse("as")?.unwrap_or("broken".to_owned());
        let log = std::mem::take(&mut self.fleet.log);
        for id in 1_000_000..1_000_000 + count {
            let mut plain = request(&mut Command::consume_args(&parse("arrive 1 class=page")))?;
            plain.id = id;
            plain.fingerprint = id;
            self.fleet.arrive(&at, plain);
            for attempt in 1..10 {
                let event = match how.as_str() {
                    "broken" => entry::Event::Broken(id, attempt, None),
                    _ => entry::Event::NotSent(id, attempt),
                };
                self.fleet.event(&at, Event::Entry(event));
            }
        }
        self.fleet.log = log;
        let made = self.fleet.node(&at).entry.attempts();
        assert_eq!(self.fleet.node(&at).entry.in_flight(), 0);
        Ok(format!("{made:?}\n"))
    }
}

/// Parses a command that a test makes up.
fn parse(text: &str) -> Command {
    struct Keep(Option<Command>);
    impl goldenscript::Runner for Keep {
        fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
            self.0 = Some(command.clone());
            Ok(String::new())
        }
    }
    let mut keep = Keep(None);
    goldenscript::generate(&mut keep, &format!("{text}\n---\n")).unwrap();
    keep.0.unwrap()
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Fallible<String> {
        let mut args = command.consume_args();
        let mut out = String::new();
        match command.name.as_str() {
            "start" => self.start(&mut args)?,
            "wait" => {
                let ms = next(&mut args)?.parse()?;
                let until = self.fleet.now + Duration::from_millis(ms);
                self.fleet.pass(until);
            }
            // Time passes while every daemon is paused.
            "pause" => self.fleet.now += Duration::from_millis(next(&mut args)?.parse()?),
            "arrive" => {
                let at = next(&mut args)?;
                let request = request(&mut args)?;
                args.reject_rest()?;
                self.fleet.arrive(&at, request);
            }
            "gone" => {
                let at = next(&mut args)?;
                let id = next(&mut args)?.parse()?;
                let event = Event::Entry(entry::Event::CallerGone(id));
                self.fleet.event(&at, event);
            }
            "stop" => {
                let at = next(&mut args)?;
                self.fleet.event(&at, Event::Stop);
            }
            "refused" | "unsent" | "answering" | "ended" | "broken" => {
                self.entry_event(command)?;
            }
            "announce" | "end" | "finish" | "crash" | "warm" | "report" | "open" => {
                self.gate_event(command)?;
            }
            "control" | "links" | "grants" | "out" | "return" | "claim" => {
                self.control(command)?;
            }
            "crowd" => out = self.crowd(&mut args)?,
            "outage" => out = self.outage(&mut args)?,
            "in-flight-limit" => self.fleet.in_flight_limit = next(&mut args)?.parse()?,
            "restart" => self.fleet.restart(&next(&mut args)?),
            "poison" => {
                let print = next(&mut args)?.parse()?;
                self.fleet.poison.insert(print);
            }
            "cure" => {
                let print = next(&mut args)?.parse()?;
                self.fleet.poison.remove(&print);
            }
            "chains" => out = self.chains(&mut args)?,
            "tell" => {
                let at = next(&mut args)?;
                let count = args.lookup_parse("count")?.unwrap_or(1);
                let told = (0..count).filter(|_| self.fleet.tell_load(&at)).count();
                out = format!("{told} of {count} told\n");
            }
            "attempts" => {
                let at = next(&mut args)?;
                let attempts = self.fleet.node(&at).entry.attempts();
                out = format!("{attempts:?}\n");
            }
            "load" => {
                let at = next(&mut args)?;
                let load = self.fleet.node(&at).admission.load();
                out = format!("{load:?}\n");
            }
            "count" => out = format!("runs {:?}\n", self.fleet.runs),
            "read-report" => {
                let at = next(&mut args)?;
                let paid = self.fleet.may_read_report(&at);
                out = if paid { "paid\n" } else { "denied\n" }.to_owned();
            }
            "measured" => {
                let at = next(&mut args)?;
                let count = self.fleet.node(&at).admission.measuring();
                out = format!("{count:?}\n");
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        let log = std::mem::take(&mut self.fleet.log);
        Ok(format!("{log}{out}"))
    }

    fn end_command(&mut self, _command: &Command) -> Fallible<String> {
        let worst = self.fleet.crashes.values().max();
        assert!(
            worst.is_none_or(|n| *n <= 2),
            "more than two upstreams lost"
        );
        Ok(String::new())
    }
}

#[test_case("refusals")]
#[test_case("crowd")]
#[test_case("retries")]
#[test_case("answers")]
#[test_case("hedges")]
#[test_case("deadlines")]
#[test_case("claims")]
#[test_case("claim_outcomes")]
#[test_case("without_key")]
#[test_case("budgets")]
#[test_case("gate_checks")]
#[test_case("gate_deadlines")]
#[test_case("drain")]
#[test_case("crash")]
#[test_case("neighbour")]
#[test_case("not_a_crash")]
#[test_case("verdicts")]
#[test_case("chain")]
#[test_case("chain_generous")]
#[test_case("restarted_gate")]
#[test_case("measuring")]
#[test_case("allowance")]
#[test_case("hung_suspect")]
#[test_case("stand_in")]
#[test_case("suspect_moves")]
#[test_case("queue")]
#[test_case("queue_suspects")]
fn decisions_scenario(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/decisions");
    let fleet = Fleet::new();
    let next = 5_000_000;
    goldenscript::run(&mut Runner { fleet, next }, dir.join(name)).unwrap();
}

/// A request that waits to run alone is handed over at the moment at which the
/// one before it crashes the upstream, and breaks with it.
#[test]
fn neighbour_held_at_a_second_crash_is_not_convicted() {
    let fleet = Fleet::new();
    let next = 5_000_000;
    let mut runner = Runner { fleet, next };
    let script = [
        "start e@ams a@ams b@ams c@ams slots=3",
        "out b",
        "out c",
        "wait 1100",
        "arrive e 1 print=71",
        "arrive e 2 print=72",
        "return b",
        "return c",
        "wait 1100",
        "warm b",
        "warm c",
        "crash a",
        "crash c",
        "crash c",
    ];
    let mut log = String::new();
    for line in script {
        log += &goldenscript::Runner::run(&mut runner, &parse(line)).unwrap();
    }
    let convictions = log.matches("tells control of a conviction").count();
    assert_eq!(convictions, 1, "{log}");
}
