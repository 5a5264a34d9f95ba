//! Tests of the agent alone: freshness, retries and reconnects.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use conf::{DaemonSettings, ListenSettings, Settings};
use node::Effect;
use node::agent::{Agent, CONTROL_TIMEOUT, RequestResult, Requester};
use std::net::SocketAddr;
use std::time::Duration;
use wire::{
    Announcement, Body, ClaimRequest, ConfigDelta, ControlReply, Heartbeat, HeartbeatReply,
    LinkKind, SettleKind, Suspect, SuspectState, Verdict, control_request,
};

const LEASE: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn agent(incarnation: u64) -> Agent {
    let listen = ListenSettings {
        callers: Some(address(7100)),
        operators: address(7200),
        peers: address(7300),
    };
    let daemon = DaemonSettings {
        name: "booking-1".into(),
        data_centre: "ams".into(),
    };
    let mut settings = Settings::new(daemon, listen, address(8000));
    settings.control.replicas = vec![address(1), address(2), address(3)];
    Agent::new(&settings, incarnation)
}

/// Ticks the agent; returns the messages that it sent and the requests that
/// timed out.
fn tick(agent: &mut Agent, at: Duration) -> (Vec<(String, Body)>, Vec<RequestResult>) {
    let mut tx = Vec::new();
    let expired = agent.tick(at, &mut tx);
    let sent = tx.into_iter().filter_map(|effect| match effect {
        Effect::Send { address, body, .. } => Some((address.to_string(), body)),
        _ => None,
    });
    (sent.collect(), expired)
}

/// Ticks until a heartbeat is sent; returns the time, the address and the
/// heartbeat.
fn next_heartbeat(agent: &mut Agent, from: Duration) -> (Duration, String, Heartbeat) {
    for step in 0..1_000 {
        let at = from + ms(step * 5);
        for (address, body) in tick(agent, at).0 {
            if let Body::Heartbeat(heartbeat) = body {
                return (at, address, heartbeat);
            }
        }
    }
    panic!("no heartbeat within 5 s");
}

fn confirmed(sequence: u64, config_version: u64, config: Option<ConfigDelta>) -> HeartbeatReply {
    HeartbeatReply {
        sequence,
        confirmed: true,
        config_version,
        config,
        term: 1,
        ..HeartbeatReply::default()
    }
}

fn full_config(to: u64) -> Option<ConfigDelta> {
    Some(ConfigDelta {
        to,
        plans: Some(String::new()),
        last: true,
        ..ConfigDelta::default()
    })
}

/// Returns an agent with version 1, confirmed by a heartbeat sent at time 0.
fn confirmed_agent() -> Agent {
    let mut agent = agent(1);
    let (_, _, heartbeat) = next_heartbeat(&mut agent, ms(0));
    let reply = confirmed(heartbeat.sequence, 1, full_config(1));
    agent.heartbeat_reply(ms(0), reply, &mut Vec::new());
    agent
}

#[test]
fn is_fresh_counts_from_when_the_heartbeat_was_sent() {
    let mut agent = agent(1);
    let (sent, _, heartbeat) = next_heartbeat(&mut agent, ms(100));
    let reply = confirmed(heartbeat.sequence, 1, full_config(1));
    agent.heartbeat_reply(sent + ms(3_900), reply, &mut Vec::new());
    assert!(agent.may_serve(sent + ms(3_999)));
    assert!(!agent.may_serve(sent + LEASE));
    assert_eq!(agent.freshness_age(sent + ms(50)), Some(ms(50)));
}

#[test]
fn is_fresh_only_once_the_version_is_in_force() {
    let mut agent = confirmed_agent();
    let (sent, _, heartbeat) = next_heartbeat(&mut agent, ms(3_000));
    let first_page = ConfigDelta {
        to: 2,
        page: 1,
        ..ConfigDelta::default()
    };
    let reply = confirmed(heartbeat.sequence, 2, Some(first_page));
    agent.heartbeat_reply(sent, reply, &mut Vec::new());
    assert_eq!(agent.config.version, 1);
    assert!(!agent.may_serve(LEASE));
    // The next page is requested immediately.
    let (at, _, heartbeat) = next_heartbeat(&mut agent, sent);
    assert_eq!((at, heartbeat.config_page), (sent + ms(20), 2));
}

