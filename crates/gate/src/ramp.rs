//! Slow start: begins with few slots and adds more as the upstream responds in
//! normal time.

/// Concurrency limit reached since the last reset.
#[derive(Debug)]
pub(crate) struct Ramp {
    cold_slots: u32,
    responses_per_slot: u32,
    limit: u32,
    normal_responses: u32,
    epoch: u64,
}

impl Ramp {
    pub(crate) fn new(cold_slots: u32, responses_per_slot: u32) -> Self {
        let cold_slots = cold_slots.max(1);
        Self {
            cold_slots,
            responses_per_slot: responses_per_slot.max(1),
            limit: cold_slots,
            normal_responses: 0,
            epoch: 0,
        }
    }

    /// Returns the number of resets so far, which identifies the requests sent
    /// since the last one.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the limit, capped at the announced slots.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        self.limit.min(slots)
    }

    pub(crate) fn is_cold(&self, slots: u32) -> bool {
        self.limit < slots
    }

    /// Lowers the limit to the announced slots, so that slots announced again
    /// later are added one by one.
    pub(crate) fn clamp(&mut self, slots: u32) {
        self.limit = self.limit.min(slots).max(self.cold_slots);
    }

    /// Resets the limit to the cold state.
    pub(crate) fn reset(&mut self) {
        self.limit = self.cold_slots;
        self.normal_responses = 0;
        self.epoch += 1;
    }

    /// Counts a response in normal time to a request of the given epoch.
    pub(crate) fn record_normal_response(&mut self, epoch: u64, slots: u32) {
        if epoch != self.epoch || self.limit >= slots {
            return;
        }
        self.normal_responses += 1;
        if self.normal_responses >= self.responses_per_slot {
            self.normal_responses = 0;
            self.limit += 1;
        }
    }

    /// Discards the progress towards the next slot after a slow or failed
    /// response.
    pub(crate) fn discard_progress(&mut self) {
        self.normal_responses = 0;
    }
}
