//! A reference scheduler, whose results are the bound that those of the daemons
//! are compared with. It holds one queue for the whole fleet, has no network
//! latency, and knows the current speed of every upstream and the work of every
//! request, but no future events.

use crate::router::{Arrival, CallId, Cx, Output};
use crate::upstream::Upstream;
use gate::{Outcome, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Status of a response to a request that can no longer meet its deadline.
const UNAVAILABLE: u16 = 503;
/// Slots of a cold upstream that the queue uses.
const COLD_SLOTS: usize = 1;
/// Status of a response to a request whose upstream failed.
const BROKEN: u16 = 502;

/// One queue of requests for all upstreams.
#[derive(Debug, Default)]
pub(crate) struct CentralQueue {
    /// Index of the service of each class, and the worth of a late response
    /// relative to one within the objective.
    classes: Vec<(usize, f64)>,
    data_centres: Vec<String>,
    waiting: BTreeMap<CallId, Arrival>,
    running: BTreeMap<Ticket, (usize, CallId)>,
    out_data_centres: Vec<usize>,
    next_ticket: Ticket,
}

impl CentralQueue {
    pub(crate) fn new(classes: Vec<(usize, f64)>, data_centres: Vec<String>) -> Self {
        Self {
            classes,
            data_centres,
            ..Self::default()
        }
    }

    pub(crate) fn request_arrived(&mut self, arrival: Arrival) {
        self.waiting.insert(arrival.call, arrival);
    }

    pub(crate) fn caller_gone(&mut self, call: CallId, cx: &mut Cx<'_>) {
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

    pub(crate) fn run_ended(&mut self, ticket: Ticket, outcome: Outcome, cx: &mut Cx<'_>) {
        if let Some((_, call)) = self.running.remove(&ticket) {
            let status = match outcome {
                Outcome::Whole(status) => status,
                Outcome::Refused | Outcome::Rejected | Outcome::Broken => BROKEN,
            };
            cx.tx.push(Output::Respond {
                call,
                status,
                retry_after: None,
            });
        }
    }

    pub(crate) fn set_out_data_centres(&mut self, data_centres: &[String]) {
        let index = |name| self.data_centres.iter().position(|d| d == name);
        self.out_data_centres = data_centres.iter().filter_map(index).collect();
    }

    /// Rejects requests that can't meet their deadline, and starts the request
    /// with the highest worth per second of slot time, if there is one.
    pub(crate) fn schedule(&mut self, cx: &mut Cx<'_>) {
        let late: Vec<CallId> = self
            .waiting
            .values()
            .filter(|a| cx.now + Duration::from_secs_f64(a.work) > a.deadline)
            .map(|a| a.call)
            .collect();
        for call in late {
            self.waiting.remove(&call);
            cx.tx.push(Output::Respond {
                call,
                status: UNAVAILABLE,
                retry_after: None,
            });
        }
        let best = self.waiting.values().filter_map(|arrival| {
            let (service, late_worth) = self.classes[arrival.class];
            let (upstream, slowdown) = self.fastest(service, cx)?;
            let worth = expected_worth(arrival, late_worth, slowdown, cx.now)?;
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

    /// Returns the fastest upstream of a service that has a free slot, and the
    /// factor by which work takes longer there.
    fn fastest(&self, service: usize, cx: &Cx<'_>) -> Option<(usize, f64)> {
        let usable = |u: &&Upstream| {
            u.service_index == service && u.up && !self.out_data_centres.contains(&u.data_centre)
        };
        let free = |u: &&Upstream| u.runs.len() < best_concurrency(u, cx.now);
        let upstreams = cx.upstreams.iter().enumerate();
        let slowdowns = upstreams
            .filter(|(_, u)| usable(u) && free(u))
            .map(|(index, u)| (index, u.slowdown(cx.now, 1)));
        slowdowns.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the number of requests in flight at which an upstream's throughput
/// is highest.
fn best_concurrency(upstream: &Upstream, now: Duration) -> usize {
    let service = &upstream.service;
    if now < upstream.cold_until {
        return COLD_SLOTS;
    }
    let throughput = |used: &u32| f64::from(*used) / service.knee.slowdown(*used, service.slots);
    let best = (1..=service.slots).max_by(|a, b| throughput(a).total_cmp(&throughput(b)));
    best.unwrap_or(service.slots) as usize
}

/// Returns the worth of a response from an upstream with this slowdown. Returns
/// `None` if the response would be late there while another upstream may still
/// respond in time, so that waiting is better.
fn expected_worth(arrival: &Arrival, late_worth: f64, slowdown: f64, now: Duration) -> Option<f64> {
    let finish = now + Duration::from_secs_f64(arrival.work * slowdown);
    if finish <= arrival.objective {
        return Some(arrival.worth);
    }
    let best_finish = now + Duration::from_secs_f64(arrival.work);
    (best_finish > arrival.objective && finish <= arrival.deadline)
        .then_some(arrival.worth * late_worth)
}
