//! Ways to choose: the one in production, and baselines to measure it against.

use rand::Rng;
use rand::rngs::SmallRng;

/// An upstream that may be chosen, as a policy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredCandidate {
    /// Position in the list of upstreams, which is sorted by name.
    pub index: usize,
    /// Whether it is in the chooser's data centre.
    pub local: bool,
    /// Load that it would bear with one request more; 1 is full.
    pub score: f64,
    /// Time to the answer that is expected of it, in seconds.
    pub finish: f64,
    /// That time with what the bytes on the way and a late answer are worth,
    /// in seconds.
    pub cost: f64,
    /// Requests of this entry that it works on.
    pub own_in_flight: u32,
    /// Part of its normal traffic that it may get now, 0 to 1.
    pub ramp_share: f64,
    /// Whether it should be left alone: ejected, or silent.
    pub avoid: bool,
}

/// A way to choose, as a plain value.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name, for reports.
    pub name: &'static str,
    /// Chooses one of the upstreams, given how many choices came before.
    pub choose: fn(&mut SmallRng, &[ScoredCandidate], u64) -> Option<usize>,
    /// Whether gates admit everything, whatever their limit.
    pub gateless: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self::TWO_CHOICES
    }
}

impl Policy {
    /// Power of two choices, own data centre first.
    pub const TWO_CHOICES: Self = Self {
        name: "two_choices",
        choose: two_choices,
        gateless: false,
    };
    /// The upstream that is expected to answer first, as far as the bytes on
    /// the way and the objective allow.
    pub const EXPECTED_FINISH: Self = Self {
        name: "expected_finish",
        choose: expected_finish,
        gateless: false,
    };
    /// Any upstream, with equal chance.
    pub const RANDOM: Self = Self {
        name: "random",
        choose: random,
        gateless: false,
    };
    /// Each upstream in turn.
    pub const ROUND_ROBIN: Self = Self {
        name: "round_robin",
        choose: round_robin,
        gateless: false,
    };
    /// The upstream with the fewest requests of this entry.
    pub const LEAST_IN_FLIGHT: Self = Self {
        name: "least_in_flight",
        choose: least_in_flight,
        gateless: false,
    };

    /// Returns the policy with gates that admit everything.
    #[must_use]
    pub const fn without_gate(self) -> Self {
        Self {
            gateless: true,
            ..self
        }
    }
}

/// Score from which upstreams of other data centres are looked at.
const SPILL_SCORE: f64 = 0.75;
/// How much lower a score in another data centre must be.
const SPILL_MARGIN: f64 = 0.1;

/// Part by which expected times are varied, so that entries that know the same
/// don't all choose the same upstream.
const FINISH_SPREAD: f64 = 0.1;

fn expected_finish(rng: &mut SmallRng, choices: &[ScoredCandidate], _turn: u64) -> Option<usize> {
    let pool = admitted(rng, choices);
    let varied = pool.into_iter().map(|c| {
        let cost = c.cost * (1.0 + FINISH_SPREAD * rng.random::<f64>());
        (cost, c.index)
    });
    let first = varied.min_by(|a, b| a.0.total_cmp(&b.0));
    first.map(|(_, index)| index)
}

fn two_choices(rng: &mut SmallRng, choices: &[ScoredCandidate], _turn: u64) -> Option<usize> {
    let pool = admitted(rng, choices);
    let (near, far): (Vec<ScoredCandidate>, Vec<ScoredCandidate>) =
        pool.iter().partition(|c| c.local);
    let near = better_of_two(rng, &near);
    let crowded = near.is_none_or(|c| c.score >= SPILL_SCORE);
    let far = if crowded {
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

/// Returns the upstreams that may be chosen now, as far as there are any that
/// should not be left alone.
fn admitted(rng: &mut SmallRng, choices: &[ScoredCandidate]) -> Vec<ScoredCandidate> {
    let mut usable: Vec<ScoredCandidate> = choices.iter().filter(|c| !c.avoid).copied().collect();
    if usable.is_empty() {
        usable = choices.to_vec();
    }
    let admitted: Vec<ScoredCandidate> = usable
        .iter()
        .filter(|c| c.ramp_share >= 1.0 || rng.random::<f64>() < c.ramp_share)
        .copied()
        .collect();
    if admitted.is_empty() {
        usable
    } else {
        admitted
    }
}

fn better_of_two(rng: &mut SmallRng, choices: &[ScoredCandidate]) -> Option<ScoredCandidate> {
    let len = choices.len();
    if len < 2 {
        return choices.first().copied();
    }
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    let (first, second) = (choices.get(first)?, choices.get(second)?);
    Some(if second.score < first.score {
        *second
    } else {
        *first
    })
}

fn random(rng: &mut SmallRng, choices: &[ScoredCandidate], _turn: u64) -> Option<usize> {
    if choices.is_empty() {
        return None;
    }
    choices
        .get(rng.random_range(0..choices.len()))
        .map(|c| c.index)
}

fn round_robin(_rng: &mut SmallRng, choices: &[ScoredCandidate], turn: u64) -> Option<usize> {
    let len = u64::try_from(choices.len()).ok().filter(|len| *len > 0)?;
    let at = usize::try_from(turn % len).ok()?;
    choices.get(at).map(|c| c.index)
}

fn least_in_flight(rng: &mut SmallRng, choices: &[ScoredCandidate], turn: u64) -> Option<usize> {
    let fewest = choices.iter().map(|c| c.own_in_flight).min()?;
    let tied: Vec<ScoredCandidate> = choices
        .iter()
        .filter(|c| c.own_in_flight == fewest)
        .copied()
        .collect();
    random(rng, &tied, turn)
}
