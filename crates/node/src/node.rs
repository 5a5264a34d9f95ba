//! The state of a daemon and the step that every event takes.

use crate::admission::Admission;
use crate::agent::{Agent, Answer, Requester};
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
use wire::Body;

/// What a daemon is made from.
#[derive(Debug)]
pub struct NodeOptions {
    /// Checked settings.
    pub settings: Settings,
    /// Number drawn for this start of the daemon.
    pub incarnation: u64,
    /// Seed of every random choice.
    pub seed: u64,
    /// The control replica, on a VM with a disk.
    pub replica: Option<replica::Replica>,
    /// Way to choose upstreams; other than the default for measurements only.
    pub policy: pick::Policy,
}

/// The state of a daemon.
#[derive(Debug)]
pub struct Node {
    /// View of the fleet, configuration and freshness.
    pub agent: Agent,
    /// Requests of callers.
    pub entry: Entry,
    /// Customers' allowances.
    pub allowances: Allowances,
    /// The upstream beside this daemon.
    pub admission: Admission,
    /// The control replica, on a VM with a disk.
    pub control: Option<Control>,
    rng: SmallRng,
}

impl Node {
    /// Creates the state of a daemon that has just started: no view, no
    /// version, no fresh word.
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

/// Takes an event in and appends what is to be done to `tx`.
pub fn step(node: &mut Node, now: Duration, event: Event, tx: &mut Vec<Effect>) {
    match event {
        Event::Tick { unix_ms } => tick(node, now, unix_ms, tx),
        Event::Received { link, daemon, body } => received(node, now, link, &daemon, body, tx),
        Event::LinkClosed(link) => {
            if let Some(control) = &mut node.control {
                control.link_closed(link);
            }
        }
        Event::LinkFailed { address, kind } => {
            node.agent.link_failed(now, &address, kind, tx);
            node.allowances.link_failed(now, &address, kind);
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
        Event::DiskDone(done) => {
            if let Some(control) = &mut node.control {
                control.disk_done(now, done, tx);
            }
        }
        Event::Replicas(replicas) => {
            node.agent.configure_replicas(&replicas);
            if let Some(control) = &mut node.control {
                control.configure_seeds(&replicas);
            }
        }
        Event::Stop => {
            with_admission(node, now, tx, Admission::stop);
            node.entry.stop();
        }
    }
}

fn tick(node: &mut Node, now: Duration, unix_ms: u64, tx: &mut Vec<Effect>) {
    if let Some(control) = &mut node.control {
        control.tick(now, unix_ms, tx);
    }
    let answers = node.agent.tick(now, tx);
    deliver(node, now, answers, tx);
    node.allowances.tick(now, &node.agent, tx);
    with_entry(node, now, tx, Entry::tick);
    with_admission(node, now, tx, Admission::tick);
}

fn received(
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
        }
        Body::ControlReply(reply) => {
            let answers = node.agent.control_reply(now, reply, tx);
            deliver(node, now, answers, tx);
        }
        Body::Suspect(suspect) => {
            with_admission(node, now, tx, |admission, cx| {
                admission.apply_suspicion(&suspect, cx);
            });
        }
        Body::Heartbeat(_) | Body::ControlRequest(_) | Body::Replica(_) => {
            if let Some(control) = &mut node.control {
                control.received(now, link, daemon, body, tx);
            }
        }
        Body::LoadUpdate(news) => {
            with_entry(node, now, tx, |entry, cx| entry.update_load(&news, cx));
        }
        Body::AllowanceRequest(_) | Body::Allowance(_) => {
            node.allowances.received(now, link, body, &node.agent, tx);
        }
        _ => {}
    }
}

/// Hands the answers of control to the roles that asked.
fn deliver(node: &mut Node, now: Duration, answers: Vec<Answer>, tx: &mut Vec<Effect>) {
    for Answer { requester, kind } in answers {
        match requester {
            Requester::Operator(id) => tx.push(Effect::OperatorAnswer { id, answer: kind }),
            Requester::Claim(request) => {
                with_entry(node, now, tx, |entry, cx| {
                    entry.claim_answered(request, kind, cx)
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

/// Splits the state into the roles of the request path and what they share.
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
