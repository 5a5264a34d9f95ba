//! Requests in flight, and the checks before any work is done for them.

use super::identity::Identity;
use super::message::{Attempt, Request};
use super::refusal::{Reason, RefusalCause};
use super::route;
use super::versions::AttemptVersion;
use super::wait_estimate::WaitEstimator;
use crate::context::Cx;
use compact_str::CompactString;
use conf::{Class, KeyRule};
use pick::{PickRequest, Reachability};
use std::time::Duration;
use wire::{AttemptId, ClassId, UpstreamId};

/// Class of requests that state none.
const DEFAULT_CLASS: &str = "default";
/// Weight of requests that state no class, if the lists define no default
/// class.
const DEFAULT_WEIGHT: u32 = 1;
/// Deadline of requests that state no class, if the lists define no default
/// class.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Retries that all calls below a first call may spend together.
const CALL_TREE_RETRIES: u32 = 20;
/// Smallest time left to the latency objective; zero would mean that there is
/// no objective.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Divisor of a request's objective that gives its estimated work as long as no
/// request of its class was measured.
const UNMEASURED_WORK_DIVISOR: u32 = 4;
/// Weight of a class whose late responses cost what the settings say.
const ORDINARY_WEIGHT: u32 = 1 << 8;
/// Lowest factor on the cost of a late response.
const MIN_LATE_FACTOR: f64 = 0.5;
/// Highest factor on the cost of a late response.
const MAX_LATE_FACTOR: f64 = 4.0;
/// Retries that an entry reserves for itself when it forwards a request.
const RESERVED_RETRIES: u32 = 1;

/// Purpose of an attempt, which decides the budget that pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The first attempt.
    First,
    /// Another attempt, paid from the retry budgets.
    Retry,
    /// Another attempt after a gate did not run the request; free.
    Repick,
    /// An attempt at the only upstream that may run a suspected request.
    Redirect,
    /// A second attempt beside one in flight, paid from the hedge budget.
    Hedge,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// It is in flight.
    InFlight,
    /// It was not run, and did not reach the upstream.
    NotRun,
    /// The upstream received it and reported that it did not run it.
    Rejected,
    /// It may have run.
    MayHaveRun,
}

/// An attempt that was sent to a gate.
#[derive(Debug)]
pub(super) struct SentAttempt {
    pub(super) number: AttemptId,
    pub(super) upstream: UpstreamId,
    pub(super) sent_at: Duration,
    /// Expected response time when it was sent.
    pub(super) expected: Duration,
    /// Retries delegated to the call tree below.
    pub(super) delegated_retries: u32,
    pub(super) state: AttemptState,
    /// Version of the upstream, and the rollout of its service.
    pub(super) version: AttemptVersion,
    /// Whether the upstream may be chosen again, because it was only slower
    /// than assumed.
    pub(super) reselectable: bool,
    /// Whether it was sent beside another one in flight.
    pub(super) is_hedge: bool,
}

/// State of a request's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// It needs no claim.
    Unneeded,
    /// It needs a claim that has not been requested.
    Needed,
    /// A claim was requested, with this nonce.
    Requested(u64),
    /// The claim with this number was granted.
    Granted(u64),
}

/// Whether a request holds a token of the limit that the routing states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenState {
    /// No such limit applies.
    Unneeded,
    /// It waits for the decision of its customer's home.
    Awaited,
    /// It took one at this time.
    TakenAt(Duration),
}

/// What a request needs from an upstream.
#[derive(Debug)]
pub(super) struct Demand {
    class: ClassId,
    /// Estimated work, used as long as no request of the class was measured.
    default_work: Duration,
    bytes: u64,
    /// Time left until the latency objective is missed, if there is one.
    objective: Option<Duration>,
    /// Time left until the deadline.
    deadline: Duration,
    /// Rank among requests for upstreams that state a rate.
    preference: u32,
    /// Factor on the cost of a late response.
    late_factor: f64,
    /// Largest cost of transfer to another data centre, if it is limited.
    pub(super) max_transfer: Option<Duration>,
}

/// Where the entry is, and what it can reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct EntryView<'a> {
    pub(super) data_centre: &'a str,
    pub(super) own_upstream: &'a str,
    pub(super) reachability: &'a Reachability,
}

