//! A fleet of daemons with a fake control plane, which replies to heartbeats
//! from the announcements and to claims as the script says. Frames arrive immediately
//! and in order.

use conf::{DaemonSettings, ListenSettings, Settings};
use gate::{Outcome, Ticket};
use node::{Effect, Event, Node, NodeOptions, admission, entry, step};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{
    Allowance, Announcement, AttemptId, Body, ClaimDecision, ClaimOutcome, ConfigDelta,
    ControlReply, CustomerPlan, Heartbeat, HeartbeatReply, QuotaHome, Refuse, RequestId,
    ServiceDelta, SuspectState, UpstreamInfo, control_reply, control_request,
};

const TICK: Duration = Duration::from_millis(10);
const LINK: u64 = 1;
/// Allowance of the customer, high enough not to limit anything: these scripts
/// do not test quotas.
const UNLIMITED: u32 = 100_000_000;
/// Plans and classes in force.
const PLANS: &str = "
[plan club]
rate = 100000
burst = 100000
in-flight = 10000
[class booking]
weight = 8
idempotent = no
deadline = 2 s
[class note]
weight = 2
idempotent = no
key = optional
deadline = 2 s
[class page]
weight = 2
idempotent = yes
deadline = 1 s
";

/// A request at a gate.
#[derive(Clone)]
pub(crate) struct Sent {
    entry: String,
    request: RequestId,
    attempt: AttemptId,
    fingerprint: u64,
    at: String,
}

struct Daemon {
    node: Node,
    settings: Settings,
    address: String,
    data_centre: String,
    announced: Option<Announcement>,
    /// Requests that the upstream beside it runs.
    running: BTreeSet<Ticket>,
}

fn node(settings: Settings) -> Node {
    Node::new(NodeOptions {
        settings,
        incarnation: 1,
        seed: 42,
        replica: None,
        policy: pick::Policy::default(),
    })
}

