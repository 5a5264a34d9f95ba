//! Histogram of service times, in the buckets of [`wire::RouteEvidence`].

/// Ratio of the ends of two consecutive buckets.
const BUCKET_RATIO: f64 = std::f64::consts::SQRT_2;
/// End of the first bucket, in milliseconds.
const FIRST_END_MS: f64 = 1.0;

/// Numbers of service times by bucket.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Histogram {
    buckets: Vec<u32>,
}

impl Histogram {
    pub(crate) fn new(buckets: &[u32]) -> Self {
        Self {
            buckets: buckets.to_vec(),
        }
    }

    /// Adds the counts of another histogram.
    pub(crate) fn add(&mut self, other: &Self) {
        if self.buckets.len() < other.buckets.len() {
            self.buckets.resize(other.buckets.len(), 0);
        }
        for (count, added) in self.buckets.iter_mut().zip(&other.buckets) {
            *count = count.saturating_add(*added);
        }
    }

    /// Returns the counts that this histogram has beyond those of an earlier one.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let before = earlier.buckets.iter().chain(std::iter::repeat(&0));
        let buckets = self.buckets.iter().zip(before);
        Self {
            buckets: buckets.map(|(now, was)| now.saturating_sub(*was)).collect(),
        }
    }

    fn total(&self) -> f64 {
        self.buckets.iter().map(|count| f64::from(*count)).sum()
    }

    /// Returns the median in milliseconds, interpolated within its bucket, if there
    /// are any service times.
    pub(crate) fn median_ms(&self) -> Option<f64> {
        let half = self.total() / 2.0;
        let mut below = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            let count = f64::from(*count);
            if count > 0.0 && below + count >= half {
                let (start, end) = ends_ms(index);
                return Some(start + (end - start) * (half - below) / count);
            }
            below += count;
        }
        None
    }

    /// Returns the number of service times above a limit. Those in the bucket of the
    /// limit are taken to be evenly distributed.
    pub(crate) fn above(&self, limit_ms: f64) -> f64 {
        let buckets = self.buckets.iter().enumerate();
        let above = buckets.map(|(index, count)| {
            let (start, end) = ends_ms(index);
            let part = (end - limit_ms) / (end - start);
            f64::from(*count) * part.clamp(0.0, 1.0)
        });
        above.sum()
    }
}

fn ends_ms(index: usize) -> (f64, f64) {
    let exponent = i32::try_from(index).unwrap_or(i32::MAX);
    let end = FIRST_END_MS * BUCKET_RATIO.powi(exponent);
    match index {
        0 => (0.0, end),
        _ => (end / BUCKET_RATIO, end),
    }
}
