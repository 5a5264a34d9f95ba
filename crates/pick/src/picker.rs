//! Tracks the load of one service and chooses among its upstreams.

mod pauses;
mod transfer;

use crate::eject;
use crate::finish::{self, CostInputs, Work};
use crate::peers::PeerSummary;
use crate::policy::{Policy, ScoredCandidate};
use crate::quantile::LatencyQuantiles;
use crate::reachability::Reachability;
use crate::service_times::{Basis, ServiceTimes};
use crate::stats::UpstreamStats;
use crate::{score, straggler};
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, DataCentreId, Load, UpstreamId};

/// Approximate network round-trip time to another data centre.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(4);
/// Weight of a new sample in the moving averages of a class.
const SMOOTHING: f64 = 0.1;
/// Maximum number of classes for which averages are kept.
const MAX_CLASSES: usize = 1_024;
/// Minimum share of the normal traffic that a returning upstream receives.
const MIN_RAMP_SHARE: f64 = 0.05;

/// An upstream that can be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Announced slots.
    pub slots: u32,
}

/// Settings for choosing upstreams.
#[derive(Clone, Copy, Debug)]
pub struct PickSettings {
    /// Maximum fraction of a service that may be ejected, 0 to 1.
    pub eject_ratio: f64,
    /// Time until a returned upstream receives its full share of the traffic.
    pub return_ramp: Duration,
    /// Cost of sending a kilobyte to another data centre, as the response time
    /// that it is worth.
    pub far_per_kb: Duration,
    /// Maximum cost of sending a request and its response to another data centre.
    pub far_limit: Option<Duration>,
    /// Cost of a response after its objective, as the response time that it is
    /// worth.
    pub late_cost: Duration,
    /// Bytes a second that the network link of a VM carries; 0 if unknown.
    pub link_bytes: u64,
    /// Load balancing policy.
    pub policy: Policy,
}

/// A request for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Data centre of the entry.
    pub data_centre: &'a str,
    /// Upstream on the VM of the entry; its requests use no network link.
    pub own_upstream: &'a str,
    /// Data centres that the entry can reach.
    pub reachability: &'a Reachability,
    /// Upstreams that were already tried.
    pub tried: &'a [UpstreamId],
    /// Class of the request.
    pub class: &'a str,
    /// Service time assumed until one was measured for the class.
    pub default_work: Duration,
    /// Size of the request in bytes.
    pub bytes: u64,
    /// Time left until the response is late, if the request has an objective.
    pub objective: Option<Duration>,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Rank among requests for upstreams that state a rate, the greatest first.
    pub preference: u32,
    /// Factor on the cost of a late response, which is higher for more important
    /// requests.
    pub late_factor: f64,
    /// Largest cost of transfer to another data centre, as the response time that it is
    /// worth; `None` for no limit.
    pub max_transfer: Option<Duration>,
}

/// Reply to an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A response arrived after this time.
    Success(Duration),
    /// The attempt failed: a server error or an incomplete response.
    Failure,
    /// The gate did not run the request because there was no slot.
    NoSlot,
    /// The gate did not run the request for another reason, or cannot be
    /// reached. The upstream is avoided until this time.
    Unavailable(Duration),
}

/// Estimate for an upstream at the time of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Expected response time.
    pub finish: Duration,
    /// Assumed service time in percent of the normal one; without a report,
    /// that of the peers.
    pub believed_slow_percent: u32,
    /// What the service time in `finish` rests on.
    pub basis: Basis,
    /// Whether the upstream has a free slot, as far as known.
    pub has_room: bool,
    /// Whether the entry cannot reach the data centre of the upstream.
    pub unreachable: bool,
    /// Whether the upstream accepted no work lately, or does not respond while others
    /// do.
    pub unavailable: bool,
}

/// Load and candidates of one service.
#[derive(Debug)]
pub struct Picker {
    settings: PickSettings,
    candidates: Vec<Candidate>,
    all_stats: BTreeMap<UpstreamId, UpstreamStats>,
    /// Recent latencies of each class.
    latencies: BTreeMap<ClassId, LatencyQuantiles>,
    /// Service times of each class at normal speed.
    service_times: ServiceTimes,
    /// Average response size of each class, in bytes.
    response_bytes: BTreeMap<ClassId, f64>,
    choices_made: u64,
    /// Greatest preference seen recently, and when.
    preferred: Option<(u32, Duration)>,
    /// When the last of the callers that were told when to come back is to do so.
    promised_until: Duration,
    last_used: Duration,
}