/// The daemons and the fake control plane.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    daemons: BTreeMap<String, Daemon>,
    sent: BTreeMap<Ticket, Sent>,
    requests: BTreeMap<RequestId, entry::Request>,
    next_ticket: Ticket,
    version: u64,
    config: u64,
    out: BTreeSet<String>,
    convicted: Vec<(Duration, SuspectState)>,
    /// Whether the control plane replies to heartbeats.
    pub(crate) control: bool,
    /// Whether attempts reach the gates; if not, the script supplies their
    /// outcomes.
    pub(crate) connected: bool,
    /// Whether claims are granted at once; if not, the script replies to them.
    pub(crate) auto_grant: bool,
    pending_claims: VecDeque<(String, u64, control_request::Kind)>,
    claims: u64,
    /// Number of runs of each fingerprint.
    pub(crate) runs: BTreeMap<u64, u32>,
    pub(crate) crashes: BTreeMap<u64, u32>,
    pub(crate) log: String,
    /// Fingerprints of requests that crash every upstream that runs them.
    pub(crate) poison: BTreeSet<u64>,
    crashing: Vec<String>,
    depth: u32,
    /// Retries delegated to the call tree below each attempt.
    pub(crate) delegated_retries: BTreeMap<(RequestId, AttemptId), u32>,
    /// Retry delays that callers were given.
    pub(crate) retry_delays: Vec<Duration>,
    /// Requests that the customer may have in flight.
    pub(crate) in_flight_limit: u32,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            daemons: BTreeMap::new(),
            sent: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_ticket: 0,
            version: 0,
            config: 1,
            out: BTreeSet::new(),
            convicted: Vec::new(),
            control: true,
            connected: true,
            auto_grant: false,
            pending_claims: VecDeque::new(),
            claims: 100,
            runs: BTreeMap::new(),
            crashes: BTreeMap::new(),
            log: String::new(),
            poison: BTreeSet::new(),
            crashing: Vec::new(),
            depth: 0,
            delegated_retries: BTreeMap::new(),
            retry_delays: Vec::new(),
            in_flight_limit: UNLIMITED,
        }
    }

    pub(crate) fn add(&mut self, name: &str, data_centre: &str, f: impl FnOnce(&mut Settings)) {
        let port = 7_000 + u16::try_from(self.daemons.len()).unwrap();
        let peers = SocketAddr::from(([127, 0, 0, 1], port));
        let listen = ListenSettings {
            callers: Some(peers),
            operators: peers,
            peers,
        };
        let daemon = DaemonSettings {
            name: name.into(),
            data_centre: data_centre.into(),
        };
        let mut settings = Settings::new(daemon, listen, peers);
        settings.control.replicas = vec![SocketAddr::from(([127, 0, 0, 1], 6_000))];
        f(&mut settings);
        let daemon = Daemon {
            node: node(settings.clone()),
            settings,
            address: peers.to_string(),
            data_centre: data_centre.into(),
            announced: None,
            running: BTreeSet::new(),
        };
        self.daemons.insert(name.into(), daemon);
    }

    pub(crate) fn node(&self, name: &str) -> &Node {
        &self.daemons[name].node
    }

    /// Restarts a daemon; the upstream beside it continues its work.
    pub(crate) fn restart(&mut self, name: &str) {
        let daemon = self.daemons.get_mut(name).expect("daemon");
        daemon.node = node(daemon.settings.clone());
    }

    /// Returns whether the measuring budget covers attaching the load to a
    /// response.
    pub(crate) fn send_load(&mut self, name: &str) -> bool {
        let daemon = self.daemons.get_mut(name).expect("daemon");
        daemon.node.admission.load_to_send(self.now).is_some()
    }

    /// Returns whether the measuring budget covers reading the upstream's load
    /// report.
    pub(crate) fn may_read_report(&mut self, name: &str) -> bool {
        let daemon = self.daemons.get_mut(name).expect("daemon");
        daemon.node.admission.may_read_report(self.now)
    }

    /// Passes an event to a daemon and applies all effects that follow.
    pub(crate) fn event(&mut self, name: &str, event: Event) {
        let mut tx = Vec::new();
        let now = self.now;
        let daemon = self.daemons.get_mut(name).expect("daemon");
        step(&mut daemon.node, now, event, &mut tx);
        self.depth += 1;
        for effect in tx {
            self.apply_effect(name, effect);
        }
        self.depth -= 1;
        if self.depth == 0 {
            for name in std::mem::take(&mut self.crashing) {
                self.crash(&name);
            }
        }
    }

    /// Advances the clock in ticks.
    pub(crate) fn advance_to(&mut self, until: Duration) {
        while self.now < until {
            self.now = (self.now + TICK).min(until);
            for name in self.daemons.keys().cloned().collect::<Vec<_>>() {
                self.event(&name, Event::Tick { unix_ms: 0 });
            }
        }
    }

    pub(crate) fn announce(&mut self, name: &str, announcement: Announcement) {
        self.event(
            name,
            Event::Admission(admission::Event::Announced(announcement)),
        );
    }

    pub(crate) fn set_out(&mut self, what: &str, out: bool) {
        if out {
            self.out.insert(what.into());
        } else {
            self.out.remove(what);
        }
        self.config += 1;
    }

    pub(crate) fn arrive(&mut self, name: &str, mut request: entry::Request) {
        request.received_at = self.now;
        self.requests.insert(request.id, request.clone());
        self.event(name, Event::Entry(entry::Event::Arrived(request)));
    }

    /// Subscribes an entry to the service, by a request whose caller
    /// disconnects.
    pub(crate) fn subscribe(&mut self, name: &str, id: RequestId) {
        let request = entry::Request {
            id,
            customer: "warm".into(),
            credential: Default::default(),
            service: "court".into(),
            class: Some("page".into()),
            safe_method: true,
            fingerprint: id,
            key: None,
            deadline: None,
            retry_budget: None,
            depth: 1,
            body_buffered: false,
            received_at: Duration::ZERO,
            route_key: None,
            body_bytes: 0,
        };
        self.arrive(name, request);
        self.event(name, Event::Entry(entry::Event::CallerGone(id)));
    }

    /// Takes a gate through its cautious phase and its cold start, by requests
    /// that are not logged.
    pub(crate) fn warm(&mut self, name: &str) {
        let log = std::mem::take(&mut self.log);
        let slots = self.daemons[name].announced.as_ref().map_or(0, |a| a.slots);
        for _ in 0..slots * 4 {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            let arrival = admission::Arrival {
                ticket,
                service: "court".into(),
                customer: "warm".into(),
                class: "page".into(),
                deadline: Duration::from_secs(1),
                fingerprint: u64::MAX - ticket,
                claim: 0,
                idempotent: true,
                weight: 1,
                suspected: false,
                objective: None,
                is_call: false,
                link: 0,
                believed_slow_percent: 0,
            };
            for event in [
                admission::Event::Arrived(arrival),
                admission::Event::Ended(ticket, Outcome::Whole(200)),
            ] {
                self.event(name, Event::Admission(event));
            }
            self.daemons.get_mut(name).unwrap().running.remove(&ticket);
        }
        self.runs.clear();
        self.log = log;
    }

    /// Ends a request at the upstream.
    pub(crate) fn end(
        &mut self,
        at: &str,
        request: RequestId,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        let found = self
            .sent
            .iter()
            .find(|(_, s)| (s.request, s.attempt) == (request, attempt));
        let ticket = *found.expect("an attempt that was sent").0;
        let running = self.daemons[at].running.contains(&ticket);
        assert!(running, "{request}.{attempt} does not run at {at}");
        self.end_ticket(at, ticket, outcome);
    }

    pub(crate) fn end_ticket(&mut self, at: &str, ticket: Ticket, outcome: Outcome) {
        self.daemons.get_mut(at).unwrap().running.remove(&ticket);
        if let Outcome::Whole(_) = outcome {
            let read = admission::ReadStatement::default();
            let started = admission::Event::ResponseStarted(ticket, read);
            self.event(at, Event::Admission(started));
        }
        let ended = admission::Event::Ended(ticket, outcome);
        self.event(at, Event::Admission(ended));
        let Some(sent) = self.sent.get(&ticket).cloned() else {
            return;
        };
        let (request, attempt) = (sent.request, sent.attempt);
        let load = Some(self.daemons[at].node.admission.load());
        let events = match outcome {
            Outcome::Whole(status) => vec![
                entry::Event::ResponseStarted(request, attempt, status, load),
                entry::Event::Ended(request, attempt, 0, load),
            ],
            Outcome::Broken => vec![entry::Event::Broken(request, attempt, load)],
            Outcome::Refused | Outcome::Rejected => {
                let reason = match outcome {
                    Outcome::Refused => wire::RefuseReason::Unreachable,
                    _ => wire::RefuseReason::Rejected,
                };
                let refuse = Refuse {
                    reason: reason.into(),
                    ..Refuse::default()
                };
                vec![entry::Event::Refused(request, attempt, refuse)]
            }
        };
        for event in events {
            self.event(&sent.entry, Event::Entry(event));
        }
    }

    /// Ends all requests that run at the upstream.
    pub(crate) fn end_all(&mut self, at: &str, outcome: Outcome) {
        for ticket in self.daemons[at].running.clone() {
            self.end_ticket(at, ticket, outcome);
        }
    }

    /// Breaks the connections of all requests at the upstream at once.
    pub(crate) fn crash(&mut self, at: &str) {
        let running: Vec<Ticket> = self.daemons[at].running.iter().copied().collect();
        let fingerprints = running.iter().filter_map(|t| self.sent.get(t));
        let fingerprints: BTreeSet<u64> = fingerprints.map(|s| s.fingerprint).collect();
        for fingerprint in fingerprints.intersection(&self.poison) {
            *self.crashes.entry(*fingerprint).or_default() += 1;
        }
        if !running.is_empty() {
            writeln!(self.log, "{at} crashes").unwrap();
        }
        for ticket in running {
            self.end_ticket(at, ticket, Outcome::Broken);
        }
    }

    /// Replies to the oldest pending claim request.
    pub(crate) fn reply_to_claim(&mut self, decision: ClaimDecision, status: u32) {
        let (name, id, _) = self
            .pending_claims
            .pop_front()
            .expect("a pending claim request");
        if decision == ClaimDecision::Granted {
            self.claims += 1;
        }
        let outcome = ClaimOutcome {
            decision: decision.into(),
            claim: self.claims,
            status,
        };
        self.reply(&name, id, Some(control_reply::Kind::Claim(outcome)));
    }

    fn reply(&mut self, name: &str, id: u64, kind: Option<control_reply::Kind>) {
        let reply = ControlReply {
            id,
            leader: true,
            leader_address: String::new(),
            kind,
        };
        self.receive(name, "control", Body::ControlReply(reply));
    }

    fn receive(&mut self, name: &str, from: &str, body: Body) {
        let event = Event::Received {
            link: Some(LINK),
            daemon: from.into(),
            body,
        };
        self.event(name, event);
    }

    fn apply_effect(&mut self, name: &str, effect: Effect) {
        match effect {
            Effect::Entry(effect) => self.entry(name, effect),
            Effect::Admission(effect) => self.admission(name, effect),
            Effect::Send { address, body, .. } => self.send(name, &address, body),
            Effect::Log(line) if line.event != "config_in_force" => {
                writeln!(self.log, "{name} logs {}", line.event).unwrap();
            }
            _ => {}
        }
    }

    fn send(&mut self, name: &str, address: &str, body: Body) {
        match body {
            Body::Heartbeat(heartbeat) => self.heartbeat(name, &heartbeat),
            Body::ControlRequest(request) => {
                let kind = request.kind.expect("a kind of control request");
                self.on_control_request(name, request.id, kind);
            }
            Body::AllowanceRequest(request) => {
                let allowance = Allowance {
                    id: request.id,
                    customer: request.customer,
                    granted: UNLIMITED,
                    expires_ms: UNLIMITED,
                    in_flight_limit: self.in_flight_limit,
                    retry_after_ms: 0,
                    entries: 1,
                    unreserved_after_ms: 0,
                    ..Allowance::default()
                };
                self.receive(name, "home", Body::Allowance(allowance));
            }
            Body::Suspect(_) => {
                let to = self.daemons.iter().find(|(_, d)| d.address == address);
                let to = to.expect("a daemon with this address").0.clone();
                self.receive(&to, name, body);
            }
            _ => {}
        }
    }

    fn on_control_request(&mut self, name: &str, id: u64, kind: control_request::Kind) {
        match kind {
            control_request::Kind::Claim(claim) => {
                let known = self
                    .pending_claims
                    .iter()
                    .any(|(n, i, _)| (n.as_str(), *i) == (name, id));
                if !known {
                    writeln!(self.log, "{name} claims {}", claim.key).unwrap();
                    self.pending_claims.push_back((
                        name.into(),
                        id,
                        control_request::Kind::Claim(claim),
                    ));
                }
                if self.auto_grant {
                    self.reply_to_claim(ClaimDecision::Granted, 0);
                }
            }
            control_request::Kind::Settle(settle) => {
                let what = if settle.claim == 0 {
                    "the pending claim".to_owned()
                } else {
                    format!("claim {} status {}", settle.claim, settle.status)
                };
                writeln!(self.log, "{name} settles {what}: {:?}", settle.kind()).unwrap();
                let outcome = ClaimOutcome {
                    decision: ClaimDecision::Settled.into(),
                    ..ClaimOutcome::default()
                };
                self.reply(name, id, Some(control_reply::Kind::Claim(outcome)));
            }
            control_request::Kind::Suspect(suspect) => {
                writeln!(self.log, "{name} reports a conviction to control").unwrap();
                let now = self.now;
                let states = suspect.states.into_iter();
                self.convicted.extend(states.map(|state| (now, state)));
                self.reply(name, id, None);
            }
            _ => {}
        }
    }

    /// Replies to a heartbeat with the state announced by heartbeats so far.
    fn heartbeat(&mut self, name: &str, heartbeat: &Heartbeat) {
        if !self.control {
            return;
        }
        let daemon = self.daemons.get_mut(name).unwrap();
        if daemon.announced != heartbeat.upstream {
            daemon.announced.clone_from(&heartbeat.upstream);
            self.version += 1;
        }
        let services = heartbeat.subscriptions.iter();
        let services = services.filter(|s| s.version < self.version);
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            term: 1,
            config_version: self.config,
            config: (heartbeat.config_version < self.config).then(|| self.delta()),
            services: services.map(|s| self.service(&s.service)).collect(),
            convicted: self.convicted(),
            homes: vec![QuotaHome {
                daemon: "home".into(),
                address: "127.0.0.1:6001".into(),
            }],
            ..HeartbeatReply::default()
        };
        self.receive(name, "control", Body::HeartbeatReply(reply));
    }

    fn convicted(&self) -> Vec<SuspectState> {
        let unexpired = self.convicted.iter().filter_map(|(at, state)| {
            let age = u64::try_from((self.now - *at).as_millis()).unwrap();
            let expires_ms = state.expires_ms.checked_sub(age)?;
            Some(SuspectState {
                expires_ms,
                ..state.clone()
            })
        });
        unexpired.collect()
    }

    fn delta(&self) -> ConfigDelta {
        let (upstreams, data_centres): (Vec<_>, Vec<_>) = self
            .out
            .iter()
            .cloned()
            .partition(|what| self.daemons.contains_key(what));
        let customers = ["club", "warm"];
        ConfigDelta {
            from: 0,
            to: self.config,
            customers: customers
                .map(|customer| CustomerPlan {
                    customer: customer.into(),
                    plan: "club".into(),
                })
                .into(),
            plans: Some(PLANS.into()),
            out_data_centres: data_centres,
            out_upstreams: upstreams,
            page: 0,
            last: true,
            ..ConfigDelta::default()
        }
    }

    fn service(&self, service: &str) -> ServiceDelta {
        let serving = self.daemons.iter().filter_map(|(name, d)| {
            let announced = d.announced.as_ref().filter(|a| a.service == service)?;
            Some(UpstreamInfo {
                upstream: name.clone(),
                address: d.address.clone(),
                data_centre: d.data_centre.clone(),
                slots: announced.slots,
                leaving: announced.leaving,
                version: announced.version.clone(),
            })
        });
        ServiceDelta {
            service: service.into(),
            epoch: 1,
            version: self.version,
            full: true,
            upstreams: serving.collect(),
            ..ServiceDelta::default()
        }
    }

    fn entry(&mut self, name: &str, effect: entry::Effect) {
        match effect {
            entry::Effect::Forward(attempt) => self.forward(name, &attempt),
            entry::Effect::Cancel(request, attempt) => {
                writeln!(self.log, "{name} cancels {request}.{attempt}").unwrap();
                self.cancel(request, attempt);
            }
            entry::Effect::Relay(request, attempt) => {
                writeln!(self.log, "{name} relays {request}.{attempt}").unwrap();
            }
            entry::Effect::Refuse(request, refusal) => {
                self.retry_delays.extend(refusal.retry_after);
                let later = if refusal.retry_after.is_some() {
                    ", retry after"
                } else {
                    ""
                };
                let status = refusal.status.map_or(String::new(), |s| format!(" {s}"));
                let (reason, run) = (refusal.reason, refusal.run);
                writeln!(
                    self.log,
                    "{name} refuses {request}: {reason:?}{status}, {run:?}{later}"
                )
                .unwrap();
            }
            entry::Effect::Forget(_) => {}
        }
    }

    fn forward(&mut self, name: &str, attempt: &entry::Attempt) {
        let (request, number) = (attempt.request, attempt.attempt);
        let mut extra = String::new();
        if attempt.claim != 0 {
            write!(extra, " claim={}", attempt.claim).unwrap();
        }
        if attempt.suspected {
            write!(extra, " suspected").unwrap();
        }
        let original = self.requests[&request].clone();
        if original.retry_budget.is_some() {
            write!(extra, " budget={}", attempt.retry_budget).unwrap();
        }
        writeln!(
            self.log,
            "{name} forwards {request}.{number} to {}{extra}",
            attempt.upstream
        )
        .unwrap();
        self.delegated_retries
            .insert((request, number), attempt.retry_budget);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let sent = Sent {
            entry: name.into(),
            request,
            attempt: number,
            fingerprint: original.fingerprint,
            at: attempt.upstream.to_string(),
        };
        self.sent.insert(ticket, sent);
        if !self.connected {
            return;
        }
        let arrival = admission::Arrival {
            ticket,
            service: original.service,
            customer: original.customer,
            class: attempt.class.clone(),
            deadline: attempt.deadline,
            fingerprint: original.fingerprint,
            claim: attempt.claim,
            idempotent: attempt.idempotent,
            weight: attempt.weight,
            suspected: attempt.suspected,
            objective: None,
            is_call: false,
            link: 0,
            believed_slow_percent: 0,
        };
        let event = Event::Admission(admission::Event::Arrived(arrival));
        self.event(&attempt.upstream, event);
    }

    /// Sends the first frame of a request directly to a gate, under a new
    /// ticket.
    pub(crate) fn send_to_gate(&mut self, at: &str, arrival: admission::Arrival) {
        self.next_ticket += 1;
        let arrival = admission::Arrival {
            ticket: self.next_ticket,
            ..arrival
        };
        self.event(at, Event::Admission(admission::Event::Arrived(arrival)));
    }

    fn cancel(&mut self, request: RequestId, attempt: AttemptId) {
        let sent = self.sent.iter();
        let mut sent = sent.filter(|(_, s)| (s.request, s.attempt) == (request, attempt));
        let Some((ticket, sent)) = sent.next().map(|(ticket, sent)| (*ticket, sent.clone())) else {
            return;
        };
        if self.connected {
            let event = Event::Admission(admission::Event::Cancelled(ticket));
            self.event(&sent.at, event);
        }
    }

    fn name_of(&self, ticket: Ticket) -> String {
        let sent = self.sent.get(&ticket);
        sent.map_or(format!("ticket {ticket}"), |s| {
            format!("{}.{}", s.request, s.attempt)
        })
    }

    fn admission(&mut self, name: &str, effect: admission::Effect) {
        match effect {
            admission::Effect::Receive(ticket) => panic!("{ticket} was not offered"),
            admission::Effect::Run { ticket, .. } => {
                writeln!(self.log, "{name} runs {}", self.name_of(ticket)).unwrap();
                self.daemons.get_mut(name).unwrap().running.insert(ticket);
                if let Some(sent) = self.sent.get(&ticket) {
                    *self.runs.entry(sent.fingerprint).or_default() += 1;
                    if self.poison.contains(&sent.fingerprint) {
                        self.crashing.push(name.into());
                    }
                }
            }
            admission::Effect::Refuse {
                ticket,
                reason,
                load,
                retry_after,
                pause,
                only_at,
            } => {
                let only = only_at
                    .as_ref()
                    .map_or(String::new(), |o| format!(", only {o}"));
                let what = self.name_of(ticket);
                writeln!(self.log, "{name} refuses {what}: {reason:?}{only}").unwrap();
                let refuse = Refuse {
                    stream: 0,
                    reason: reason.into(),
                    load: Some(load),
                    retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap(),
                    only_at: only_at.unwrap_or_default().into(),
                    restriction: None,
                    pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
                };
                self.notify_entry(ticket, |r, a| entry::Event::Refused(r, a, refuse));
            }
            admission::Effect::Cancel(ticket) => {
                writeln!(self.log, "{name} cancels {}", self.name_of(ticket)).unwrap();
            }
            admission::Effect::Expire(ticket) => {
                writeln!(self.log, "{name} expires {}", self.name_of(ticket)).unwrap();
                self.notify_entry(ticket, |r, a| entry::Event::Broken(r, a, None));
            }
        }
    }

    fn notify_entry(
        &mut self,
        ticket: Ticket,
        event: impl FnOnce(RequestId, AttemptId) -> entry::Event,
    ) {
        if let Some(sent) = self.sent.get(&ticket).cloned() {
            let event = event(sent.request, sent.attempt);
            self.event(&sent.entry, Event::Entry(event));
        }
    }
}
