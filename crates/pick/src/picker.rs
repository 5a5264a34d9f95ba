//! The load view of one service, and the choice among its upstreams.

use crate::eject;
use crate::finish::{self, Job, Worth};
use crate::peers::Peers;
use crate::policy::{Policy, ScoredCandidate};
use crate::quantile::Quantiles;
use crate::record::Record;
use crate::{score, straggler};
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ClassId, DataCentreId, Load, UpstreamId};

/// Time that the way to another data centre and back takes, about.
const FAR_WAY: Duration = Duration::from_millis(4);
/// Part of a new time in the smoothed time of a class.
const WORK_SMOOTHING: f64 = 0.1;
/// Classes whose times are kept.
const MAX_CLASSES: usize = 1_024;
/// Bytes of the headers of a request and its answer, about.
const HEADER_BYTES: f64 = 700.0;
/// Bytes of a kilobyte.
const KILOBYTE: f64 = 1_024.0;
/// Smallest part of its traffic that a returning upstream gets.
const SMALLEST_PART: f64 = 0.05;

/// An upstream that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Announced slots.
    pub slots: u32,
}

/// How an entry chooses.
#[derive(Clone, Copy, Debug)]
pub struct PickSettings {
    /// Largest part of a service that may be ejected, 0 to 1.
    pub eject_ratio: f64,
    /// Time for a returned upstream to get its whole part.
    pub return_ramp: Duration,
    /// Time that sending a kilobyte to another data centre is worth.
    pub far_per_kb: Duration,
    /// Time that an answer after its objective is worth.
    pub late_cost: Duration,
    /// The way to choose.
    pub policy: Policy,
}

/// What a choice is for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The chooser's data centre.
    pub data_centre: &'a str,
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamId],
    /// Class of the request.
    pub class: &'a str,
    /// Time that the work takes, as long as none of the class was measured.
    pub default_work: Duration,
    /// Bytes of the request.
    pub bytes: u64,
    /// Time left until the answer is late, if the request has an objective.
    pub objective: Option<Duration>,
}

/// How an upstream answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer came after this time.
    Success(Duration),
    /// It failed: a server error, or a broken answer.
    Failure,
    /// The gate did not run the request because it had no slot.
    NoSlot,
    /// The gate did not run the request for another reason, or can't be
    /// reached: it is left alone until this time.
    Unavailable(Duration),
}

/// What is believed of an upstream at the moment of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Expected time to the answer.
    pub finish: Duration,
    /// How slow it is believed to be, in hundredths of the usual; one that has
    /// not told, as slow as its peers.
    pub believed_slow_percent: u32,
}

/// The load view of one service.
#[derive(Debug)]
pub struct Picker {
    settings: PickSettings,
    candidates: Vec<Candidate>,
    records: BTreeMap<UpstreamId, Record>,
    latencies: Quantiles,
    /// Smoothed time of each class at an upstream as usual, in seconds.
    work: BTreeMap<ClassId, f64>,
    /// Smoothed bytes of each class's answers.
    answer_bytes: BTreeMap<ClassId, f64>,
    turn: u64,
    used: Duration,
}

impl Picker {
    /// Creates a view without upstreams.
    #[must_use]
    pub fn new(settings: PickSettings) -> Self {
        Self {
            settings,
            candidates: Vec::new(),
            records: BTreeMap::new(),
            latencies: Quantiles::default(),
            work: BTreeMap::new(),
            answer_bytes: BTreeMap::new(),
            turn: 0,
            used: Duration::ZERO,
        }
    }

    /// Takes the upstreams in that may be chosen, sorted by name. One that was
    /// not among them before starts on a ramp, unless all are new.
    pub fn update(&mut self, now: Duration, candidates: Vec<Candidate>) {
        self.used = now;
        if self.candidates == candidates {
            return;
        }
        let first = self.candidates.is_empty();
        let old = std::mem::take(&mut self.records);
        self.records = candidates
            .iter()
            .map(|c| {
                let known = old.get(&c.upstream).cloned();
                let appeared = (!first).then_some(now);
                let record = known.unwrap_or_else(|| Record::new(appeared));
                (c.upstream.clone(), record)
            })
            .collect();
        self.candidates = candidates;
    }

