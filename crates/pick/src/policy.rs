//! Load balancing policies: those for production, and baselines for
//! measurements.

use rand::Rng;
use rand::rngs::SmallRng;

/// A candidate with the values that policies decide by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredCandidate {
    /// Index in the list of candidates, which is sorted by name.
    pub index: usize,
    /// Whether the upstream is in the data centre of the entry.
    pub local: bool,
    /// Relative load with one more request; 1 means full.
    pub score: f64,
    /// Expected response time in seconds.
    pub finish: f64,
    /// Expected response time plus the costs of transfer and of a late
    /// response, in seconds.
    pub cost: f64,
    /// Requests of this entry that the upstream processes.
    pub own_in_flight: u32,
    /// Share of its normal traffic that the upstream may receive now, 0 to 1.
    pub ramp_share: f64,
    /// Whether the entry cannot reach its data centre.
    pub unreachable: bool,
    /// Whether the upstream should be avoided, because it is unreachable,
    /// unavailable, ejected or unresponsive.
    pub avoid: bool,
}

/// A load balancing policy.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name of the policy in reports.
    pub name: &'static str,
    /// Chooses a candidate, given the number of previous choices.
    pub choose: fn(&mut SmallRng, &[ScoredCandidate], u64) -> Option<usize>,
    /// Whether gates admit all requests, whatever their limit.
    pub gateless: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self::TWO_CHOICES
    }
}

impl Policy {
    /// Power of two choices, with preference for the local data centre.
    pub const TWO_CHOICES: Self = Self {
        name: "two_choices",
        choose: two_choices,
        gateless: false,
    };
    /// Lowest expected response time, including the costs of transfer and of a
    /// late response.
    pub const EXPECTED_FINISH: Self = Self {
        name: "expected_finish",
        choose: expected_finish,
        gateless: false,
    };
    /// Random choice with equal probabilities.
    pub const RANDOM: Self = Self {
        name: "random",
        choose: random,
        gateless: false,
    };
    /// Round robin.
    pub const ROUND_ROBIN: Self = Self {
        name: "round_robin",
        choose: round_robin,
        gateless: false,
    };
    /// Fewest requests of this entry in flight.
    pub const LEAST_IN_FLIGHT: Self = Self {
        name: "least_in_flight",
        choose: least_in_flight,
        gateless: false,
    };

    /// Returns the policy with gates that admit all requests.
    #[must_use]
    pub const fn without_gate(self) -> Self {
        Self {
            gateless: true,
            ..self
        }
    }
}

/// Score of the local candidate from which other data centres are considered.
const SPILL_SCORE: f64 = 0.75;
/// Difference in score for which another data centre is preferred.
const SPILL_MARGIN: f64 = 0.1;

/// Relative jitter of the costs, so that entries with the same data do not all
/// choose the same upstream.
const COST_JITTER: f64 = 0.1;

fn expected_finish(
    rng: &mut SmallRng,
    candidates: &[ScoredCandidate],
    _choices_made: u64,
) -> Option<usize> {
    let pool = eligible(rng, candidates);
    let jittered = pool.into_iter().map(|c| {
        let cost = c.cost * (1.0 + COST_JITTER * rng.random::<f64>());
        (cost, c.index)
    });
    let cheapest = jittered.min_by(|a, b| a.0.total_cmp(&b.0));
    cheapest.map(|(_, index)| index)
}

fn two_choices(
    rng: &mut SmallRng,
    candidates: &[ScoredCandidate],
    _choices_made: u64,
) -> Option<usize> {
    let pool = eligible(rng, candidates);
    let (near, far): (Vec<ScoredCandidate>, Vec<ScoredCandidate>) =
        pool.iter().partition(|c| c.local);
    let near = better_of_two(rng, &near);
    let spills = near.is_none_or(|c| c.score >= SPILL_SCORE);
    let far = if spills {
        better_of_two(rng, &far)
    } else {
        None
    };
    match (near, far) {
        (Some(near), Some(far)) if far.score + SPILL_MARGIN < near.score => Some(far.index),
        (Some(near), _) => Some(near.index),
        (None, far) => far.map(|c| c.index),
    }
}

/// Returns the candidates that are not avoided, or all of them if there is no
/// other. Upstreams on a ramp are included at random according to their share.
fn eligible(rng: &mut SmallRng, candidates: &[ScoredCandidate]) -> Vec<ScoredCandidate> {
    let mut usable: Vec<ScoredCandidate> =
        candidates.iter().filter(|c| !c.avoid).copied().collect();
    if usable.is_empty() {
        usable = candidates.to_vec();
    }
    let eligible: Vec<ScoredCandidate> = usable
        .iter()
        .filter(|c| c.ramp_share >= 1.0 || rng.random::<f64>() < c.ramp_share)
        .copied()
        .collect();
    if eligible.is_empty() {
        usable
    } else {
        eligible
    }
}

fn better_of_two(rng: &mut SmallRng, candidates: &[ScoredCandidate]) -> Option<ScoredCandidate> {
    let len = candidates.len();
    if len < 2 {
        return candidates.first().copied();
    }
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    let (first, second) = (candidates.get(first)?, candidates.get(second)?);
    Some(if second.score < first.score {
        *second
    } else {
        *first
    })
}

fn random(rng: &mut SmallRng, candidates: &[ScoredCandidate], _choices_made: u64) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    candidates
        .get(rng.random_range(0..candidates.len()))
        .map(|c| c.index)
}

fn round_robin(
    _rng: &mut SmallRng,
    candidates: &[ScoredCandidate],
    choices_made: u64,
) -> Option<usize> {
    let len = u64::try_from(candidates.len())
        .ok()
        .filter(|len| *len > 0)?;
    let at = usize::try_from(choices_made % len).ok()?;
    candidates.get(at).map(|c| c.index)
}

fn least_in_flight(
    rng: &mut SmallRng,
    candidates: &[ScoredCandidate],
    choices_made: u64,
) -> Option<usize> {
    let fewest = candidates.iter().map(|c| c.own_in_flight).min()?;
    let tied: Vec<ScoredCandidate> = candidates
        .iter()
        .filter(|c| c.own_in_flight == fewest)
        .copied()
        .collect();
    random(rng, &tied, choices_made)
}