impl Picker {
    /// Creates a picker without upstreams.
    #[must_use]
    pub fn new(settings: PickSettings) -> Self {
        Self {
            settings,
            candidates: Vec::new(),
            all_stats: BTreeMap::new(),
            latencies: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            response_bytes: BTreeMap::new(),
            choices_made: 0,
            preferred: None,
            promised_until: Duration::ZERO,
            last_used: Duration::ZERO,
        }
    }

    /// Replaces the candidates, which must be sorted by name. New upstreams
    /// start on the ramp, unless all of them are new.
    pub fn update(&mut self, now: Duration, candidates: Vec<Candidate>) {
        self.last_used = now;
        if self.candidates == candidates {
            return;
        }
        let first = self.candidates.is_empty();
        let old = std::mem::take(&mut self.all_stats);
        self.all_stats = candidates
            .iter()
            .map(|c| {
                let known = old.get(&c.upstream).cloned();
                let ramp_start = (!first).then_some(now);
                let stats = known.unwrap_or_else(|| UpstreamStats::new(ramp_start));
                (c.upstream.clone(), stats)
            })
            .collect();
        let is_kept = |c: &Candidate| old.contains_key(&c.upstream);
        if !first && !candidates.iter().any(is_kept) {
            self.service_times.invalidate();
        }
        self.candidates = candidates;
    }

    /// Returns the time at which the service was last used.
    #[must_use]
    pub fn last_used(&self) -> Duration {
        self.last_used
    }

