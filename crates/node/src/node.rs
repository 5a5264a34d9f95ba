//! The state of a daemon, and the dispatch of events to its roles.

use crate::admission::Admission;
use crate::agent::{Agent, RequestResult, Requester};
use crate::allowance::Allowances;
use crate::context::Cx;
use crate::control::Control;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::event::{Event, LinkId};
use conf::Settings;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wire::{Body, LinkKind};

/// The parameters of a daemon.
#[derive(Debug)]
pub struct NodeOptions {
    /// Validated settings.
    pub settings: Settings,
    /// Random number that identifies this start of the daemon.
    pub incarnation: u64,
    /// Seed of the random generator.
    pub seed: u64,
    /// The control replica, on VMs that have a disk for one.
    pub replica: Option<replica::Replica>,
    /// Policy that selects upstreams. Policies other than the default are for
    /// measurements only.
    pub policy: pick::Policy,
}

/// The state of a daemon.
#[derive(Debug)]
pub struct Node {
    /// View of the fleet, configuration, and connection to the control plane.
    pub agent: Agent,
    /// Requests that callers send to this daemon.
    pub entry: Entry,
    /// Rate and concurrency limits of the customers.
    pub allowances: Allowances,
    /// Admission to the upstream on the same VM.
    pub admission: Admission,
    /// The control role, on VMs that run a control replica.
    pub control: Option<Control>,
    rng: SmallRng,
}

impl Node {
    /// Creates the state of a daemon that has just started. It has no view of
    /// the fleet and no configuration, and takes no work until the control
    /// leader has confirmed both.
    #[must_use]
    pub fn new(options: NodeOptions) -> Self {
        let settings = options.settings;
        Self {
            agent: Agent::new(&settings, options.incarnation),
            entry: Entry::new(&settings, options.policy),
            allowances: Allowances::new(&settings),
            admission: Admission::new(&settings, options.policy.gateless),
            control: options.replica.map(|r| Control::new(&settings, r)),
            rng: SmallRng::seed_from_u64(options.seed),
        }
    }
}

/// Handles an event and appends the resulting effects to `tx`.
pub fn step(node: &mut Node, now: Duration, event: Event, tx: &mut Vec<Effect>) {
    match event {
        Event::Tick { unix_ms } => tick(node, now, unix_ms, tx),
        Event::Received { link, daemon, body } => {
            handle_message(node, now, link, &daemon, body, tx)
        }
        Event::LinkClosed(link) => {
            if let Some(control) = &mut node.control {
                control.link_closed(link);
            }
        }
        Event::LinkFailed {
            address,
            kind,
            closed_by_peer,
        } => {
            node.agent.link_failed(now, &address, kind);
            node.allowances.link_failed(now, &address, kind);
            if kind == LinkKind::Data {
                with_entry(node, now, tx, |entry, cx| {
                    entry.link_failed(&address, closed_by_peer, cx);
                });
            }
        }
        Event::Entry(event) => with_entry(node, now, tx, |entry, cx| entry.step(event, cx)),
        Event::Admission(event) => {
            with_admission(node, now, tx, |admission, cx| admission.step(event, cx));
        }
        Event::Operator { id, kind } => node.agent.request(now, Requester::Operator(id), kind, tx),
        Event::Initialise => {
            if let Some(control) = &mut node.control {
                control.initialise(now, tx);
            }
        }
        Event::ReplicaRecovered(replica) => {
            if let Some(control) = &mut node.control {
                control.replace_replica(now, replica, tx);
            }
        }
        Event::DiskDone(done) => {
            if let Some(control) = &mut node.control {
                control.disk_done(now, done, tx);
            }
        }
        Event::Replicas(replicas) => {
            node.agent.set_configured_replicas(&replicas);
            if let Some(control) = &mut node.control {
                control.set_configured_replicas(&replicas);
            }
        }
        Event::LeaveControl => {
            if let Some(control) = &mut node.control {
                control.leave(now, tx);
            }
        }
        Event::Stop { until } => {
            with_admission(node, now, tx, Admission::stop);
            node.entry.stop(now, until);
        }
        Event::CutOff => with_entry(node, now, tx, Entry::cut_off),
    }
    deliver_decisions(node, now, tx);
}