/// Guards against a configuration that is never in force because its transfer takes longer
/// than the lease: each reply was ignored as a whole.
#[test]
fn config_of_reply_slower_than_the_lease_is_in_force_and_not_fresh() {
    let mut agent = confirmed_agent();
    let (sent, _, slow) = next_heartbeat(&mut agent, ms(3_000));
    let mut at = sent;
    while at < sent + LEASE {
        (at, _, _) = next_heartbeat(&mut agent, at + ms(5));
    }
    let reply = confirmed(slow.sequence, 2, full_config(2));
    agent.heartbeat_reply(at, reply, &mut Vec::new());
    assert_eq!(agent.config.version, 2);
    assert!(!agent.may_serve(at));
}

#[test]
fn is_not_fresh_after_control_lost_versions() {
    let mut agent = confirmed_agent();
    let (sent, _, heartbeat) = next_heartbeat(&mut agent, ms(3_000));
    let reply = confirmed(heartbeat.sequence, 0, None);
    agent.heartbeat_reply(sent, reply, &mut Vec::new());
    assert!(!agent.may_serve(LEASE));
    assert_eq!(agent.config.version, 1);
}

#[test]
fn is_not_fresh_by_unconfirmed_or_duplicate_reply() {
    let mut agent = confirmed_agent();
    let (sent, _, heartbeat) = next_heartbeat(&mut agent, ms(3_000));
    let unconfirmed = HeartbeatReply {
        confirmed: false,
        ..confirmed(heartbeat.sequence, 1, None)
    };
    agent.heartbeat_reply(sent, unconfirmed, &mut Vec::new());
    let duplicate = confirmed(heartbeat.sequence, 1, None);
    agent.heartbeat_reply(sent, duplicate, &mut Vec::new());
    assert!(!agent.may_serve(LEASE));
}