impl Demand {
    /// Returns the input of the choice of an upstream.
    pub(super) fn pick_request<'a>(
        &'a self,
        entry: EntryView<'a>,
        tried: &'a [UpstreamId],
    ) -> PickRequest<'a> {
        PickRequest {
            data_centre: entry.data_centre,
            own_upstream: entry.own_upstream,
            reachability: entry.reachability,
            tried,
            class: &self.class,
            default_work: self.default_work,
            bytes: self.bytes,
            objective: self.objective,
            deadline: self.deadline,
            preference: self.preference,
            late_factor: self.late_factor,
            max_transfer: self.max_transfer,
        }
    }
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) request: Request,
    pub(super) class: Class,
    pub(super) class_name: ClassId,
    pub(super) deadline: Duration,
    /// How its customer was identified, where the configuration needs credentials.
    pub(super) identity: Option<Identity>,
    pub(super) claim: ClaimState,
    pub(super) attempts: Vec<SentAttempt>,
    /// Retries left to this entry and the call tree below.
    pub(super) retry_budget: u32,
    /// Maximum number of upstreams that it may reach.
    pub(super) max_reached_upstreams: usize,
    /// Latency objective, if one is stated.
    pub(super) objective: Option<Duration>,
    /// When the latency objective is missed, if there is one.
    pub(super) late_at: Option<Duration>,
    /// Whether its caller has waited since an earlier request, as far as can be told.
    pub(super) has_waited: bool,
    /// Gates that refused it for lack of room.
    pub(super) no_room_refusals: usize,
    /// The attempt whose response is passed to the caller, and its HTTP status.
    pub(super) relayed: Option<(AttemptId, u16)>,
    /// The only upstream that may run it.
    pub(super) only_at: Option<UpstreamId>,
    pub(super) suspected: bool,
    pub(super) token: TokenState,
    /// Response time that a hedge which is due may save.
    pub(super) hedge_saves: Option<Duration>,
    /// Whether a hedge was denied, which is counted once.
    pub(super) hedge_denied: bool,
}

impl ActiveRequest {
    /// Returns whether it waits for the decision of its customer's home.
    pub(super) fn is_held(&self) -> bool {
        self.token == TokenState::Awaited
    }

    pub(super) fn in_flight_attempt(&mut self, number: AttemptId) -> Option<&mut SentAttempt> {
        let in_flight =
            |t: &&mut SentAttempt| t.number == number && t.state == AttemptState::InFlight;
        self.attempts.iter_mut().find(in_flight)
    }

    pub(super) fn has_in_flight(&self) -> bool {
        self.count(AttemptState::InFlight) > 0
    }

    pub(super) fn count(&self, state: AttemptState) -> usize {
        self.attempts.iter().filter(|t| t.state == state).count()
    }

    /// Returns whether every attempt is known not to have run.
    pub(super) fn is_not_run(&self) -> bool {
        let not_run =
            |t: &SentAttempt| matches!(t.state, AttemptState::NotRun | AttemptState::Rejected);
        self.attempts.iter().all(not_run)
    }

    /// Returns how many attempts reached, or may have reached, an upstream.
    pub(super) fn reached_upstreams(&self) -> usize {
        self.attempts.len() - self.count(AttemptState::NotRun)
    }

    pub(super) fn tried_upstreams(&self) -> Vec<UpstreamId> {
        let tried = self.attempts.iter().filter(|t| !t.reselectable);
        tried.map(|t| t.upstream.clone()).collect()
    }

    /// Returns what the request needs from an upstream.
    pub(super) fn demand(&self, now: Duration) -> Demand {
        Demand {
            class: self.class_name.clone(),
            default_work: self.objective.unwrap_or(self.class.deadline) / UNMEASURED_WORK_DIVISOR,
            bytes: self.request.body_bytes,
            objective: self.until_late(now),
            deadline: self.deadline.saturating_sub(now),
            preference: self.preference(),
            late_factor: self.late_factor(),
            max_transfer: None,
        }
    }

    /// Returns the rank among requests for upstreams that have little room.
    pub(super) fn preference(&self) -> u32 {
        match self.request.depth {
            0 | 1 => self.class.weight,
            // The request that made the call holds a slot elsewhere.
            _ => u32::MAX,
        }
    }

    /// Returns the factor on the cost of a late response, by the weight of the class.
    fn late_factor(&self) -> f64 {
        let factor = f64::from(self.class.weight) / f64::from(ORDINARY_WEIGHT);
        factor.clamp(MIN_LATE_FACTOR, MAX_LATE_FACTOR)
    }

    /// Returns the time left until the latency objective is missed, if there is
    /// one; never zero, which would mean that there is no objective.
    fn until_late(&self, now: Duration) -> Option<Duration> {
        let late_at = self.late_at?;
        Some(late_at.saturating_sub(now).max(MIN_TIME_LEFT))
    }

    /// Starts an attempt.
    pub(super) fn start_attempt(
        &mut self,
        purpose: Purpose,
        upstream: &UpstreamId,
        address: CompactString,
        now: Duration,
    ) -> Attempt {
        let number = AttemptId::try_from(self.attempts.len() + 1).unwrap_or(AttemptId::MAX);
        let delegated = self.charge_retries(purpose);
        self.attempts.push(SentAttempt {
            number,
            upstream: upstream.clone(),
            sent_at: now,
            expected: Duration::ZERO,
            delegated_retries: delegated,
            state: AttemptState::InFlight,
            version: AttemptVersion::default(),
            reselectable: false,
            is_hedge: purpose == Purpose::Hedge,
        });
        Attempt {
            request: self.request.id,
            attempt: number,
            upstream: upstream.clone(),
            address,
            believed_slow_percent: 0,
            deadline: self.deadline.saturating_sub(now),
            retry_budget: delegated,
            service: self.request.service.clone(),
            sender: None,
            class: self.class_name.clone(),
            objective: self.until_late(now),
            weight: self.class.weight,
            idempotent: self.class.idempotent,
            claim: self.claim_number(),
            suspected: self.suspected,
            known_restriction: None,
        }
    }

