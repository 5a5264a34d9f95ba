//! Cold start: few slots at first, more only on evidence.

/// The limit that the upstream has earned since it was last doubted.
#[derive(Debug)]
pub(crate) struct Ramp {
    cold_slots: u32,
    answers_per_slot: u32,
    limit: u32,
    good: u32,
    epoch: u64,
}

impl Ramp {
    pub(crate) fn new(cold_slots: u32, answers_per_slot: u32) -> Self {
        let cold_slots = cold_slots.max(1);
        Self {
            cold_slots,
            answers_per_slot: answers_per_slot.max(1),
            limit: cold_slots,
            good: 0,
            epoch: 0,
        }
    }

    /// Returns the number of the current evidence period.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the limit, given what the upstream announced.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        self.limit.min(slots)
    }

    pub(crate) fn is_cold(&self, slots: u32) -> bool {
        self.limit < slots
    }

    /// Forgets what was earned above the announced slots, so that it must be
    /// earned again when they come back.
    pub(crate) fn clamp(&mut self, slots: u32) {
        self.limit = self.limit.min(slots).max(self.cold_slots);
    }

    /// Returns the upstream to the cold state.
    pub(crate) fn reset(&mut self) {
        self.limit = self.cold_slots;
        self.good = 0;
        self.epoch += 1;
    }

    /// Counts an answer at a normal time to a request of this epoch.
    pub(crate) fn good_answer(&mut self, epoch: u64, slots: u32) {
        if epoch != self.epoch || self.limit >= slots {
            return;
        }
        self.good += 1;
        if self.good >= self.answers_per_slot {
            self.good = 0;
            self.limit += 1;
        }
    }

    /// Discards the evidence for the next slot: an answer was slow or failed.
    pub(crate) fn bad_answer(&mut self) {
        self.good = 0;
    }
}