/// Guards against a daemon that loses control without a trace in its log.
#[test]
fn tick_reports_once_that_control_is_lost_and_regained() {
    let mut agent = confirmed_agent();
    let mut events = Vec::new();
    let mut last = None;
    for n in 0..200 {
        let mut tx = Vec::new();
        agent.tick(ms(n * 20), &mut tx);
        for effect in tx {
            match effect {
                Effect::Log(line) => events.push((ms(n * 20), line)),
                Effect::Send {
                    body: Body::Heartbeat(heartbeat),
                    ..
                } => last = Some(heartbeat.sequence),
                _ => {}
            }
        }
    }
    let [(at, line)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!((*at, line.event), (ms(2_000), "control_lost"));
    assert!(line.pairs.contains(&("confirmed_ms", "2000".to_owned())));
    let reply = confirmed(last.unwrap(), 1, None);
    let mut tx = Vec::new();
    agent.heartbeat_reply(ms(4_000), reply, &mut tx);
    let regained = tx.iter().any(|effect| {
        matches!(effect, Effect::Log(line) if line.event == "control_regained"
            && line.pairs.contains(&("unconfirmed_ms", "4000".to_owned())))
    });
    assert!(regained, "{tx:?}");
    assert_eq!(agent.config_basis(ms(4_000)).version, 1);
}

#[test]
fn announce_is_sent_immediately_but_at_minimum_interval() {
    let mut agent = confirmed_agent();
    for slots in 1..4 {
        agent.announce(Announcement {
            service: "booking".to_owned(),
            slots,
            boot: "b".to_owned(),
            leaving: false,
            ..Announcement::default()
        });
        let last = ms(u64::from(slots - 1) * 20);
        let (at, _, heartbeat) = next_heartbeat(&mut agent, last);
        assert_eq!(at, last + ms(20));
        assert_eq!(heartbeat.upstream.expect("an announcement").slots, slots);
    }
}

#[test]
fn heartbeat_follows_the_leader_and_leaves_silent_replica() {
    let mut agent = agent(1);
    let (sent, first, heartbeat) = next_heartbeat(&mut agent, ms(0));
    let redirect = HeartbeatReply {
        sequence: heartbeat.sequence,
        leader: "127.0.0.1:3".to_owned(),
        ..HeartbeatReply::default()
    };
    agent.heartbeat_reply(sent, redirect, &mut Vec::new());
    let (sent, second, _) = next_heartbeat(&mut agent, sent);
    assert_eq!(
        (first.as_str(), second.as_str()),
        ("127.0.0.1:1", "127.0.0.1:3")
    );
    // Without a reply within half an interval, it tries the next replica.
    let (at, third, _) = next_heartbeat(&mut agent, sent + ms(5));
    assert_eq!(third, "127.0.0.1:1");
    assert!(at >= sent + ms(500) && at <= sent + ms(760), "{at:?}");
}

/// After a power cut the replicas start at different times. A daemon must retry
/// a replica that is up but knows no leader instead of trying others that may
/// be down. After four such replies it tries another one, since the first may
/// be partitioned.
#[test]
fn heartbeat_retries_replica_without_leader_before_switching() {
    const HELD: Duration = Duration::from_millis(100);
    let mut agent = agent(1);
    let mut at = ms(0);
    let mut targets = Vec::new();
    for _ in 0..5 {
        let (sent, address, heartbeat) = next_heartbeat(&mut agent, at);
        targets.push(address);
        let no_leader = HeartbeatReply {
            sequence: heartbeat.sequence,
            ..HeartbeatReply::default()
        };
        let soon = targets.len() == 5 || sent < at + ms(50);
        assert!(soon, "retried after {:?}", sent - at);
        at = sent + HELD;
        agent.heartbeat_reply(at, no_leader, &mut Vec::new());
    }
    assert!(targets[..4].iter().all(|a| *a == targets[0]), "{targets:?}");
    assert_ne!(targets[4], targets[0]);
}

#[test]
fn heartbeat_does_not_follow_hint_to_failed_leader() {
    let mut agent = confirmed_agent();
    let (_, first, _) = next_heartbeat(&mut agent, ms(1_000));
    agent.link_failed(ms(1_000), &first, LinkKind::Control);
    let (sent, second, heartbeat) = next_heartbeat(&mut agent, ms(1_000));
    let hint = HeartbeatReply {
        sequence: heartbeat.sequence,
        leader: first.clone(),
        ..HeartbeatReply::default()
    };
    agent.heartbeat_reply(sent, hint, &mut Vec::new());
    let (_, third, _) = next_heartbeat(&mut agent, sent);
    let tried = [first.as_str(), second.as_str(), third.as_str()];
    assert_eq!(tried, ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]);
}

#[test]
fn link_failed_spreads_reconnects() {
    const AGENTS: u64 = 500;
    let mut at = Vec::new();
    for n in 0..AGENTS {
        let mut agent = agent(n);
        let (sent, target, heartbeat) = next_heartbeat(&mut agent, ms(0));
        let reply = confirmed(heartbeat.sequence, 1, full_config(1));
        agent.heartbeat_reply(sent, reply, &mut Vec::new());
        agent.link_failed(ms(100), &target, LinkKind::Control);
        at.push(next_heartbeat(&mut agent, ms(100)).0);
    }
    let buckets = (0..15).map(|b| ms(100 + b * 20)..ms(120 + b * 20));
    let most = buckets
        .map(|b| at.iter().filter(|t| b.contains(t)).count())
        .max();
    assert!(most < Some(AGENTS as usize / 8), "{most:?} in 20 ms");
}

#[test]
fn request_is_resent_to_new_leader_with_same_id() {
    let mut agent = confirmed_agent();
    let mut tx = Vec::new();
    let claim = control_request::Kind::Claim(ClaimRequest {
        nonce: 9,
        ..ClaimRequest::default()
    });
    agent.request(ms(10), Requester::Claim(5), claim, &mut tx);
    let Some(Effect::Send {
        body: Body::ControlRequest(first),
        ..
    }) = tx.pop()
    else {
        panic!("not sent");
    };
    let unknown = ControlReply {
        id: first.id,
        leader: true,
        leader_address: "127.0.0.1:2".to_owned(),
        kind: None,
    };
    assert!(agent.control_reply(ms(20), unknown, &mut tx).is_empty());
    let again = (0..200).find_map(|n| {
        let sent = tick(&mut agent, ms(20 + n)).0;
        sent.into_iter().find_map(|(address, body)| match body {
            Body::ControlRequest(request) => Some((address, request)),
            _ => None,
        })
    });
    assert_eq!(again, Some(("127.0.0.1:2".to_owned(), first)));
}

