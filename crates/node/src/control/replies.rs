//! Replies of the control role to other daemons.

use super::Control;
use super::batch::Waiter;
use super::command::Item;
use super::reads::PendingRead;
use crate::effect::Effect;
use crate::event::LinkId;
use bytes::Bytes;
use conf::Configuration;
use prost::Message;
use std::time::Duration;
use wire::{
    Body, ChangeRequest, ConfigDelta, ControlReply, Heartbeat, HeartbeatReply, HistoryReply,
    ReplicaAddress, StatusReply, control_reply, control_request,
};

/// Maximum encoded size of a change in the log, well below the maximum frame
/// size.
const MAX_CHANGE_BYTES: usize = 5 * 1024 * 1024;

/// Sends the reply to a control request.
pub(super) fn reply(
    waiter: Waiter,
    leader: bool,
    leader_address: String,
    kind: Option<control_reply::Kind>,
    tx: &mut Vec<Effect>,
) {
    let reply = ControlReply {
        id: waiter.id,
        leader,
        leader_address,
        kind,
    };
    tx.push(Effect::Reply {
        link: waiter.link,
        body: Body::ControlReply(reply),
    });
}

impl Control {
    /// Handles the reads of a confirmed round.
    pub(super) fn read_ready(&mut self, now: Duration, token: u64, tx: &mut Vec<Effect>) {
        for read in self.reads.finish(token) {
            match read {
                PendingRead::Heartbeat(link, heartbeat) => {
                    let body = Body::HeartbeatReply(self.heartbeat_reply(now, link, &heartbeat));
                    tx.push(Effect::Reply { link, body });
                }
                PendingRead::Request(waiter, kind) => self.confirmed_request(waiter, kind, tx),
            }
        }
    }

    /// Replies that this replica does not lead or cannot confirm that it does.
    pub(super) fn reply_not_leader(&self, read: &PendingRead, tx: &mut Vec<Effect>) {
        match read {
            PendingRead::Heartbeat(link, heartbeat) => {
                let reply = HeartbeatReply {
                    sequence: heartbeat.sequence,
                    confirmed: false,
                    leader: self.leader_hint(),
                    replicas: self.replica_addresses(),
                    ..HeartbeatReply::default()
                };
                tx.push(Effect::Reply {
                    link: *link,
                    body: Body::HeartbeatReply(reply),
                });
            }
            PendingRead::Request(waiter, _) => reply(*waiter, false, self.leader_hint(), None, tx),
        }
    }

    /// Queues an item for the log. If the queue is full, replies without a
    /// result, upon which the daemon resends the request.
    pub(super) fn queue(&mut self, waiter: Waiter, item: Item, tx: &mut Vec<Effect>) {
        if !self.batch.push(waiter, item) {
            reply(waiter, true, String::new(), None, tx);
        }
    }

    fn confirmed_request(
        &mut self,
        waiter: Waiter,
        kind: control_request::Kind,
        tx: &mut Vec<Effect>,
    ) {
        let reply_kind = match kind {
            control_request::Kind::Change(request) => {
                self.change(waiter, &request, tx);
                return;
            }
            control_request::Kind::Status(_) => control_reply::Kind::Status(self.status()),
            control_request::Kind::ReadRouting(request) => {
                let routing = self.config().routing.content();
                control_reply::Kind::Routing(match request.with_keys {
                    true => routing.clone(),
                    false => conf::routing_without_keys(routing),
                })
            }
            control_request::Kind::History(request) => {
                let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
                control_reply::Kind::History(HistoryReply {
                    entries: self.state_machine.config.history(limit),
                    plans: self.config().plans_text.clone().into(),
                })
            }
            control_request::Kind::ReadRollout(query) => {
                control_reply::Kind::Rollout(self.state_machine.config.rollout(&query.service))
            }
            control_request::Kind::Claim(_)
            | control_request::Kind::Settle(_)
            | control_request::Kind::Suspect(_)
            | control_request::Kind::Routing(_)
            | control_request::Kind::DataCentre(_)
            | control_request::Kind::StartRollout(_) => return,
        };
        reply(waiter, true, String::new(), Some(reply_kind), tx);
    }

