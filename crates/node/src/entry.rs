//! The entry: handles callers' requests from arrival to the final response.
//!
//! It checks a request, obtains a claim if the request must not run twice,
//! chooses an upstream, forwards the request to that upstream's gate, and
//! retries or hedges within budgets.

mod claim;
mod credential_counts;
mod forward;
mod hedge;
mod hedge_limit;
mod identity;
mod limit;
mod message;
mod outcome;
mod overload;
mod reachability;
mod refusal;
mod request;
mod restrictions;
mod route;
mod stop;
mod versions;
mod wait_estimate;

pub use credential_counts::CredentialCounts;
pub use hedge_limit::HedgeCount;
pub use message::{Attempt, Effect, Event, Request, RouteKey, Sender};
pub use refusal::{Reason, Refusal, RunState};
pub use versions::{VersionCount, VersionKey};

use crate::context::Cx;
use ::overload::AskBudget;
use conf::Settings;
use hedge_limit::HedgeLimit;
use pick::{PickSettings, Picker, Policy, RatioBudget, RatioLimits, Reachability};
use refusal::RefusalCause;
use request::{ActiveRequest, Purpose};
use restrictions::Restrictions;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use stop::Stop;
use versions::Versions;
use wait_estimate::WaitEstimator;
use wire::{Fingerprint, LoadUpdate, RequestId, ServiceId, UpstreamId};

/// Time without a request after which a service's picker is dropped.
const PICKER_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Number of attempts made, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// First attempts.
    pub first: u64,
    /// Attempts paid from the retry budget.
    pub retries: u64,
    /// Attempts paid from the hedge budget.
    pub hedges: u64,
    /// Attempts at the only upstream that may run a suspected request.
    pub redirects: u64,
    /// Free attempts after a gate did not run a request.
    pub repicks: u64,
}

/// Budgets for the additional attempts at a service.
#[derive(Debug)]
struct Budgets {
    retries: RatioBudget,
    hedges: HedgeLimit,
}

/// The entry of this daemon.
#[derive(Debug)]
pub struct Entry {
    pick: PickSettings,
    by_expected_finish: bool,
    max_repicks: usize,
    isolate_suspects: bool,
    retry_after: Duration,
    pickers: BTreeMap<ServiceId, Picker>,
    reachability: Reachability,
    restrictions: Restrictions,
    versions: Versions,
    budgets: BTreeMap<ServiceId, Budgets>,
    ask_budgets: BTreeMap<ServiceId, AskBudget>,
    retry_limits: RatioLimits,
    /// Hedges allowed per request: in general, and of services with their own limit.
    hedge_ratio: f64,
    hedge_ratios: BTreeMap<ServiceId, f64>,
    max_saved_hedges: Option<f64>,
    active: BTreeMap<RequestId, ActiveRequest>,
    awaiting_view: BTreeSet<RequestId>,
    convicted: BTreeMap<Fingerprint, Duration>,
    wait_estimator: WaitEstimator,
    attempts: AttemptCount,
    credentials: CredentialCounts,
    stop: Option<Stop>,
}