    /// Records the version of the upstream of an attempt.
    pub(super) fn set_version(&mut self, number: AttemptId, version: AttemptVersion) {
        if let Some(sent) = self.in_flight_attempt(number) {
            sent.version = version;
        }
    }

    /// Records the expected response time of an attempt.
    pub(super) fn set_expected(&mut self, number: AttemptId, expected: Duration) {
        if let Some(sent) = self.in_flight_attempt(number) {
            sent.expected = expected;
        }
    }

    /// Charges an attempt to the retry budget of the request; returns how many
    /// retries are delegated to the call tree below. Delegated retries are
    /// returned only if the attempt is not run, so a call tree never spends
    /// more than its root was given.
    fn charge_retries(&mut self, purpose: Purpose) -> u32 {
        if matches!(purpose, Purpose::Retry | Purpose::Hedge) {
            self.retry_budget = self.retry_budget.saturating_sub(1);
        }
        if purpose == Purpose::Hedge {
            return 0;
        }
        let delegated = self.retry_budget.saturating_sub(RESERVED_RETRIES);
        self.retry_budget -= delegated;
        delegated
    }

    /// Returns the claim number, or 0.
    pub(super) fn claim_number(&self) -> u64 {
        match self.claim {
            ClaimState::Granted(claim) => claim,
            ClaimState::Unneeded | ClaimState::Needed | ClaimState::Requested(_) => 0,
        }
    }
}

/// Resolves the class, the deadline and the retry budget of a request.
pub(super) fn prepare(
    mut request: Request,
    wait_estimator: &mut WaitEstimator,
    cx: &mut Cx<'_>,
) -> Result<ActiveRequest, RefusalCause> {
    let rules = match request.route_key.take() {
        Some(route_key) => {
            let rules = route::resolve(&mut request, &route_key, cx)?;
            request.route_key = Some(route_key);
            rules
        }
        None => class_rules(&request, cx)?,
    };
    let RequestRules {
        class_name,
        class,
        max_reached_upstreams,
        objective,
        identity,
    } = rules;
    let keyless = request.key.as_ref().is_none_or(|key| key.is_empty());
    if keyless && !class.idempotent && class.key == KeyRule::Required {
        return Err(Reason::KeyRequired.into());
    }
    let time = request
        .deadline
        .map_or(class.deadline, |d| d.min(class.deadline));
    if time.is_zero() {
        return Err(Reason::Deadline.into());
    }
    let objective = objective.filter(|o| !o.is_zero());
    let waited = objective.map_or(Duration::ZERO, |_| {
        let granted = request.deadline.unwrap_or(class.deadline);
        wait_estimator.estimate(cx.now, &class_name, granted)
    });
    let late_at = objective.map(|objective| cx.now + objective.saturating_sub(waited));
    let retry_budget = match request.retry_budget {
        Some(budget) => budget.min(CALL_TREE_RETRIES),
        None if request.depth <= 1 => CALL_TREE_RETRIES,
        None => 0,
    };
    let claim = if class.idempotent || keyless {
        ClaimState::Unneeded
    } else {
        ClaimState::Needed
    };
    Ok(ActiveRequest {
        deadline: cx.now + time,
        request,
        class,
        class_name,
        identity,
        claim,
        attempts: Vec::new(),
        retry_budget,
        max_reached_upstreams,
        objective,
        late_at,
        has_waited: !waited.is_zero(),
        no_room_refusals: 0,
        relayed: None,
        only_at: None,
        suspected: false,
        token: TokenState::Unneeded,
        hedge_saves: None,
        hedge_denied: false,
    })
}

/// Rules that apply to a request.
#[derive(Debug)]
pub(super) struct RequestRules {
    pub(super) class_name: ClassId,
    pub(super) class: Class,
    pub(super) max_reached_upstreams: usize,
    pub(super) objective: Option<Duration>,
    pub(super) identity: Option<Identity>,
}

fn class_rules(request: &Request, cx: &Cx<'_>) -> Result<RequestRules, RefusalCause> {
    let (class_name, class) = resolve_class(request, cx)?;
    Ok(RequestRules {
        class_name,
        class,
        max_reached_upstreams: usize::MAX,
        objective: None,
        identity: None,
    })
}

fn resolve_class(request: &Request, cx: &Cx<'_>) -> Result<(ClassId, Class), RefusalCause> {
    let classes = &cx.agent.config.plans.classes;
    if let Some(name) = &request.class {
        let class = classes.get(name).ok_or(Reason::UnknownClass)?;
        return Ok((name.clone(), *class));
    }
    let fallback = Class {
        weight: DEFAULT_WEIGHT,
        idempotent: request.safe_method,
        key: KeyRule::Optional,
        deadline: DEFAULT_DEADLINE,
    };
    let class = classes.get(DEFAULT_CLASS).copied().unwrap_or(fallback);
    Ok((DEFAULT_CLASS.into(), class))
}