    /// Returns when the service was last asked for.
    #[must_use]
    pub fn last_used(&self) -> Duration {
        self.used
    }

    /// Returns the upstreams that may be chosen.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.candidates.iter().map(|c| &c.upstream)
    }

    /// Returns whether an upstream may be chosen.
    #[must_use]
    pub fn contains(&self, upstream: &str) -> bool {
        self.records.contains_key(upstream)
    }

    /// Returns whether no upstream may be chosen.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Chooses an upstream that was not tried yet.
    pub fn choose(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
        wanted: PickRequest<'_>,
    ) -> Option<Estimate> {
        eject::update(&mut self.records, self.settings.eject_ratio, now);
        let turn = self.turn;
        self.turn += 1;
        let peers = Peers::new(&self.records, now);
        let choices = self.choices_among(now, &peers, wanted);
        let index = (self.settings.policy.choose)(rng, &choices, turn)?;
        let choice = choices.iter().find(|c| c.index == index)?;
        self.look_at(now, &peers, choice)
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Duration, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.sent(now);
        }
    }

    /// Records how an upstream replied to a request; an answer may go on.
    pub fn record_reply(
        &mut self,
        now: Duration,
        upstream: &str,
        reply: Reply,
        load: Option<Load>,
    ) {
        if let Reply::Success(latency) = reply {
            self.latencies.record(latency);
        }
        let Some(record) = self.records.get_mut(upstream) else {
            return;
        };
        record.word(now, load);
        match reply {
            Reply::Success(latency) => {
                let usual = finish::as_usual(record, latency, now);
                record.succeeded(now, usual);
            }
            Reply::Failure => record.failed(now),
            Reply::Unavailable(until) => record.shunned_until = until,
            Reply::NoSlot => {}
        }
    }

    /// Records how long a request of a class took at an upstream.
    pub fn record_service_time(
        &mut self,
        now: Duration,
        upstream: &str,
        class: &str,
        latency: Duration,
    ) {
        let Some(record) = self.records.get(upstream) else {
            return;
        };
        let usual = finish::as_usual(record, latency, now);
        smooth(&mut self.work, class, usual.as_secs_f64());
    }

    /// Records how many bytes the answer to a request of a class had.
    #[expect(clippy::cast_precision_loss, reason = "bodies are short enough")]
    pub fn record_response_bytes(&mut self, class: &str, bytes: u64) {
        smooth(&mut self.answer_bytes, class, bytes as f64);
    }

    /// Returns what is believed of an upstream.
    #[must_use]
    pub fn estimate(
        &self,
        now: Duration,
        upstream: &str,
        wanted: PickRequest<'_>,
    ) -> Option<Estimate> {
        let peers = Peers::new(&self.records, now);
        let index = self
            .candidates
            .iter()
            .position(|c| c.upstream == upstream)?;
        let choice = self.choice(now, &peers, index, wanted)?;
        self.look_at(now, &peers, &choice)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts of floats saturate"
    )]
    fn look_at(
        &self,
        now: Duration,
        peers: &Peers<'_>,
        choice: &ScoredCandidate,
    ) -> Option<Estimate> {
        let candidate = self.candidates.get(choice.index)?;
        let record = self.records.get(&candidate.upstream)?;
        let slowness = finish::slowness(record, peers.unheard, now);
        Some(Estimate {
            upstream: candidate.upstream.clone(),
            finish: Duration::try_from_secs_f64(choice.finish).unwrap_or(Duration::MAX),
            believed_slow_percent: (slowness * finish::HUNDREDTHS).round() as u32,
        })
    }

    /// Returns the expected time to the answer at the upstream that costs
    /// least, among those that were not tried and need not be left alone.
    #[must_use]
    pub fn best_finish(&self, now: Duration, wanted: PickRequest<'_>) -> Option<Duration> {
        let choices = self.scored_candidates(now, wanted).into_iter();
        let usable = choices.filter(|c| !c.avoid);
        let best = usable.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Duration::try_from_secs_f64(best.finish).ok()
    }

    /// Takes in what an upstream's gate told without being asked.
    pub fn record_load(&mut self, now: Duration, upstream: &str, load: Load) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.told(now, load);
        }
    }

    /// Records that a request which was sent is over here.
    pub fn record_end(&mut self, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.own = record.own.saturating_sub(1);
        }
    }

    /// Records a sign of life of an upstream whose answer goes on.
    pub fn record_progress(&mut self, now: Duration, upstream: &str, load: Option<Load>) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.word(now, load);
        }
    }

    /// Returns a high quantile of the service's recent latency, in hundredths.
    #[must_use]
    pub fn latency_quantile(&self, hundredths: usize) -> Option<Duration> {
        self.latencies.quantile(hundredths)
    }

    /// Returns what the policy sees of each upstream that was not tried yet.
    #[must_use]
    pub fn scored_candidates(
        &self,
        now: Duration,
        wanted: PickRequest<'_>,
    ) -> Vec<ScoredCandidate> {
        self.choices_among(now, &Peers::new(&self.records, now), wanted)
    }

    fn choices_among(
        &self,
        now: Duration,
        peers: &Peers<'_>,
        wanted: PickRequest<'_>,
    ) -> Vec<ScoredCandidate> {
        let all = self.candidates.iter().enumerate();
        let untried = all.filter(|(_, c)| !wanted.tried.contains(&c.upstream));
        untried
            .filter_map(|(index, _)| self.choice(now, peers, index, wanted))
            .collect()
    }

    fn choice(
        &self,
        now: Duration,
        peers: &Peers<'_>,
        index: usize,
        wanted: PickRequest<'_>,
    ) -> Option<ScoredCandidate> {
        let candidate = self.candidates.get(index)?;
        let record = self.records.get(&candidate.upstream)?;
        let straggling = straggler::slowness(record, peers.median, now);
        let local = candidate.data_centre == wanted.data_centre;
        let far = if local { 0.0 } else { 1.0 };
        let job = Job {
            work: self.work(wanted),
            way: far * FAR_WAY.as_secs_f64(),
        };
        let worth = Worth {
            bytes: far * self.far_worth(wanted),
            objective: wanted.objective.map(|o| o.as_secs_f64()),
            late: self.settings.late_cost.as_secs_f64(),
        };
        let slowness = finish::slowness(record, finish::AS_USUAL, now).max(straggling);
        let finish = finish::expected(record, candidate.slots, slowness, job, now);
        let word = peers.last_word_but_of(&candidate.upstream);
        let frozen = straggler::is_frozen(record, peers.median, word, now);
        Some(ScoredCandidate {
            index,
            local,
            finish,
            cost: finish::cost(finish, worth),
            score: score::score(record, candidate.slots, now) * straggling,
            own_in_flight: record.own,
            ramp_share: self.ramp_share(record, now),
            avoid: frozen || record.shunned_until > now || record.ejected_until.is_some(),
        })
    }

    /// Returns the time that the work takes at an upstream as usual, in
    /// seconds.
    fn work(&self, wanted: PickRequest<'_>) -> f64 {
        let measured = self.work.get(wanted.class).copied();
        measured.unwrap_or(wanted.default_work.as_secs_f64())
    }

    /// Returns the time that the bytes to another data centre and back are
    /// worth, in seconds.
    #[expect(clippy::cast_precision_loss, reason = "bodies are short enough")]
    fn far_worth(&self, wanted: PickRequest<'_>) -> f64 {
        let answer = self.answer_bytes.get(wanted.class).copied();
        let bytes = wanted.bytes as f64 + answer.unwrap_or_default() + HEADER_BYTES;
        self.settings.far_per_kb.as_secs_f64() * bytes / KILOBYTE
    }

    /// Returns the part of its traffic that an upstream may get on its ramp.
    fn ramp_share(&self, record: &Record, now: Duration) -> f64 {
        let ramp = self.settings.return_ramp.as_secs_f64();
        let Some(appeared) = record.appeared.filter(|_| ramp > 0.0) else {
            return 1.0;
        };
        let age = now.saturating_sub(appeared).as_secs_f64();
        (age / ramp).clamp(SMALLEST_PART, 1.0)
    }
}

/// Takes a measured value of a class in.
fn smooth(values: &mut BTreeMap<ClassId, f64>, class: &str, value: f64) {
    let known = values.get(class).copied();
    if known.is_some() || values.len() < MAX_CLASSES {
        let smoothed = known.map_or(value, |old| old + WORK_SMOOTHING * (value - old));
        values.insert(class.into(), smoothed);
    }
}
