//! Applies the updates in a confirmed heartbeat reply: configuration, services,
//! homes of customers, and convicted requests.

use super::heartbeats::SentHeartbeat;
use super::{Agent, Conviction, CountedSuspect, Requester, Retrial};
use crate::effect::{Effect, LogLine};
use crate::millis::millis;
use conf::{Configuration, PageOutcome, RouteTable};
use fleet::DeregisteredStart;
use log::Level;
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{
    ConfigDelta, ConfigVersion, Fingerprint, HeartbeatReply, Rollout, ServiceId, Suspect,
    SuspectState, Term, Verdict, control_request,
};

/// Maximum number of convictions kept.
const MAX_CONVICTED: usize = 1_024;
/// Maximum number of convictions reported to a new leader, as many as a reply lists.
const MAX_REPORTED: usize = 64;
/// Time after a heartbeat for which its reply lets a convicted request run once. A daemon
/// that was suspended or cut off must not use an old offer.
const RETRIAL_TIME: Duration = Duration::from_secs(1);

/// A page of the configuration, and its size in the reply.
struct ConfigPage {
    delta: ConfigDelta,
    bytes: usize,
}

/// Returns the page of the configuration in a reply.
fn config_page(reply: &HeartbeatReply, tx: &mut Vec<Effect>) -> Option<ConfigPage> {
    let compressed = &reply.compressed_config;
    if compressed.is_empty() {
        let delta = reply.config.clone()?;
        let bytes = delta.encoded_len();
        return Some(ConfigPage { delta, bytes });
    }
    match ConfigDelta::decompress(compressed) {
        Ok(delta) => Some(ConfigPage {
            delta,
            bytes: compressed.len(),
        }),
        Err(err) => {
            tx.push(config_unreadable(err.to_string()));
            None
        }
    }
}

/// Reports a configuration that the daemon cannot apply.
fn config_unreadable(reason: String) -> Effect {
    Effect::Log(LogLine {
        level: Level::Error,
        event: "config_unreadable",
        pairs: vec![("findings", reason)],
    })
}

impl Agent {
    /// Applies a confirmed reply. It renews the freshness only if the
    /// configuration version that it names is in force at this daemon.
    pub(super) fn apply_reply(
        &mut self,
        now: Duration,
        sent: &SentHeartbeat,
        reply: HeartbeatReply,
        tx: &mut Vec<Effect>,
    ) {
        if let Some(page) = config_page(&reply, tx) {
            self.apply_config(now.saturating_sub(sent.at), reply.term, page, tx);
        }
        for delta in &reply.services {
            self.view.apply(delta);
        }
        if reply.term >= self.term {
            self.term = reply.term;
            if !reply.deregistered_boot.is_empty() {
                self.deregistered = DeregisteredStart {
                    boot: reply.deregistered_boot,
                    target: reply.deregistered_target,
                    incarnation: reply.deregistered_incarnation,
                };
            }
            self.apply_verdicts(now, sent.at, &reply.convicted);
            if !reply.homes.is_empty() {
                self.homes = reply.homes;
                self.initial_homes = reply.initial_homes;
            }
        }
        if reply.config_version < sent.config_version {
            tx.push(version_lost(sent.config_version, reply.config_version));
        } else if self.config.version >= reply.config_version {
            let version = self.config.version;
            self.confirmation
                .confirm(now, sent.at, &sent.target, version, tx);
            let basis = self.credential_basis();
            self.credential_lease.confirm(now, sent.at, basis, tx);
        }
    }

    /// Applies the configuration in a reply that came too late to confirm anything. Over a
    /// slow link a large one may never arrive earlier.
    pub(super) fn apply_outdated_reply(
        &mut self,
        now: Duration,
        sent: &SentHeartbeat,
        reply: HeartbeatReply,
        tx: &mut Vec<Effect>,
    ) {
        if !reply.confirmed || reply.term < self.term {
            return;
        }
        if let Some(page) = config_page(&reply, tx) {
            self.apply_config(now.saturating_sub(sent.at), reply.term, page, tx);
        }
    }

    /// Applies a page that arrived `took` after it was requested.
    fn apply_config(
        &mut self,
        took: Duration,
        term: Term,
        ConfigPage { delta, bytes }: ConfigPage,
        tx: &mut Vec<Effect>,
    ) {
        let from = delta.from;
        let previous = self.config.routing.clone();
        let rollouts = self.config.rollouts.clone();
        match self.receiver.receive_page(&mut self.config, term, delta) {
            Ok(PageOutcome::Applied) => {
                log_rollouts(&rollouts, &self.config.rollouts, tx);
                self.subscribe_routed();
                self.heartbeats.schedule_now();
                tx.push(Effect::Log(LogLine {
                    level: Level::Info,
                    event: "config_in_force",
                    pairs: vec![
                        ("version", self.config.version.to_string()),
                        (
                            "routing_version",
                            self.config.routing.content().version.to_string(),
                        ),
                        ("from", from.to_string()),
                        ("last_page_bytes", bytes.to_string()),
                        ("took_ms", millis(took).to_string()),
                    ],
                }));
                tx.extend(credentials_in_force(&previous, &self.config));
            }
            Ok(PageOutcome::Incomplete) => self.heartbeats.schedule_now(),
            Ok(PageOutcome::Ignored) => {}
            Err(findings) => tx.push(config_unreadable(findings.lines().join("; "))),
        }
    }

