//! A request under way, and the checks before any work is done for it.

use super::message::{Attempt, Request};
use super::patience::Patience;
use super::refusal::{GiveUp, Reason};
use super::route;
use crate::context::Cx;
use compact_str::CompactString;
use conf::{Class, KeyRule};
use pick::PickRequest;
use std::time::Duration;
use wire::{AttemptId, ClassId, UpstreamId};

/// Class of the requests that state none.
const DEFAULT_CLASS: &str = "default";
/// Weight of requests that state no class, where the list has no default.
const DEFAULT_WEIGHT: u32 = 1;
/// Time to answer of requests that state no class, where the list has no
/// default.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Retries that the whole call tree below a first call may spend.
const TREE_RETRIES: u32 = 20;
/// Time left until an answer is late that stands for none left.
const SHORTEST: Duration = Duration::from_millis(1);
/// Part of its objective that a request's work takes, as long as none of its
/// class was measured.
const UNMEASURED_WORK: u32 = 4;
/// Retries that an entry keeps for itself when it forwards a request.
const KEPT_RETRIES: u32 = 1;

/// What an attempt is, and who pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The first attempt.
    First,
    /// Another attempt, out of the retry budgets.
    Retry,
    /// Another attempt after a gate did not run the request, which costs
    /// nothing.
    Repick,
    /// An attempt at the only upstream that may run it.
    Redirect,
    /// A second attempt beside an open one, out of the hedge budget.
    Hedge,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It is under way.
    Open,
    /// It was not run, and no upstream got it.
    NotRun,
    /// An upstream got it and said that it did not run it.
    Rejected,
    /// It may have run.
    InDoubt,
}

/// An attempt that was forwarded.
#[derive(Debug)]
pub(super) struct Tried {
    pub(super) number: AttemptId,
    pub(super) upstream: UpstreamId,
    pub(super) sent: Duration,
    /// Time to the answer that was expected then.
    pub(super) expected: Duration,
    /// Retries handed to the call tree below.
    pub(super) handed: u32,
    pub(super) fate: Fate,
    /// Whether the upstream may be chosen again: it was only slower than
    /// believed.
    pub(super) may_return: bool,
}

/// Where a request stands with its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// It needs none.
    Unneeded,
    /// It needs one, and none was asked for.
    Needed,
    /// One was asked for, with this random number.
    Asked(u64),
    /// It was granted, with this number.
    Granted(u64),
}

/// What a request asks of an upstream, as far as choosing goes.
#[derive(Debug)]
pub(super) struct Demand {
    class: ClassId,
    /// Time that the work takes, as long as none of the class was measured.
    work: Duration,
    bytes: u64,
    /// Time left until the answer is late, if there is an objective.
    objective: Option<Duration>,
}

impl Demand {
    /// Returns what the choice is told.
    pub(super) fn wanted<'a>(
        &'a self,
        data_centre: &'a str,
        tried: &'a [UpstreamId],
    ) -> PickRequest<'a> {
        PickRequest {
            data_centre,
            tried,
            class: &self.class,
            default_work: self.work,
            bytes: self.bytes,
            objective: self.objective,
        }
    }
}

/// A request under way.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) request: Request,
    pub(super) class: Class,
    pub(super) class_name: ClassId,
    pub(super) deadline: Duration,
    pub(super) claim: ClaimState,
    pub(super) tried: Vec<Tried>,
    /// Retries that are left to this entry and the call tree below.
    pub(super) retry_budget: u32,
    /// Upstreams that it may reach.
    pub(super) max_arrivals: usize,
    /// Time within which the answer has its full worth, if one is stated.
    pub(super) objective: Option<Duration>,
    /// When the answer is late, if there is such a time.
    pub(super) late_at: Option<Duration>,
    /// The attempt whose answer the caller gets, and its HTTP status.
    pub(super) relayed: Option<(AttemptId, u16)>,
    /// The only upstream that may run it.
    pub(super) only_at: Option<UpstreamId>,
    pub(super) suspected: bool,
}

impl Active {
    pub(super) fn open(&mut self, number: AttemptId) -> Option<&mut Tried> {
        let open = |t: &&mut Tried| t.number == number && t.fate == Fate::Open;
        self.tried.iter_mut().find(open)
    }

    pub(super) fn has_open(&self) -> bool {
        self.count(Fate::Open) > 0
    }

    pub(super) fn count(&self, fate: Fate) -> usize {
        self.tried.iter().filter(|t| t.fate == fate).count()
    }

    /// Returns whether every attempt was explicitly not run.
    pub(super) fn is_not_run(&self) -> bool {
        let not_run = |t: &Tried| matches!(t.fate, Fate::NotRun | Fate::Rejected);
        self.tried.iter().all(not_run)
    }

    /// Returns how many upstreams it has reached, as far as is known.
    pub(super) fn arrivals(&self) -> usize {
        self.tried.len() - self.count(Fate::NotRun)
    }

