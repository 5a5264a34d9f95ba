//! Crashes of upstreams that were not certain yet when the daemon that saw them ended.
//!
//! A daemon reports with its heartbeats which requests its upstream may have ended with, and
//! counts the crash itself once it is certain. If the daemon ends first, its next start knows
//! nothing of it; what that one hears of the upstream makes the crash certain or refutes it.

use crate::millis::millis;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Heartbeat, Suspect, SuspectState};

/// Time after the start of a daemon by which an upstream that runs has announced itself.
const ANNOUNCED_BY: Duration = Duration::from_secs(3);
/// Time for which a report is kept.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The newest report of one start of a daemon.
#[derive(Debug)]
struct Report {
    at: Duration,
    incarnation: u64,
    /// Service and start of the upstream.
    service: String,
    boot: String,
    states: Vec<SuspectState>,
}

/// The reports by daemon.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedCrashes {
    reports: BTreeMap<String, Report>,
}

impl UnconfirmedCrashes {
    /// Records what a heartbeat reports. Returns the crash that an earlier start of the
    /// daemon reported, if the upstream has ended for certain.
    pub(super) fn record(&mut self, now: Duration, heartbeat: &Heartbeat) -> Option<Suspect> {
        let earlier = self.reports.get(&heartbeat.daemon);
        let earlier = earlier.filter(|report| report.incarnation != heartbeat.incarnation);
        let has_ended = earlier.map(|report| has_ended(report, heartbeat));
        if has_ended == Some(None) {
            return None;
        }
        let former = self.reports.remove(&heartbeat.daemon);
        if let Some(report) = new_report(now, heartbeat) {
            self.reports.insert(heartbeat.daemon.clone(), report);
        }
        let report = former.filter(|_| has_ended == Some(Some(true)))?;
        Some(crash(now, &heartbeat.daemon, report))
    }

    /// Drops reports of daemons that have not come back.
    pub(super) fn expire(&mut self, now: Duration) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.at) < MAX_AGE);
    }
}

/// Returns whether the upstream has ended since an earlier start of its daemon reported it,
/// or `None` if that is not known yet.
fn has_ended(earlier: &Report, heartbeat: &Heartbeat) -> Option<bool> {
    match &heartbeat.upstream {
        Some(upstream) => Some(upstream.boot != earlier.boot),
        None => (heartbeat.age_ms >= millis(ANNOUNCED_BY)).then_some(true),
    }
}

fn new_report(now: Duration, heartbeat: &Heartbeat) -> Option<Report> {
    let upstream = heartbeat.upstream.as_ref()?;
    let states = heartbeat.unconfirmed_crashes.clone();
    (!states.is_empty()).then(|| Report {
        at: now,
        incarnation: heartbeat.incarnation,
        service: upstream.service.clone(),
        boot: upstream.boot.clone(),
        states,
    })
}

/// Returns the report that the earlier start of the daemon would have made.
fn crash(now: Duration, daemon: &str, report: Report) -> Suspect {
    let passed_ms = millis(now.saturating_sub(report.at));
    let states = report.states.into_iter().map(|state| SuspectState {
        since_ms: state.since_ms.map(|since| since.saturating_add(passed_ms)),
        ..state
    });
    Suspect {
        service: report.service,
        states: states.collect(),
        daemon: daemon.to_owned(),
        incarnation: report.incarnation,
    }
}