/// Passes the decisions on requests that were held for their customer's limit to the
/// entry.
fn deliver_decisions(node: &mut Node, now: Duration, tx: &mut Vec<Effect>) {
    for decision in node.allowances.take_decisions() {
        with_entry(node, now, tx, |entry, cx| {
            entry.on_limit_decided(&decision, cx)
        });
    }
}

fn tick(node: &mut Node, now: Duration, unix_ms: u64, tx: &mut Vec<Effect>) {
    if let Some(control) = &mut node.control {
        control.tick(now, unix_ms, tx);
    }
    report_progress(node, now);
    let results = node.agent.tick(now, tx);
    deliver(node, now, results, tx);
    node.allowances.tick(now, &node.agent, tx);
    with_entry(node, now, tx, Entry::tick);
    with_admission(node, now, tx, Admission::tick);
}

/// Passes the requests in progress at the upstream to the agent immediately before it sends
/// a heartbeat. The leader completes a rollout by this number, so it must not be older than
/// the configuration version in the same heartbeat.
fn report_progress(node: &mut Node, now: Duration) {
    if node.agent.is_heartbeat_due(now) {
        let evidence = node.admission.evidence();
        let in_progress = node.admission.in_progress();
        let unconfirmed = node.admission.unconfirmed_crashes(now);
        node.agent
            .set_upstream_progress(in_progress, unconfirmed, evidence);
    }
}

fn handle_message(
    node: &mut Node,
    now: Duration,
    link: Option<LinkId>,
    daemon: &str,
    body: Body,
    tx: &mut Vec<Effect>,
) {
    match body {
        Body::HeartbeatReply(reply) => {
            node.agent.heartbeat_reply(now, reply, tx);
            with_entry(node, now, tx, Entry::view_changed);
            with_admission(node, now, tx, Admission::review_crash_counts);
            with_admission(node, now, tx, Admission::review_rollout);
        }
        Body::ControlReply(reply) => {
            let results = node.agent.control_reply(now, reply, tx);
            deliver(node, now, results, tx);
        }
        Body::Suspect(suspect) => {
            with_admission(node, now, tx, |admission, cx| {
                admission.apply_suspicion(&suspect, cx);
            });
        }
        Body::Heartbeat(_) | Body::ControlRequest(_) | Body::Replica(_) => {
            if let Some(control) = &mut node.control {
                control.handle_message(now, link, daemon, body, tx);
            }
        }
        Body::LoadUpdate(update) => {
            with_entry(node, now, tx, |entry, cx| entry.update_load(&update, cx));
        }
        Body::AllowanceRequest(_) | Body::Allowance(_) => {
            node.allowances
                .handle_message(now, link, body, &node.agent, tx);
        }
        _ => {}
    }
}

/// Passes replies of the control plane to the roles that requested them.
fn deliver(node: &mut Node, now: Duration, results: Vec<RequestResult>, tx: &mut Vec<Effect>) {
    for RequestResult { requester, reply } in results {
        match requester {
            Requester::Operator(id) => tx.push(Effect::OperatorReply { id, reply }),
            Requester::Claim(request) => {
                with_entry(node, now, tx, |entry, cx| {
                    entry.on_claim_reply(request, reply, cx)
                });
            }
            Requester::Detached => {}
        }
    }
}

fn with_entry(
    node: &mut Node,
    now: Duration,
    tx: &mut Vec<Effect>,
    f: impl FnOnce(&mut Entry, &mut Cx<'_>),
) {
    let (entry, _, mut cx) = split(node, now, tx);
    f(entry, &mut cx);
}

fn with_admission(
    node: &mut Node,
    now: Duration,
    tx: &mut Vec<Effect>,
    f: impl FnOnce(&mut Admission, &mut Cx<'_>),
) {
    let (_, admission, mut cx) = split(node, now, tx);
    f(admission, &mut cx);
}

/// Borrows the two request-path roles and their shared context separately.
fn split<'a>(
    node: &'a mut Node,
    now: Duration,
    tx: &'a mut Vec<Effect>,
) -> (&'a mut Entry, &'a mut Admission, Cx<'a>) {
    let cx = Cx {
        now,
        agent: &mut node.agent,
        allowances: &mut node.allowances,
        rng: &mut node.rng,
        tx,
    };
    (&mut node.entry, &mut node.admission, cx)
}
