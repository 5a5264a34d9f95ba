//! Accounting of a caller's request: its metrics, and log lines for a sample.

use super::refusal::{reason_name, run_name};
use crate::clock;
use crate::metrics::Outcome;
use crate::runtime::Daemon;
use crate::task_messages::UploadError;
use compact_str::CompactString;
use node::agent::ConfigBasis;
use node::entry::{self, Reason, Refusal};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wire::{AttemptId, Fingerprint, RequestId};

/// Maximum number of requests that the end of a stop logs.
const MAX_CUT_LINES: usize = 100;

/// A request in progress. Dropping it updates the metrics and, for a sample of
/// the requests, writes the log line.
#[derive(Debug)]
pub(super) struct RequestRecord {
    daemon: Arc<Daemon>,
    started_at: Instant,
    /// Time since the VM booted at which the headers were received.
    pub(super) received_at: Duration,
    /// Id of the request, unique in this run of the daemon.
    pub(super) id: RequestId,
    pub(super) customer: CompactString,
    pub(super) service: CompactString,
    pub(super) class: CompactString,
    pub(super) upstream: CompactString,
    /// The caller's id of its attempt, if it has one.
    pub(super) attempt_id: CompactString,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempts: AttemptId,
    pub(super) status: u16,
    /// Configuration that decided the request.
    pub(super) basis: ConfigBasis,
    outcome: &'static str,
    reason: &'static str,
    run: &'static str,
    /// Whether customer and class were found in the configuration.
    known: bool,
}

impl RequestRecord {
    /// Starts the record of a request whose headers were just received.
    pub(super) fn begin(daemon: &Arc<Daemon>) -> Self {
        let id = daemon.next_id();
        daemon.open_requests.fetch_add(1, Ordering::AcqRel);
        Self {
            daemon: daemon.clone(),
            started_at: Instant::now(),
            received_at: clock::now(),
            id,
            customer: CompactString::default(),
            service: CompactString::default(),
            class: CompactString::default(),
            upstream: CompactString::default(),
            attempt_id: CompactString::default(),
            fingerprint: 0,
            attempts: 0,
            status: 0,
            basis: ConfigBasis::default(),
            outcome: "caller-gone",
            reason: "",
            run: "",
            known: true,
        }
    }

    /// Records that the complete response was passed on.
    pub(super) fn mark_answered(&mut self) {
        self.outcome = "answered";
    }

    /// Records that the response was cut off after its beginning was passed on.
    pub(super) fn mark_broken(&mut self) {
        self.outcome = "broken";
        self.log_if_cut();
    }

    /// Records that the reducer refused the request.
    pub(super) fn mark_refused(&mut self, refusal: &Refusal) {
        self.outcome = "refused";
        self.reason = reason_name(refusal.reason);
        self.run = run_name(refusal.run);
        let unverified = [
            Reason::UnknownCustomer,
            Reason::UnknownCredential,
            Reason::UnknownClass,
            Reason::Stale,
        ];
        self.known = !unverified.contains(&refusal.reason);
        self.log_if_cut();
    }

    /// Records that the request was not acceptable in itself.
    pub(super) fn mark_rejected(&mut self, reason: &'static str) {
        self.outcome = "refused";
        self.reason = reason;
        self.known = false;
    }

    /// Records that the request's body could not be read.
    pub(super) fn mark_upload_failed(&mut self, err: UploadError) {
        match err {
            UploadError::TooLong => self.mark_rejected("body-too-long"),
            UploadError::TimedOut => self.mark_rejected("body-timeout"),
            UploadError::NoMemory => self.mark_rejected("no-memory"),
            UploadError::Aborted => self.known = false,
        }
    }

    /// Logs the request if the end of a stop cuts it off.
    fn log_if_cut(&self) {
        if !self.daemon.is_ending() {
            return;
        }
        let earlier = self.daemon.cut_requests.fetch_add(1, Ordering::Relaxed);
        if earlier >= MAX_CUT_LINES {
            return;
        }
        log::warn!(
            "event=stop_cut_request id={} attempt_id={} class={:?} outcome={} run={} attempts={} \
             upstream={} took_us={}",
            self.id,
            self.attempt_id,
            self.class,
            self.outcome,
            self.run,
            self.attempts,
            self.upstream,
            self.started_at.elapsed().as_micros(),
        );
    }

    /// Logs which upstream was chosen, with the inputs of the choice.
    pub(super) fn log_attempt(&self, attempt: &entry::Attempt) {
        log::info!(
            "event=chosen id={} attempt_id={} attempt={} class={:?} upstream={} \
             deadline_ms={} objective_ms={} weight={} believed_slow_percent={} suspected={}",
            self.id,
            self.attempt_id,
            attempt.attempt,
            attempt.class,
            attempt.upstream,
            attempt.deadline.as_millis(),
            attempt.objective.map_or(0, |o| o.as_millis()),
            attempt.weight,
            attempt.believed_slow_percent,
            attempt.suspected,
        );
    }

    /// Returns the age of the confirmation in milliseconds, or -1 without one.
    fn confirmed_ms(&self) -> i64 {
        let age = self.basis.confirmed.map(|age| age.as_millis());
        age.map_or(-1, |ms| i64::try_from(ms).unwrap_or(i64::MAX))
    }

    fn log(&self) {
        log::info!(
            "event=request id={} attempt_id={} fingerprint={:016x} customer={:?} service={:?} \
             class={:?} outcome={} reason={} run={} status={} attempts={} upstream={} \
             config_version={} routing_version={} confirmed_ms={} took_us={}",
            self.id,
            self.attempt_id,
            self.fingerprint,
            self.customer,
            self.service,
            self.class,
            self.outcome,
            self.reason,
            self.run,
            self.status,
            self.attempts,
            self.upstream,
            self.basis.version,
            self.basis.routing_version,
            self.confirmed_ms(),
            self.started_at.elapsed().as_micros(),
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.daemon.metrics.record(&Outcome {
            customer: &self.customer,
            class: &self.class,
            outcome: self.outcome,
            reason: self.reason,
            known: self.known,
            duration: self.started_at.elapsed(),
        });
        let ratio = self.daemon.cfg.log.sample_ratio;
        if ratio > 0.0 && rand::random::<f64>() < ratio {
            self.log();
        }
        self.daemon.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