#[test]
fn timed_out_claim_is_released_by_its_nonce() {
    let mut agent = confirmed_agent();
    let claim = control_request::Kind::Claim(ClaimRequest {
        key: "k".to_owned(),
        nonce: 9,
        ..ClaimRequest::default()
    });
    agent.request(ms(0), Requester::Claim(5), claim, &mut Vec::new());
    let (sent, expired) = tick(&mut agent, CONTROL_TIMEOUT);
    assert_eq!(expired.len(), 1);
    assert!(expired[0].reply.is_none());
    let settle = sent.into_iter().find_map(|(_, body)| match body {
        Body::ControlRequest(request) => match request.kind {
            Some(control_request::Kind::Settle(settle)) => Some(settle),
            _ => None,
        },
        _ => None,
    });
    let settle = settle.expect("a settlement");
    assert_eq!(
        (settle.claim, settle.nonce, settle.kind()),
        (0, 9, SettleKind::Released)
    );
}

#[test]
fn convicted_holds_until_it_expires() {
    let mut agent = confirmed_agent();
    let state = SuspectState {
        fingerprint: 7,
        verdict: Verdict::Convicted as i32,
        expires_ms: 1_000,
        ..SuspectState::default()
    };
    let suspect = Suspect {
        service: "booking".to_owned(),
        states: vec![state],
        ..Suspect::default()
    };
    let kind = control_request::Kind::Suspect(suspect);
    agent.request(ms(0), Requester::Detached, kind, &mut Vec::new());
    assert!(agent.convicted(7));
    assert!(!agent.convicted(8));
    tick(&mut agent, ms(1_000));
    assert!(!agent.convicted(7));
}

/// Guards against a conviction that ends early at daemons that hold many: its later
/// expiry was ignored when the list was full.
#[test]
fn conviction_is_extended_when_the_list_is_full() {
    let mut agent = confirmed_agent();
    let convict = |agent: &mut Agent, fingerprints: std::ops::Range<u64>, expires_ms| {
        let states = fingerprints.map(|fingerprint| SuspectState {
            fingerprint,
            verdict: Verdict::Convicted as i32,
            expires_ms,
            ..SuspectState::default()
        });
        let suspect = Suspect {
            states: states.collect(),
            ..Suspect::default()
        };
        let kind = control_request::Kind::Suspect(suspect);
        agent.request(ms(0), Requester::Detached, kind, &mut Vec::new());
    };
    convict(&mut agent, 0..2_000, 1_000);
    convict(&mut agent, 7..8, 5_000);
    tick(&mut agent, ms(2_000));
    assert!(agent.convicted(7));
}

/// Guards against reports to a new leader that grow with what a daemon holds.
#[test]
fn convictions_reported_to_a_new_leader_are_limited() {
    let mut agent = confirmed_agent();
    let states = (0..200).map(|fingerprint| SuspectState {
        fingerprint,
        verdict: Verdict::Convicted as i32,
        expires_ms: 60_000,
        ..SuspectState::default()
    });
    let suspect = Suspect {
        states: states.collect(),
        ..Suspect::default()
    };
    let kind = control_request::Kind::Suspect(suspect);
    agent.request(ms(0), Requester::Detached, kind, &mut Vec::new());
    let (_, _, heartbeat) = next_heartbeat(&mut agent, ms(2_000));
    let reply = HeartbeatReply {
        term: 9,
        ..confirmed(heartbeat.sequence, 1, None)
    };
    let mut tx = Vec::new();
    agent.heartbeat_reply(ms(2_010), reply, &mut tx);
    let reported = tx.iter().find_map(|effect| match effect {
        Effect::Send {
            body: Body::ControlRequest(request),
            ..
        } => match &request.kind {
            Some(control_request::Kind::Suspect(suspect)) if request.id > 1 => {
                Some(suspect.states.len())
            }
            _ => None,
        },
        _ => None,
    });
    assert_eq!(reported, Some(64));
}
