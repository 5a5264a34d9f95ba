//! The share of a service's requests that the new version gets during a rollout.
//!
//! It is kept by counting: each attempt to which an upstream responded earns the share
//! of an attempt, and an attempt at the new version costs a whole one. So the attempts
//! at the new version never exceed the share of those that reached an upstream, whatever
//! their order, and they are spread evenly.

/// Millionths in an attempt.
const PPM: u64 = 1_000_000;
/// Maximum number of attempts at the new version that are saved up. Without a limit, an
/// upstream that appears late would get all that was earned before in one burst.
const MAX_SAVED_ATTEMPTS: u64 = 4;

/// Attempts that one entry may make at the new version of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionShare {
    rollout: u64,
    /// What was earned and not spent, in millionths of an attempt.
    saved_ppm: u64,
    has_other_versions: bool,
}

impl VersionShare {
    /// Sets the number of the rollout; another one begins with nothing earned.
    /// `others` is whether the service has upstreams of other versions now.
    pub fn update(&mut self, rollout: u64, others: bool) {
        if self.rollout != rollout {
            *self = Self {
                rollout,
                ..Self::default()
            };
        }
        self.has_other_versions |= others;
    }

    /// Returns the number of the rollout.
    #[must_use]
    pub fn rollout(&self) -> u64 {
        self.rollout
    }

    /// Returns whether there is something to share: other versions had an upstream at
    /// any time of the rollout.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.has_other_versions
    }

    /// Returns whether an attempt may go to the new version, which gets at most this
    /// share, in millionths.
    #[must_use]
    pub fn allows(&self, share_ppm: u32) -> bool {
        is_all(share_ppm) || share_ppm > 0 && self.saved_ppm >= PPM
    }

    /// Records an attempt at the new version; returns whether it was paid for, so that
    /// [`Self::refund`] applies if it is not run.
    pub fn charge(&mut self, share_ppm: u32) -> bool {
        if is_all(share_ppm) || self.saved_ppm < PPM {
            return false;
        }
        self.saved_ppm -= PPM;
        true
    }

    /// Returns what was paid for an attempt that was not run.
    pub fn refund(&mut self, rollout: u64) {
        if self.rollout == rollout {
            self.earn(PPM);
        }
    }

    /// Records that an upstream of any version responded to an attempt that was made
    /// during the rollout.
    pub fn record_response(&mut self, rollout: u64, share_ppm: u32) {
        if self.rollout == rollout {
            self.earn(u64::from(share_ppm).min(PPM));
        }
    }

    fn earn(&mut self, ppm: u64) {
        self.saved_ppm = (self.saved_ppm + ppm).min(MAX_SAVED_ATTEMPTS * PPM);
    }
}

/// Returns whether a share needs no counting because it is everything.
fn is_all(share_ppm: u32) -> bool {
    u64::from(share_ppm) >= PPM
}