    pub(super) fn tried_upstreams(&self) -> Vec<UpstreamId> {
        let tried = self.tried.iter().filter(|t| !t.may_return);
        tried.map(|t| t.upstream.clone()).collect()
    }

    /// Returns what the request asks of an upstream.
    pub(super) fn demand(&self, now: Duration) -> Demand {
        Demand {
            class: self.class_name.clone(),
            work: self.objective.unwrap_or(self.class.deadline) / UNMEASURED_WORK,
            bytes: self.request.body_bytes,
            objective: self.until_late(now),
        }
    }

    /// Returns the time left until the answer is late, if there is such a
    /// time; never zero, which would stand for none.
    fn until_late(&self, now: Duration) -> Option<Duration> {
        let late_at = self.late_at?;
        Some(late_at.saturating_sub(now).max(SHORTEST))
    }

    /// Begins an attempt.
    pub(super) fn begin(
        &mut self,
        purpose: Purpose,
        upstream: &UpstreamId,
        address: CompactString,
        now: Duration,
    ) -> Attempt {
        let number = AttemptId::try_from(self.tried.len() + 1).unwrap_or(AttemptId::MAX);
        let handed = self.pay(purpose);
        self.tried.push(Tried {
            number,
            upstream: upstream.clone(),
            sent: now,
            expected: Duration::ZERO,
            handed,
            fate: Fate::Open,
            may_return: false,
        });
        Attempt {
            request: self.request.id,
            attempt: number,
            upstream: upstream.clone(),
            address,
            believed_slow_percent: 0,
            deadline: self.deadline.saturating_sub(now),
            retry_budget: handed,
            service: self.request.service.clone(),
            class: self.class_name.clone(),
            objective: self.until_late(now),
            weight: self.class.weight,
            idempotent: self.class.idempotent,
            claim: self.claim_number(),
            suspected: self.suspected,
        }
    }

    /// Notes the time to the answer that is expected of an attempt.
    pub(super) fn expect(&mut self, number: AttemptId, expected: Duration) {
        if let Some(tried) = self.open(number) {
            tried.expected = expected;
        }
    }

    /// Takes an attempt out of the retries left; returns how many of them the
    /// call tree below gets. What is handed down is lost to this entry unless
    /// the attempt is not run, so a tree never spends more than its root had.
    fn pay(&mut self, purpose: Purpose) -> u32 {
        if matches!(purpose, Purpose::Retry | Purpose::Hedge) {
            self.retry_budget = self.retry_budget.saturating_sub(1);
        }
        if purpose == Purpose::Hedge {
            return 0;
        }
        let handed = self.retry_budget.saturating_sub(KEPT_RETRIES);
        self.retry_budget -= handed;
        handed
    }

    /// Returns the number of the claim, or 0.
    pub(super) fn claim_number(&self) -> u64 {
        match self.claim {
            ClaimState::Granted(claim) => claim,
            ClaimState::Unneeded | ClaimState::Needed | ClaimState::Asked(_) => 0,
        }
    }
}

/// Resolves the class, the deadline and the budget of a request.
pub(super) fn prepare(
    mut request: Request,
    patience: &mut Patience,
    cx: &mut Cx<'_>,
) -> Result<Active, GiveUp> {
    let rules = match request.route_key.take() {
        Some(route_key) => {
            let rules = route::rules(&mut request, &route_key, cx)?;
            request.route_key = Some(route_key);
            rules
        }
        None => listed_rules(&request, cx)?,
    };
    let Rules {
        class_name,
        class,
        max_arrivals,
        objective,
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
    let late_at = objective.map(|objective| {
        let granted = request.deadline.unwrap_or(class.deadline);
        let waited = patience.waited(cx.now, &class_name, granted);
        cx.now + objective.saturating_sub(waited)
    });
    let retry_budget = match request.retry_budget {
        Some(budget) => budget.min(TREE_RETRIES),
        None if request.depth <= 1 => TREE_RETRIES,
        None => 0,
    };
    let claim = if class.idempotent || keyless {
        ClaimState::Unneeded
    } else {
        ClaimState::Needed
    };
    Ok(Active {
        deadline: cx.now + time,
        request,
        class,
        class_name,
        claim,
        tried: Vec::new(),
        retry_budget,
        max_arrivals,
        objective,
        late_at,
        relayed: None,
        only_at: None,
        suspected: false,
    })
}

/// How a request is to be handled.
#[derive(Debug)]
pub(super) struct Rules {
    pub(super) class_name: ClassId,
    pub(super) class: Class,
    pub(super) max_arrivals: usize,
    pub(super) objective: Option<Duration>,
}

fn listed_rules(request: &Request, cx: &Cx<'_>) -> Result<Rules, GiveUp> {
    let (class_name, class) = class_of(request, cx)?;
    Ok(Rules {
        class_name,
        class,
        max_arrivals: usize::MAX,
        objective: None,
    })
}

fn class_of(request: &Request, cx: &Cx<'_>) -> Result<(ClassId, Class), GiveUp> {
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
