//! A confirmed leader's news: configuration, services, homes, convictions.

use super::Agent;
use super::heartbeats::Sent;
use crate::effect::{Effect, LogLine};
use conf::PageOutcome;
use log::Level;
use std::time::Duration;
use wire::{ConfigDelta, ConfigVersion, HeartbeatReply, SuspectState, Term, Verdict};

/// Convictions kept at most.
const MAX_CONVICTED: usize = 1_024;

impl Agent {
    /// Applies a confirmed answer. Word is fresh only once the configuration
    /// that it speaks of is in force here.
    pub(super) fn news(
        &mut self,
        now: Duration,
        sent: &Sent,
        reply: HeartbeatReply,
        tx: &mut Vec<Effect>,
    ) {
        if let Some(delta) = reply.config {
            self.configure(reply.term, delta, tx);
        }
        for delta in &reply.services {
            self.view.apply(delta);
        }
        if reply.term >= self.term {
            self.term = reply.term;
            self.convict(now, &reply.convicted);
            if !reply.homes.is_empty() {
                self.homes = reply.homes;
            }
        }
        if reply.config_version < sent.config_version {
            tx.push(version_lost(sent.config_version, reply.config_version));
        } else if self.config.version >= reply.config_version {
            self.freshness.confirm(sent.at);
        }
    }

    fn configure(&mut self, term: Term, delta: ConfigDelta, tx: &mut Vec<Effect>) {
        match self.receiver.receive_page(&mut self.config, term, delta) {
            Ok(PageOutcome::Applied) => {
                self.subscribe_routed();
                self.heartbeats.hurry();
                tx.push(Effect::Log(LogLine {
                    level: Level::Info,
                    event: "config_in_force",
                    pairs: vec![("version", self.config.version.to_string())],
                }));
            }
            Ok(PageOutcome::Incomplete) => self.heartbeats.hurry(),
            Ok(PageOutcome::Ignored) => {}
            Err(findings) => tx.push(Effect::Log(LogLine {
                level: Level::Error,
                event: "config_unreadable",
                pairs: vec![("findings", findings.lines().join("; "))],
            })),
        }
    }

    /// Subscribes to the services that routes lead to, so that the first
    /// request of each finds its upstreams known.
    fn subscribe_routed(&mut self) {
        let routing = self.config.routing.clone();
        for service in routing.routed_services() {
            self.view.subscribe(self.clock, service);
        }
    }

    pub(super) fn convict(&mut self, now: Duration, states: &[SuspectState]) {
        for state in states.iter().filter(|s| s.verdict() == Verdict::Convicted) {
            let expires = now + Duration::from_millis(state.expires_ms);
            if self.convicted.len() < MAX_CONVICTED {
                self.convicted.insert(state.fingerprint, expires);
            }
        }
    }
}

/// Control knows less than this daemon told it: the cluster was lost.
fn version_lost(held: ConfigVersion, control: ConfigVersion) -> Effect {
    Effect::Log(LogLine {
        level: Level::Error,
        event: "config_version_lost",
        pairs: vec![("held", held.to_string()), ("control", control.to_string())],
    })
}