    /// Queues a change, or returns the earlier outcome if its id is known.
    fn change(&mut self, waiter: Waiter, request: &ChangeRequest, tx: &mut Vec<Effect>) {
        let mut command = conf::prepare_change(self.config(), request, self.unix_ms);
        if let Some(earlier) = self.state_machine.config.earlier_outcome(&command) {
            let kind = Some(control_reply::Kind::Change(earlier));
            reply(waiter, true, String::new(), kind, tx);
            return;
        }
        if command.encoded_len() > MAX_CHANGE_BYTES {
            command.customers.clear();
            command.plans = None;
            command.findings = vec![format!(
                "the change has over {MAX_CHANGE_BYTES} bytes; make it in parts"
            )];
        }
        self.queue(waiter, Item::change(command), tx);
    }

    /// Returns the configuration page that a daemon lacks, plain or compressed, unless it
    /// is on its way already.
    fn config_page(&mut self, link: LinkId, heartbeat: &Heartbeat) -> (Option<ConfigDelta>, Bytes) {
        if self.pages_in_transit.contains(link, heartbeat.received) {
            return (None, Bytes::new());
        }
        let config = &self.state_machine.config;
        let (held, page) = (heartbeat.config_version, heartbeat.config_page);
        if heartbeat.supports_compressed_config
            && let Some(compressed) = self.transfers.compressed_page(config, held, page)
        {
            self.pages_in_transit.record(link, heartbeat.sequence);
            return (None, compressed);
        }
        let supports_changes = heartbeat.supports_routing_changes;
        let page = self.transfers.page(config, held, page, supports_changes);
        if page.is_some() {
            self.pages_in_transit.record(link, heartbeat.sequence);
        }
        (page, Bytes::new())
    }

    /// Returns the confirmed reply to a heartbeat, with the updates that the
    /// daemon lacks.
    fn heartbeat_reply(
        &mut self,
        now: Duration,
        link: LinkId,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        let (page, compressed_config) = self.config_page(link, heartbeat);
        let config = &self.state_machine.config;
        self.registry
            .record_limits(|| states_limits(config.current()));
        let subscriptions = heartbeat.subscriptions.iter();
        let deregistered = self.registry.deregistered_start(&heartbeat.daemon);
        let deregistered = deregistered.unwrap_or_default();
        HeartbeatReply {
            sequence: heartbeat.sequence,
            confirmed: true,
            leader: String::new(),
            replicas: self.replica_addresses(),
            config_version: config.current().version,
            config: page,
            compressed_config,
            services: subscriptions
                .filter_map(|s| self.registry.delta(now, s))
                .collect(),
            homes: self.registry.homes(now, heartbeat.homes_hash),
            initial_homes: self.registry.has_initial_homes(&heartbeat.daemon),
            convicted: self.suspects.published(now),
            term: self.replica.term(),
            deregistered_boot: deregistered.boot,
            deregistered_target: deregistered.target,
            deregistered_incarnation: deregistered.incarnation,
            leave_pending: self.is_leave_pending(heartbeat),
        }
    }

    fn replica_addresses(&self) -> Vec<ReplicaAddress> {
        let membership = self.replica.membership();
        let voters = membership.voters.into_iter();
        voters
            .map(|member| ReplicaAddress {
                address: member.address,
            })
            .collect()
    }

    fn status(&self) -> StatusReply {
        let config = self.config();
        let names = |names: &std::collections::BTreeSet<compact_str::CompactString>| {
            names.iter().map(ToString::to_string).collect()
        };
        let lagging = self.replica.lagging_voters().into_iter();
        StatusReply {
            lagging_voters: lagging.map(|member| member.address).collect(),
            config_version: config.version,
            term: self.replica.term(),
            leader: self.replica.id(),
            membership: Some(self.replica.membership()),
            services: self.registry.services(),
            out_data_centres: names(&config.out_data_centres),
            out_upstreams: names(&config.out_upstreams),
            daemons: self.registry.daemon_count() as u64,
            lowest_version: self.registry.lowest_version().unwrap_or_default(),
            claims: self.state_machine.claims.len() as u64,
            customers: config.customers.len() as u64,
            rollouts: config.rollouts.values().cloned().collect(),
        }
    }
}

/// Returns whether a configuration limits any customer.
fn states_limits(config: &Configuration) -> bool {
    let routed = &config.routing.content().customers;
    !config.customers.is_empty() || routed.iter().any(|rules| rules.rate_milli > 0)
}
