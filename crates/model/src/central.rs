//! The bound to compare with: one queue for the whole fleet, without a network
//! between, that knows the pace of every upstream and the work of every
//! request. It doesn't know what will happen.

use crate::router::{Arrival, CallId, Cx, Output};
use crate::upstream::Upstream;
use gate::{Outcome, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Status of an answer that can't come in time.
const UNAVAILABLE: u16 = 503;
/// Slots that are used of a cold upstream.
const COLD_SLOTS: usize = 1;
/// Status of an answer that broke off.
const BROKEN: u16 = 502;

/// The queue.
#[derive(Debug, Default)]
pub(crate) struct Central {
    /// Service of each class, and worth of a late answer as part of the whole.
    classes: Vec<(usize, f64)>,
    data_centres: Vec<String>,
    waiting: BTreeMap<CallId, Arrival>,
    running: BTreeMap<Ticket, (usize, CallId)>,
    out: Vec<usize>,
    next_ticket: Ticket,
}

impl Central {
    pub(crate) fn new(classes: Vec<(usize, f64)>, data_centres: Vec<String>) -> Self {
        Self {
            classes,
            data_centres,
            ..Self::default()
        }
    }

    pub(crate) fn arrived(&mut self, arrival: Arrival) {
        self.waiting.insert(arrival.call, arrival);
    }

    pub(crate) fn gone(&mut self, call: CallId, cx: &mut Cx<'_>) {
        self.waiting.remove(&call);
        let run = self
            .running
            .iter()
            .find(|(_, (_, running))| *running == call);
        if let Some((ticket, (upstream, _))) = run {
            cx.tx.push(Output::Cancel {
                upstream: *upstream,
                ticket: *ticket,
            });
        }
    }

    pub(crate) fn ended(&mut self, ticket: Ticket, outcome: Outcome, cx: &mut Cx<'_>) {
        if let Some((_, call)) = self.running.remove(&ticket) {
            let status = match outcome {
                Outcome::Whole(status) => status,
                Outcome::Refused | Outcome::Rejected | Outcome::Broken => BROKEN,
            };
            cx.tx.push(Output::Answer {
                call,
                status,
                retry_after: None,
            });
        }
    }

    pub(crate) fn out(&mut self, data_centres: &[String]) {
        let number = |name| self.data_centres.iter().position(|d| d == name);
        self.out = data_centres.iter().filter_map(number).collect();
    }

    /// Starts the run that is worth most for the time that it takes a slot, if
    /// there is one.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        let late: Vec<CallId> = self
            .waiting
            .values()
            .filter(|a| cx.now + Duration::from_secs_f64(a.work) > a.deadline)
            .map(|a| a.call)
            .collect();
        for call in late {
            self.waiting.remove(&call);
            cx.tx.push(Output::Answer {
                call,
                status: UNAVAILABLE,
                retry_after: None,
            });
        }
        let best = self.waiting.values().filter_map(|arrival| {
            let (service, late_worth) = self.classes[arrival.class];
            let (upstream, slowdown) = self.fastest(service, cx)?;
            let worth = worth(arrival, late_worth, slowdown, cx.now)?;
            Some((worth / (arrival.work * slowdown), arrival.call, upstream))
        });
        let Some((_, call, upstream)) = best.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        self.waiting.remove(&call);
        self.next_ticket += 1;
        self.running.insert(self.next_ticket, (upstream, call));
        cx.tx.push(Output::Run {
            upstream,
            ticket: self.next_ticket,
            call,
        });
    }

    /// Returns the upstream of a service that is fastest now, among those with
    /// a slot, and by how much work takes longer there.
    fn fastest(&self, service: usize, cx: &Cx<'_>) -> Option<(usize, f64)> {
        let usable = |u: &&Upstream| {
            u.service_number == service && u.up && !self.out.contains(&u.data_centre)
        };
        let free = |u: &&Upstream| u.runs.len() < useful_slots(u, cx.now);
        let upstreams = cx.upstreams.iter().enumerate();
        let paces = upstreams
            .filter(|(_, u)| usable(u) && free(u))
            .map(|(number, u)| (number, u.slowdown(cx.now, 1)));
        paces.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the slots whose use gets most done.
fn useful_slots(upstream: &Upstream, now: Duration) -> usize {
    let service = &upstream.service;
    if now < upstream.cold_until {
        return COLD_SLOTS;
    }
    let done = |used: &u32| f64::from(*used) / service.knee.slowdown(*used, service.slots);
    let best = (1..=service.slots).max_by(|a, b| done(a).total_cmp(&done(b)));
    best.unwrap_or(service.slots) as usize
}

/// Returns what an answer would be worth, or `None` if it is better to wait:
/// it would be late here, and another slot may still be in time.
fn worth(arrival: &Arrival, late_worth: f64, slowdown: f64, now: Duration) -> Option<f64> {
    let done = now + Duration::from_secs_f64(arrival.work * slowdown);
    if done <= arrival.objective {
        return Some(arrival.worth);
    }
    let elsewhere = now + Duration::from_secs_f64(arrival.work);
    (elsewhere > arrival.objective && done <= arrival.deadline)
        .then_some(arrival.worth * late_worth)
}
