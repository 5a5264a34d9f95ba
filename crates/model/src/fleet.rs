//! The simulated fleet: one daemon beside each upstream, and a control stub
//! that replies to every heartbeat. Effects of the daemons are turned into
//! delayed events at other daemons and into runs at upstreams.

mod control;

use crate::experiment::{Class, Experiment, Variant};
use crate::router::{Arrival, CallId, Cx, Output};
use crate::upstream::Upstream;
use conf::Settings;
use control::{path_prefix, routing};
use gate::{LoadReport, Outcome, Ticket};
use miette::Result;
use node::{Effect, Event, Node, NodeOptions, admission, entry, step};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{
    Announcement, AttemptId, Body, CustomerId, Load, Refuse, RefuseReason, RequestId, Routing,
};

const ROUTE_HOST: &str = "model";
/// Time that an upstream takes to stop a cancelled request.
const CANCEL_DELAY: Duration = Duration::from_millis(1);
/// Approximate size of the headers of a request and its response, in bytes.
const HEADER_BYTES: u64 = 700;
/// Statuses of refusals: the request was not run, or it may have run.
const UNAVAILABLE: u16 = 503;
const TIMED_OUT: u16 = 504;

#[derive(Debug)]
struct Daemon {
    node: Node,
    name: String,
    address: String,
    data_centre: String,
    announced: Option<Announcement>,
    settings: Settings,
}

/// An attempt that an entry has forwarded to a gate.
#[derive(Clone, Copy, Debug)]
struct ForwardedAttempt {
    entry: usize,
    gate: usize,
    request: RequestId,
    attempt: AttemptId,
    bytes: u64,
}

/// The daemons and the messages between them.
#[derive(Debug)]
pub(crate) struct Fleet {
    daemons: Vec<Daemon>,
    classes: Vec<Class>,
    customers: Vec<CustomerId>,
    routing: Routing,
    near_latency: Duration,
    far_latency: Duration,
    forwarded: BTreeMap<Ticket, ForwardedAttempt>,
    tickets: BTreeMap<(RequestId, AttemptId), Ticket>,
    arrivals: BTreeMap<CallId, Arrival>,
    statuses: BTreeMap<(RequestId, AttemptId), u16>,
    next_ticket: Ticket,
    registry_version: u64,
    config_version: u64,
    out_data_centres: Vec<String>,
    far_bytes: u64,
    gate_refusals: u64,
}