    /// Returns the names of the candidates.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.candidates.iter().map(|c| &c.upstream)
    }

    /// Returns whether an upstream is a candidate.
    #[must_use]
    pub fn contains(&self, upstream: &str) -> bool {
        self.all_stats.contains_key(upstream)
    }

    /// Returns whether there are no candidates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Chooses an upstream that was not tried yet.
    pub fn choose(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
        request: PickRequest<'_>,
    ) -> Option<Estimate> {
        eject::update(&mut self.all_stats, self.settings.eject_ratio, now);
        let choices_made = self.choices_made;
        self.choices_made += 1;
        self.record_preference(now, request.preference);
        let peers = PeerSummary::new(&self.all_stats, now);
        let mut candidates = self.score_untried(now, &peers, request);
        let rank = self.rank(now, request.preference);
        candidates.retain(|c| !self.is_paused(now, c.index, request.preference, rank));
        self.prefer_due(&mut candidates, request);
        let index = (self.settings.policy.choose)(rng, &candidates, choices_made)?;
        let chosen = candidates.iter().find(|c| c.index == index)?;
        self.estimate_for(now, &peers, chosen, request.class)
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Duration, upstream: &str) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.record_sent(now);
        }
    }

    /// Records the reply to a request. The body of the response may still be in
    /// transfer.
    pub fn record_reply(
        &mut self,
        now: Duration,
        upstream: &str,
        reply: Reply,
        load: Option<Load>,
    ) {
        let Some(stats) = self.all_stats.get_mut(upstream) else {
            return;
        };
        stats.record_activity(now, load);
        match reply {
            Reply::Success(latency) => {
                let normalised = finish::normalise(stats, latency, now);
                stats.record_success(now, normalised);
            }
            Reply::Failure => stats.record_failure(now),
            Reply::Unavailable(until) => stats.unavailable_until = until,
            Reply::NoSlot => {}
        }
    }

    /// Records the time to the response to a request of a class.
    pub fn record_service_time(
        &mut self,
        now: Duration,
        upstream: &str,
        class: &str,
        latency: Duration,
    ) {
        if self.latencies.contains_key(class) || self.latencies.len() < MAX_CLASSES {
            self.latencies
                .entry(class.into())
                .or_default()
                .record(latency);
        }
        let Some(stats) = self.all_stats.get(upstream) else {
            return;
        };
        let normalised = finish::normalise(stats, latency, now);
        let seconds = normalised.as_secs_f64();
        self.service_times.record(now, class, seconds);
    }

    /// Returns whether a request may be sent although it is not expected to be in time: the
    /// upstream has room, and what is known of the class is a guess or old.
    pub fn renews_estimate(&mut self, now: Duration, class: &str, estimate: &Estimate) -> bool {
        let usable = !estimate.unavailable && !estimate.unreachable;
        usable && estimate.has_room && self.service_times.renew(now, class)
    }

    /// Records the size of the response to a request of a class.
    #[expect(clippy::cast_precision_loss, reason = "bodies are short enough")]
    pub fn record_response_bytes(&mut self, class: &str, bytes: u64) {
        smooth(&mut self.response_bytes, class, bytes as f64);
    }

    /// Returns the estimate for an upstream.
    #[must_use]
    pub fn estimate(
        &self,
        now: Duration,
        upstream: &str,
        request: PickRequest<'_>,
    ) -> Option<Estimate> {
        let peers = PeerSummary::new(&self.all_stats, now);
        let index = self
            .candidates
            .iter()
            .position(|c| c.upstream == upstream)?;
        let chosen = self.score_candidate(now, &peers, index, request)?;
        self.estimate_for(now, &peers, &chosen, request.class)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    fn estimate_for(
        &self,
        now: Duration,
        peers: &PeerSummary<'_>,
        chosen: &ScoredCandidate,
        class: &str,
    ) -> Option<Estimate> {
        let candidate = self.candidates.get(chosen.index)?;
        let stats = self.all_stats.get(&candidate.upstream)?;
        let slowness = finish::slowness(stats, peers.unreported_slowness, now);
        Some(Estimate {
            upstream: candidate.upstream.clone(),
            finish: Duration::try_from_secs_f64(chosen.finish).unwrap_or(Duration::MAX),
            believed_slow_percent: (slowness * finish::HUNDREDTHS).round() as u32,
            basis: self.service_times.basis(now, class),
            has_room: finish::has_room(stats, candidate.slots, now),
            unreachable: chosen.unreachable,
            unavailable: stats.unavailable_until > now
                || straggler::is_unresponsive(
                    stats,
                    peers.median,
                    peers.last_activity_except(&candidate.upstream),
                    now,
                ),
        })
    }

    /// Returns the expected response time of the candidate with the lowest cost
    /// that was not tried yet and is not avoided.
    #[must_use]
    pub fn best_finish(&self, now: Duration, request: PickRequest<'_>) -> Option<Duration> {
        let candidates = self.scored_candidates(now, request).into_iter();
        let rank = self.rank(now, request.preference);
        let preference = request.preference;
        let is_paused = |index| self.is_paused(now, index, preference, rank);
        let usable = candidates.filter(|c| !c.avoid && !is_paused(c.index));
        let best = usable.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Duration::try_from_secs_f64(best.finish).ok()
    }

    /// Records a load that the gate of an upstream sent on its own.
    pub fn record_load(&mut self, now: Duration, upstream: &str, load: Load) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.record_load(now, load);
        }
    }

    /// Avoids an upstream until a time, because the connection to it failed.
    pub fn record_unavailable(&mut self, upstream: &str, until: Duration) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.unavailable_until = until;
        }
    }

    /// Records that an attempt that began at `sent_at` was cancelled because an earlier one
    /// responded first. Its upstream had less time than the other, so the missing response
    /// does not show that it is unresponsive.
    pub fn record_overtaken(&mut self, now: Duration, upstream: &str, sent_at: Duration) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.record_end(now);
            stats.forget_silence(sent_at);
        }
    }

    /// Records that an attempt has ended.
    pub fn record_end(&mut self, now: Duration, upstream: &str) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.record_end(now);
        }
    }

    /// Records activity of an upstream during a response, with the load that
    /// came with it.
    pub fn record_progress(&mut self, now: Duration, upstream: &str, load: Option<Load>) {
        if let Some(stats) = self.all_stats.get_mut(upstream) {
            stats.record_activity(now, load);
        }
    }

    /// Returns a percentile of the recent latencies of a class; `None` while too few are
    /// known.
    #[must_use]
    pub fn latency_quantile(&self, class: &str, percent: usize) -> Option<Duration> {
        self.latencies.get(class)?.quantile(percent)
    }

    /// Returns all candidates that were not tried yet, with their scores.
    #[must_use]
    pub fn scored_candidates(
        &self,
        now: Duration,
        request: PickRequest<'_>,
    ) -> Vec<ScoredCandidate> {
        self.score_untried(now, &PeerSummary::new(&self.all_stats, now), request)
    }

    fn score_untried(
        &self,
        now: Duration,
        peers: &PeerSummary<'_>,
        request: PickRequest<'_>,
    ) -> Vec<ScoredCandidate> {
        let all = self.candidates.iter().enumerate();
        let untried = all.filter(|(_, c)| !request.tried.contains(&c.upstream));
        untried
            .filter(|(_, c)| self.is_transfer_allowed(c, request))
            .filter_map(|(index, _)| self.score_candidate(now, peers, index, request))
            .collect()
    }

    fn score_candidate(
        &self,
        now: Duration,
        peers: &PeerSummary<'_>,
        index: usize,
        request: PickRequest<'_>,
    ) -> Option<ScoredCandidate> {
        let candidate = self.candidates.get(index)?;
        let stats = self.all_stats.get(&candidate.upstream)?;
        let relative_latency = straggler::relative_latency(stats, peers.median, now);
        let local = candidate.data_centre == request.data_centre;
        let far = if local { 0.0 } else { 1.0 };
        let on_own_vm = candidate.upstream == request.own_upstream;
        let transfer = match on_own_vm {
            true => 0.0,
            false => self.transfer_time(request),
        };
        let work = Work {
            service_time: self.service_time(request),
            network: far * FAR_ROUND_TRIP.as_secs_f64() + transfer,
        };
        let inputs = CostInputs {
            transfer: far * self.transfer_cost(request),
            objective: request.objective.map(|o| o.as_secs_f64()),
            deadline: request.deadline.as_secs_f64(),
            late_cost: self.settings.late_cost.as_secs_f64() * request.late_factor,
        };
        let slowness = finish::slowness(stats, finish::NORMAL_SLOWNESS, now).max(relative_latency);
        let finish = finish::expected(stats, candidate.slots, slowness, work, now);
        let last_peer_activity = peers.last_activity_except(&candidate.upstream);
        let unresponsive = straggler::is_unresponsive(stats, peers.median, last_peer_activity, now);
        let unreachable = !on_own_vm && request.reachability.avoids(now, &candidate.data_centre);
        Some(ScoredCandidate {
            index,
            local,
            finish,
            cost: finish::cost(finish, inputs),
            score: score::score(stats, candidate.slots, now) * relative_latency,
            own_in_flight: stats.own_in_flight,
            ramp_share: self.ramp_share(stats, now),
            unreachable,
            avoid: unreachable
                || unresponsive
                || stats.unavailable_until > now
                || stats.ejected_until.is_some(),
        })
    }

    /// Returns the service time of the request at normal speed, in seconds.
    fn service_time(&self, request: PickRequest<'_>) -> f64 {
        let measured = self.service_times.average(request.class);
        measured.unwrap_or(request.default_work.as_secs_f64())
    }

    /// Returns the share of its normal traffic that an upstream may receive on
    /// its ramp.
    fn ramp_share(&self, stats: &UpstreamStats, now: Duration) -> f64 {
        let ramp = self.settings.return_ramp.as_secs_f64();
        let Some(ramp_start) = stats.ramp_start.filter(|_| ramp > 0.0) else {
            return 1.0;
        };
        let age = now.saturating_sub(ramp_start).as_secs_f64();
        (age / ramp).clamp(MIN_RAMP_SHARE, 1.0)
    }
}

/// Updates the moving average of a class.
fn smooth(values: &mut BTreeMap<ClassId, f64>, class: &str, value: f64) {
    let known = values.get(class).copied();
    if known.is_some() || values.len() < MAX_CLASSES {
        let smoothed = known.map_or(value, |old| old + SMOOTHING * (value - old));
        values.insert(class.into(), smoothed);
    }
}