    /// Subscribes to the services that routes lead to, so that their upstreams
    /// are known before the first request.
    fn subscribe_routed(&mut self) {
        let routing = self.config.routing.clone();
        for service in routing.routed_services() {
            self.view.subscribe(self.last_tick, service);
        }
    }

    fn apply_verdicts(&mut self, now: Duration, asked_at: Duration, states: &[SuspectState]) {
        self.convict(now, asked_at, states);
        let acquitted = states.iter().filter(|s| s.verdict() == Verdict::Acquitted);
        self.acquitted = acquitted.map(|s| s.fingerprint).collect();
        for fingerprint in &self.acquitted {
            self.convicted.remove(fingerprint);
        }
        let counted = states.iter().filter_map(|s| {
            let since = Duration::from_millis(s.since_ms?);
            Some(CountedSuspect {
                fingerprint: s.fingerprint,
                first_crash_at: now.saturating_sub(since),
            })
        });
        self.counted = counted.collect();
    }

    /// Reports the convictions that a new leader does not know. Daemons whose replies
    /// follow receive them and report nothing.
    pub(super) fn report_convictions(
        &mut self,
        now: Duration,
        published: &[Fingerprint],
        tx: &mut Vec<Effect>,
    ) {
        let unknown = self.convicted.iter();
        let unknown = unknown.filter(|(fingerprint, _)| !published.contains(fingerprint));
        let states: Vec<SuspectState> = unknown
            .take(MAX_REPORTED)
            .map(|(fingerprint, conviction)| SuspectState {
                fingerprint: *fingerprint,
                verdict: Verdict::Convicted.into(),
                expires_ms: millis(conviction.expires_at.saturating_sub(now)),
                since_ms: conviction
                    .first_crash_at
                    .map(|at| millis(now.saturating_sub(at))),
                ..SuspectState::default()
            })
            .collect();
        if states.is_empty() {
            return;
        }
        let suspect = Suspect {
            states,
            daemon: self.name.to_string(),
            incarnation: self.incarnation,
            ..Suspect::default()
        };
        let kind = control_request::Kind::Suspect(suspect);
        self.request(now, Requester::Detached, kind, tx);
    }

    /// Applies the convictions in the reply to a heartbeat that was sent at `asked_at`.
    pub(super) fn convict(&mut self, now: Duration, asked_at: Duration, states: &[SuspectState]) {
        for state in states.iter().filter(|s| s.verdict() == Verdict::Convicted) {
            let since = state.since_ms.map(Duration::from_millis);
            let conviction = Conviction {
                expires_at: now + Duration::from_millis(state.expires_ms),
                first_crash_at: since.map(|since| now.saturating_sub(since)),
                retrial: (!state.only_at.is_empty()).then(|| Retrial {
                    daemon: state.only_at.as_str().into(),
                    until: asked_at + RETRIAL_TIME,
                }),
            };
            let known = self.convicted.contains_key(&state.fingerprint);
            if known || self.convicted.len() < MAX_CONVICTED {
                self.convicted.insert(state.fingerprint, conviction);
            }
        }
    }
}

/// Reports the credentials of a configuration if they differ from those before.
fn credentials_in_force(before: &RouteTable, config: &Configuration) -> Option<Effect> {
    let (old, new) = (before.content(), config.routing.content());
    let differs = old.needs_credentials != new.needs_credentials || old.customers != new.customers;
    differs.then(|| {
        Effect::Log(LogLine {
            level: Level::Info,
            event: "credentials_in_force",
            pairs: vec![
                ("version", config.version.to_string()),
                ("routing_version", new.version.to_string()),
                ("needed", new.needs_credentials.to_string()),
                ("customers", new.customers.len().to_string()),
                ("keys", config.routing.keys().to_string()),
            ],
        })
    })
}

/// Reports the rollouts that differ from those before.
fn log_rollouts(
    before: &BTreeMap<ServiceId, Rollout>,
    now: &BTreeMap<ServiceId, Rollout>,
    tx: &mut Vec<Effect>,
) {
    let changed = now
        .iter()
        .filter(|(service, r)| before.get(*service) != Some(r));
    tx.extend(changed.map(|(service, rollout)| {
        Effect::Log(LogLine {
            level: Level::Info,
            event: "rollout_state",
            pairs: vec![
                ("service", service.to_string()),
                ("target_version", rollout.version.clone()),
                ("rollout", rollout.id.to_string()),
                ("step", rollout.step.to_string()),
                ("stage", format!("{:?}", rollout.stage())),
                ("share_ppm", rollout.share_ppm.to_string()),
                ("replaced", rollout.replaced_versions.join(",")),
                ("reason", rollout.reason.clone()),
            ],
        })
    }));
}

/// Reports that the control plane has an older configuration than the one that
/// this daemon reported: the cluster lost committed versions.
fn version_lost(held: ConfigVersion, control: ConfigVersion) -> Effect {
    Effect::Log(LogLine {
        level: Level::Error,
        event: "config_version_lost",
        pairs: vec![("held", held.to_string()), ("control", control.to_string())],
    })
}