impl Fleet {
    /// Creates a daemon beside each upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub(crate) fn new(
        experiment: &Experiment,
        variant: &Variant,
        upstreams: &[Upstream],
        seed: u64,
    ) -> Result<Self> {
        let mut daemons = Vec::new();
        for (index, upstream) in (0_u16..).zip(upstreams) {
            let data_centre = experiment.data_centres[upstream.data_centre].clone();
            let name = format!("{}-{index}", upstream.service.name);
            let (settings, policy) =
                experiment.daemon_settings(variant, &name, &data_centre, index)?;
            daemons.push(Daemon {
                address: settings.listen.peers.to_string(),
                name,
                data_centre,
                announced: None,
                settings: settings.clone(),
                node: Node::new(NodeOptions {
                    settings,
                    incarnation: 1,
                    seed: seed.wrapping_add(u64::from(index)),
                    replica: None,
                    policy,
                }),
            });
        }
        Ok(Self {
            daemons,
            classes: experiment.class.clone(),
            customers: experiment
                .customer
                .iter()
                .map(|c| c.name.as_str().into())
                .collect(),
            routing: routing(experiment),
            near_latency: Duration::from_secs_f64(experiment.near_ms / 1_000.0),
            far_latency: Duration::from_secs_f64(experiment.far_ms / 1_000.0),
            forwarded: BTreeMap::new(),
            tickets: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            statuses: BTreeMap::new(),
            next_ticket: 0,
            registry_version: 1,
            config_version: 1,
            out_data_centres: Vec::new(),
            far_bytes: 0,
            gate_refusals: 0,
        })
    }

    /// Returns the number of requests that gates refused.
    pub(crate) fn gate_refusals(&self) -> u64 {
        self.gate_refusals
    }

    pub(crate) fn far_bytes(&self) -> u64 {
        self.far_bytes
    }

    pub(crate) fn set_out_data_centres(&mut self, data_centres: &[String]) {
        self.out_data_centres = data_centres.to_vec();
        self.config_version += 1;
    }

    pub(crate) fn request_arrived(&mut self, arrival: Arrival, cx: &mut Cx<'_>) {
        let class = &self.classes[arrival.class];
        let request = entry::Request {
            id: arrival.call,
            customer: self.customer(arrival),
            credential: Default::default(),
            service: "".into(),
            class: None,
            safe_method: class.idempotent,
            fingerprint: arrival.call,
            key: None,
            deadline: Some(arrival.deadline.saturating_sub(cx.now)),
            retry_budget: None,
            depth: arrival.depth,
            route_key: Some(entry::RouteKey {
                host: ROUTE_HOST.into(),
                path: path_prefix(&class.name),
            }),
            body_bytes: class.request_bytes,
            body_buffered: true,
            received_at: cx.now,
        };
        self.arrivals.insert(arrival.call, arrival);
        let event = Event::Entry(entry::Event::Arrived(request));
        self.handle_event(arrival.daemon, event, cx);
    }

    fn customer(&self, arrival: Arrival) -> CustomerId {
        let customer = arrival.customer.and_then(|index| self.customers.get(index));
        customer.cloned().unwrap_or_default()
    }

    pub(crate) fn caller_gone(&mut self, call: CallId, cx: &mut Cx<'_>) {
        if let Some(arrival) = self.arrivals.get(&call) {
            let event = Event::Entry(entry::Event::CallerGone(call));
            self.handle_event(arrival.daemon, event, cx);
        }
    }

    pub(crate) fn upstream_started(&mut self, index: usize, cx: &mut Cx<'_>) {
        let upstream = &cx.upstreams[index];
        let cold = upstream.cold_until.saturating_sub(cx.now);
        let announcement = Announcement {
            service: upstream.service.name.clone(),
            slots: upstream.service.slots,
            boot: format!("b{}", upstream.start_count),
            cold_ms: u64::try_from(cold.as_millis()).unwrap_or(u64::MAX),
            incarnation: upstream.start_count,
            sequence: 1,
            ..Announcement::default()
        };
        let event = admission::Event::Announced(announcement);
        self.handle_event(index, Event::Admission(event), cx);
    }

    pub(crate) fn read_report(&mut self, index: usize, cx: &mut Cx<'_>) {
        let admission = &mut self.daemons[index].node.admission;
        if cx.upstreams[index].up && admission.may_read_report(cx.now) {
            self.send_report(index, cx);
        }
    }

    fn send_report(&mut self, index: usize, cx: &mut Cx<'_>) {
        let upstream = &cx.upstreams[index];
        let report = LoadReport {
            in_flight: u32::try_from(upstream.runs.len()).unwrap_or(u32::MAX),
            limit: None,
            slow_percent: Some(upstream.reported_slow_percent(cx.now)),
        };
        let event = admission::Event::Reported(report);
        self.handle_event(index, Event::Admission(event), cx);
    }

    pub(crate) fn run_ended(
        &mut self,
        upstream: usize,
        ticket: Ticket,
        outcome: Outcome,
        cx: &mut Cx<'_>,
    ) {
        if let Outcome::Whole(_) = outcome {
            let read = admission::ReadStatement {
                statement: cx.upstreams[upstream].statement,
                unusable: Vec::new(),
            };
            let responding = admission::Event::ResponseStarted(ticket, read);
            self.handle_event(upstream, Event::Admission(responding), cx);
        }
        let ended = admission::Event::Ended(ticket, outcome);
        self.handle_event(upstream, Event::Admission(ended), cx);
        if matches!(outcome, Outcome::Whole(_)) {
            self.send_report(upstream, cx);
        }
        let Some(sent) = self.forwarded.remove(&ticket) else {
            return;
        };
        let admission = &mut self.daemons[upstream].node.admission;
        let load = admission.load_to_send(cx.now);
        let (request, attempt) = (sent.request, sent.attempt);
        match outcome {
            Outcome::Whole(status) => {
                self.statuses.insert((request, attempt), status);
                self.send_restriction(sent, cx);
                let responding = entry::Event::ResponseStarted(request, attempt, status, load);
                self.send_to_entry(sent, responding, cx);
                let ended = entry::Event::Ended(request, attempt, sent.bytes, load);
                self.send_to_entry(sent, ended, cx);
            }
            Outcome::Broken => {
                self.send_to_entry(sent, entry::Event::Broken(request, attempt, load), cx);
            }
            Outcome::Refused | Outcome::Rejected => {
                let reason = match outcome {
                    Outcome::Refused => RefuseReason::Unreachable,
                    _ => RefuseReason::Rejected,
                };
                let refuse = Refuse {
                    reason: reason.into(),
                    load,
                    ..Refuse::default()
                };
                self.send_to_entry(sent, entry::Event::Refused(request, attempt, refuse), cx);
            }
        }
    }

    /// Passes an event to a daemon and executes the resulting effects.
    pub(crate) fn handle_event(&mut self, daemon: usize, event: Event, cx: &mut Cx<'_>) {
        let mut effects = Vec::new();
        step(&mut self.daemons[daemon].node, cx.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Entry(effect) => self.handle_entry_effect(daemon, effect, cx),
                Effect::Admission(effect) => self.handle_admission_effect(daemon, effect, cx),
                Effect::Send { body, .. } => self.handle_control_message(daemon, body, cx),
                Effect::Reply { link, body } => self.deliver_reply(daemon, link, body, cx),
                _ => {}
            }
        }
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let same = self.daemons[from].data_centre == self.daemons[to].data_centre;
        if same {
            self.near_latency
        } else {
            self.far_latency
        }
    }

    fn send_to_entry(&self, sent: ForwardedAttempt, event: entry::Event, cx: &mut Cx<'_>) {
        cx.tx.push(Output::Deliver {
            at: cx.now + self.latency(sent.gate, sent.entry),
            daemon: sent.entry,
            event: Box::new(Event::Entry(event)),
        });
    }

    /// Sends the entry what the upstream states, ahead of the reply to its request.
    fn send_restriction(&mut self, sent: ForwardedAttempt, cx: &mut Cx<'_>) {
        let admission = &mut self.daemons[sent.gate].node.admission;
        if let Some(restriction) = admission.restriction_to_send(cx.now, true) {
            let event = entry::Event::Restricted(sent.request, sent.attempt, restriction);
            self.send_to_entry(sent, event, cx);
        }
    }

    /// Restarts the daemon beside an upstream, which then announces itself again.
    pub(crate) fn restart_daemon(&mut self, index: usize, cx: &mut Cx<'_>) {
        let daemon = &mut self.daemons[index];
        daemon.node.admission = admission::Admission::new(&daemon.settings, false);
        self.upstream_started(index, cx);
    }

    fn handle_entry_effect(&mut self, daemon: usize, effect: entry::Effect, cx: &mut Cx<'_>) {
        match effect {
            entry::Effect::Forward(attempt) => self.forward(daemon, &attempt, cx),
            entry::Effect::Cancel(request, attempt) => {
                let Some(ticket) = self.tickets.get(&(request, attempt)) else {
                    return;
                };
                let Some(sent) = self.forwarded.get(ticket) else {
                    return;
                };
                let event = admission::Event::Cancelled(*ticket);
                self.deliver_to_gate(*sent, Event::Admission(event), cx);
            }
            entry::Effect::Relay(call, attempt) => {
                let status = self.statuses.get(&(call, attempt)).copied();
                self.respond(call, status.unwrap_or(TIMED_OUT), None, cx);
            }
            entry::Effect::Refuse(call, refusal) => {
                let status = match refusal.run {
                    entry::RunState::NotRun => UNAVAILABLE,
                    entry::RunState::Ran | entry::RunState::MayHaveRun => TIMED_OUT,
                };
                self.respond(call, status, refusal.retry_after, cx);
            }
            entry::Effect::Forget(call) => {
                self.arrivals.remove(&call);
            }
        }
    }

    fn respond(
        &mut self,
        call: CallId,
        status: u16,
        retry_after: Option<Duration>,
        cx: &mut Cx<'_>,
    ) {
        cx.tx.push(Output::Respond {
            call,
            status,
            retry_after,
        });
    }

    fn forward(&mut self, daemon: usize, attempt: &entry::Attempt, cx: &mut Cx<'_>) {
        let name = attempt.upstream.as_str();
        let gate = self.daemons.iter().position(|d| d.name == name);
        let arrival = self.arrivals.get(&attempt.request).copied();
        let (Some(gate), Some(arrival)) = (gate, arrival) else {
            return;
        };
        let class = &self.classes[arrival.class];
        let bytes = class.request_bytes + class.answer_bytes + HEADER_BYTES;
        if self.daemons[gate].data_centre != self.daemons[daemon].data_centre {
            self.far_bytes += bytes;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let sent = ForwardedAttempt {
            entry: daemon,
            gate,
            request: attempt.request,
            attempt: attempt.attempt,
            bytes: class.answer_bytes,
        };
        self.forwarded.insert(ticket, sent);
        self.tickets
            .insert((attempt.request, attempt.attempt), ticket);
        if let Some(known) = attempt.known_restriction {
            let informed = Event::Admission(admission::Event::Informed(known));
            self.deliver_to_gate(sent, informed, cx);
        }
        let event = admission::Event::Arrived(admission::Arrival {
            ticket,
            link: daemon as u64 + 1,
            believed_slow_percent: attempt.believed_slow_percent,
            service: attempt.service.clone(),
            customer: self.customer(arrival),
            class: attempt.class.clone(),
            deadline: attempt.deadline,
            fingerprint: attempt.request,
            claim: attempt.claim,
            idempotent: attempt.idempotent,
            weight: attempt.weight,
            objective: attempt.objective,
            is_call: arrival.depth > 1,
            suspected: attempt.suspected,
        });
        self.deliver_to_gate(sent, Event::Admission(event), cx);
    }

    fn deliver_to_gate(&self, sent: ForwardedAttempt, event: Event, cx: &mut Cx<'_>) {
        cx.tx.push(Output::Deliver {
            at: cx.now + self.latency(sent.entry, sent.gate),
            daemon: sent.gate,
            event: Box::new(event),
        });
    }

    fn handle_admission_effect(
        &mut self,
        daemon: usize,
        effect: admission::Effect,
        cx: &mut Cx<'_>,
    ) {
        match effect {
            // Requests arrive here with their bodies.
            admission::Effect::Receive(_) => {}
            admission::Effect::Run { ticket, .. } => {
                if let Some(sent) = self.forwarded.get(&ticket) {
                    cx.tx.push(Output::Run {
                        upstream: daemon,
                        ticket,
                        call: sent.request,
                    });
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
                self.gate_refusals += 1;
                let has_load = load != Load::default();
                let refuse = Refuse {
                    stream: 0,
                    reason: reason.into(),
                    load: has_load.then_some(load),
                    retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
                    only_at: only_at.unwrap_or_default().into(),
                    restriction: None,
                    pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
                };
                if let Some(sent) = self.forwarded.remove(&ticket) {
                    self.send_restriction(sent, cx);
                    let event = entry::Event::Refused(sent.request, sent.attempt, refuse);
                    self.send_to_entry(sent, event, cx);
                }
            }
            admission::Effect::Cancel(ticket) => cx.tx.push(Output::Cancel {
                upstream: daemon,
                ticket,
            }),
            admission::Effect::Expire(ticket) => {
                if let Some(sent) = self.forwarded.remove(&ticket) {
                    let event = entry::Event::Broken(sent.request, sent.attempt, None);
                    self.send_to_entry(sent, event, cx);
                }
                cx.tx.push(Output::Cancel {
                    upstream: daemon,
                    ticket,
                });
            }
        }
    }

    fn deliver_reply(&mut self, daemon: usize, link: u64, body: Body, cx: &mut Cx<'_>) {
        let entry = usize::try_from(link).ok().and_then(|l| l.checked_sub(1));
        let Some(entry) = entry.filter(|entry| *entry < self.daemons.len()) else {
            return;
        };
        let event = Event::Received {
            link: None,
            daemon: self.daemons[daemon].name.as_str().into(),
            body,
        };
        cx.tx.push(Output::Deliver {
            at: cx.now + self.latency(daemon, entry),
            daemon: entry,
            event: Box::new(event),
        });
    }
}

/// Returns when an upstream that is asked to cancel a request now has stopped
/// it.
pub(crate) fn cancel_done_at(now: Duration) -> Duration {
    now + CANCEL_DELAY
}