impl Entry {
    /// Creates an entry without requests.
    #[must_use]
    pub fn new(settings: &Settings, policy: Policy) -> Self {
        let routing = &settings.routing;
        let limits = |ratio| match routing.shared_retries {
            Some(saved) => RatioLimits::shared(ratio, saved),
            None => RatioLimits::new(ratio),
        };
        Self {
            pick: PickSettings {
                eject_ratio: routing.eject_ratio,
                return_ramp: routing.return_ramp,
                far_per_kb: routing.far_per_kb,
                far_limit: routing.far_limit,
                late_cost: routing.late_cost,
                link_bytes: settings.limits.link_bytes,
                policy: match routing.by_expected_finish {
                    true => Policy::EXPECTED_FINISH,
                    false => policy,
                },
            },
            by_expected_finish: routing.by_expected_finish,
            max_repicks: usize::try_from(routing.repicks).unwrap_or(usize::MAX),
            isolate_suspects: settings.gate.isolate_suspects,
            retry_after: routing.retry_after,
            pickers: BTreeMap::new(),
            reachability: Reachability::new(),
            restrictions: Restrictions::default(),
            versions: Versions::default(),
            budgets: BTreeMap::new(),
            ask_budgets: BTreeMap::new(),
            retry_limits: limits(routing.retry_ratio),
            hedge_ratio: routing.hedge_ratio,
            hedge_ratios: settings.hedge_ratios.clone(),
            max_saved_hedges: routing.shared_retries,
            active: BTreeMap::new(),
            awaiting_view: BTreeSet::new(),
            convicted: BTreeMap::new(),
            wait_estimator: WaitEstimator::default(),
            attempts: AttemptCount::default(),
            credentials: CredentialCounts::default(),
            stop: None,
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of attempts made so far, by purpose.
    #[must_use]
    pub fn attempts(&self) -> AttemptCount {
        self.attempts
    }

    /// Returns the number of requests so far, by how they were identified.
    #[must_use]
    pub fn credentials(&self) -> CredentialCounts {
        self.credentials
    }

    /// Returns the number of hedges so far, by service.
    pub fn hedges(&self) -> impl Iterator<Item = (&ServiceId, HedgeCount)> {
        let budgets = self.budgets.iter();
        budgets.map(|(service, budgets)| (service, budgets.hedges.count))
    }

    /// Begins a graceful stop: requests received from now on are refused, and those in
    /// progress are cut off at `until`.
    pub fn stop(&mut self, now: Duration, until: Option<Duration>) {
        self.stop = Some(Stop { since: now, until });
    }

    /// Returns whether a request that is received now is refused because of a graceful stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Ends a graceful stop: refuses the requests in progress, and all others from now on.
    pub fn cut_off(&mut self, cx: &mut Cx<'_>) {
        self.stop = Some(Stop {
            since: Duration::ZERO,
            until: Some(cx.now),
        });
        let in_progress: Vec<RequestId> = self.active.keys().copied().collect();
        for id in in_progress {
            self.refuse(id, Reason::Stopping.into(), cx);
        }
    }

    /// Handles an event.
    pub fn step(&mut self, event: Event, cx: &mut Cx<'_>) {
        match event {
            Event::Arrived(request) => self.on_arrived(request, cx),
            Event::CallerGone(id) => {
                if self.drop_request(id, cx).is_some() {
                    push(cx.tx, Effect::Forget(id));
                }
            }
            Event::Restricted(id, attempt, restriction) => {
                self.on_restricted(id, attempt, restriction, cx);
            }
            Event::Refused(id, attempt, refuse) => self.on_refused(id, attempt, &refuse, cx),
            Event::NotSent(id, attempt) => self.on_not_sent(id, attempt, cx),
            Event::ResponseStarted(id, attempt, status, load) => {
                self.on_response_started(id, attempt, (status, load), cx);
            }
            Event::Ended(id, attempt, bytes, load) => self.on_ended(id, attempt, (bytes, load), cx),
            Event::Silent(id, attempt) => self.on_silent(id, attempt, cx),
            Event::Broken(id, attempt, load) => self.on_broken(id, attempt, load, cx),
        }
    }

    /// Handles deadlines, expiries and hedges that are due at the current time.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        let expired: Vec<RequestId> = self
            .active
            .iter()
            .filter(|(_, active)| active.deadline <= cx.now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.refuse(id, Reason::Deadline.into(), cx);
        }
        self.convicted.retain(|_, until| *until > cx.now);
        self.restrictions.tick(cx.now);
        self.pickers
            .retain(|_, picker| cx.now.saturating_sub(picker.last_used()) < PICKER_IDLE_TIMEOUT);
        let pickers = &self.pickers;
        self.ask_budgets
            .retain(|service, _| pickers.contains_key(service));
        self.view_changed(cx);
        self.hedge(cx);
    }

    /// Applies a load update of an upstream, which may make hedges due.
    pub fn update_load(&mut self, update: &LoadUpdate, cx: &mut Cx<'_>) {
        for picker in self.pickers.values_mut() {
            picker.record_load(cx.now, &update.upstream, update.load);
        }
        self.hedge(cx);
    }

    fn budgets(&mut self, service: &ServiceId) -> &mut Budgets {
        let own_ratio = self.hedge_ratios.get(service).copied();
        let hedge_ratio = own_ratio.unwrap_or(self.hedge_ratio);
        let budgets = self.budgets.entry(service.clone());
        budgets.or_insert_with(|| Budgets {
            retries: RatioBudget::new(self.retry_limits),
            hedges: HedgeLimit::new(hedge_ratio, self.max_saved_hedges),
        })
    }

    /// Applies acquittals, and forwards the requests that waited for the view of their
    /// service.
    pub fn view_changed(&mut self, cx: &mut Cx<'_>) {
        for fingerprint in cx.agent.acquitted() {
            self.convicted.remove(fingerprint);
        }
        for id in std::mem::take(&mut self.awaiting_view) {
            self.forward(id, cx);
        }
    }

    fn on_arrived(&mut self, request: Request, cx: &mut Cx<'_>) {
        let id = request.id;
        match self.accept(request, cx) {
            Ok(active) => {
                let budgets = self.budgets(&active.request.service);
                budgets.retries.record_request();
                let held = active.is_held();
                self.active.insert(id, active);
                if !held {
                    self.forward(id, cx);
                }
            }
            Err(cause) => {
                let refusal = cause.into_refusal(RunState::NotRun, self.retry_after, cx.rng);
                push(cx.tx, Effect::Refuse(id, refusal));
                push(cx.tx, Effect::Forget(id));
            }
        }
    }

    /// Checks a request before any work is done for it. The customer's
    /// allowance comes last, because the check consumes it.
    fn accept(&mut self, request: Request, cx: &mut Cx<'_>) -> Result<ActiveRequest, RefusalCause> {
        if self.stop.is_some_and(|stop| stop.refuses(&request)) {
            return Err(Reason::Stopping.into());
        }
        if !cx.agent.may_serve(cx.now) {
            return Err(Reason::Stale.into());
        }
        let only_at = self.check_conviction(&request, cx)?;
        let credential = request.credential.clone();
        let prepared = request::prepare(request, &mut self.wait_estimator, cx);
        let mut active = prepared.inspect_err(|cause| {
            self.credentials.record_refused(&credential, cause.reason);
        })?;
        active.only_at = only_at;
        if self.stop.is_some_and(|stop| stop.may_cut(&active)) {
            return Err(Reason::Stopping.into());
        }
        if active.identity.is_some() {
            let identified = !active.request.customer.is_empty();
            self.credentials.record_accepted(identified);
        }
        if active.request.route_key.is_none() {
            cx.allowances
                .admit(cx.now, &active.request.customer, cx.agent, cx.tx)?;
        } else if !active.request.customer.is_empty() {
            limit::admit(&mut active, cx)?;
        }
        Ok(active)
    }

    /// Returns whether a gate or the control plane reported that a request
    /// crashes upstreams.
    fn is_convicted(&self, fingerprint: Fingerprint, cx: &Cx<'_>) -> bool {
        let until = self.convicted.get(&fingerprint);
        until.is_some_and(|until| *until > cx.now) || cx.agent.convicted(fingerprint)
    }

    /// Refuses a request that crashes upstreams. Returns the only upstream that may run it,
    /// if it may run once more.
    fn check_conviction(
        &self,
        request: &Request,
        cx: &Cx<'_>,
    ) -> Result<Option<UpstreamId>, RefusalCause> {
        if !self.is_convicted(request.fingerprint, cx) {
            return Ok(None);
        }
        let retrial_at = cx.agent.retrial_at(cx.now, request.fingerprint);
        match retrial_at {
            Some(upstream) => Ok(Some(upstream.clone())),
            None => Err(Reason::Convicted.into()),
        }
    }

    fn count_attempt(&mut self, purpose: Purpose) {
        let count = match purpose {
            Purpose::First => &mut self.attempts.first,
            Purpose::Retry => &mut self.attempts.retries,
            Purpose::Hedge => &mut self.attempts.hedges,
            Purpose::Redirect => &mut self.attempts.redirects,
            Purpose::Repick => &mut self.attempts.repicks,
        };
        *count += 1;
    }
}

fn push(tx: &mut Vec<crate::Effect>, effect: Effect) {
    tx.push(crate::Effect::Entry(effect));
}
