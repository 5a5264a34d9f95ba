//! Single steps of one replica, where the order of inputs is the point.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::{
    DiskDone, DiskOp, HardState, Input, MemoryDisk, Output, Recovered, Replica, ReplicaOptions,
    Role,
};
use std::time::Duration;
use test_case::test_case;
use wire::replica_message::Kind;
use wire::{
    AppendReply, AppendRequest, JoinRequest, LogEntry, Member, Membership, ReplicaMessage,
    SnapshotChunk, VoteReply,
};

const CLUSTER: u64 = 9;

/// Replica 1 of three, on a log of one membership entry and one command of
/// term 1.
struct Single {
    replica: Replica,
    now: Duration,
}

impl Single {
    fn new() -> Self {
        let mut options = ReplicaOptions::new("n1", 1);
        options.election_timeout = Duration::from_millis(200);
        let recovered = Recovered {
            hard_state: Some(HardState {
                id: 1,
                cluster: CLUSTER,
                term: 1,
                vote: 0,
            }),
            entries: vec![membership_entry(), entry(1, 2, "old")],
            ..Recovered::default()
        };
        Self {
            replica: Replica::new(options, recovered, Duration::ZERO),
            now: Duration::ZERO,
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut tx = Vec::new();
        self.replica.step(self.now, input, &mut tx);
        tx
    }

    fn message(&mut self, from: u64, term: u64, kind: Kind) -> Vec<Output> {
        self.input(Input::Message(message(from, 1, term, kind)))
    }

    /// Makes the replica the leader of term 2; returns its unsynced operations.
    fn lead(&mut self) -> Vec<DiskOp> {
        self.now += Duration::from_millis(500);
        self.input(Input::Tick);
        let promised = self.message(2, 2, vote(true));
        let voted = disk_ops(&promised);
        self.done(&voted[0]);
        let elected = self.message(2, 2, vote(false));
        assert_eq!(self.replica.role(), Role::Leader);
        disk_ops(&elected)
    }

    fn done(&mut self, op: &DiskOp) -> Vec<Output> {
        let id = op.id;
        self.input(Input::DiskDone(DiskDone { id, result: Ok(()) }))
    }
}

fn message(from: u64, to: u64, term: u64, kind: Kind) -> ReplicaMessage {
    ReplicaMessage {
        cluster: CLUSTER,
        from,
        to,
        term,
        kind: Some(kind),
        address: format!("n{from}"),
    }
}

fn membership_entry() -> LogEntry {
    let voters = (1..=3).map(|id| Member {
        id,
        address: format!("n{id}"),
    });
    LogEntry {
        membership: Some(Membership {
            voters: voters.collect(),
            learners: Vec::new(),
        }),
        ..entry(1, 1, "")
    }
}

fn entry(term: u64, index: u64, command: &str) -> LogEntry {
    LogEntry {
        term,
        index,
        command: command.to_owned().into(),
        membership: None,
    }
}

fn append(prev: (u64, u64), entries: Vec<LogEntry>) -> Kind {
    Kind::AppendRequest(AppendRequest {
        prev_index: prev.0,
        prev_term: prev.1,
        entries,
        commit: 0,
        round: 1,
    })
}

fn appended(index: u64, round: u64) -> Kind {
    Kind::AppendReply(AppendReply {
        success: true,
        index,
        round,
    })
}

fn vote(pre: bool) -> Kind {
    Kind::VoteReply(VoteReply { pre, granted: true })
}

fn disk_ops(tx: &[Output]) -> Vec<DiskOp> {
    let ops = tx.iter().filter_map(|output| match output {
        Output::Disk(op) => Some(op.clone()),
        _ => None,
    });
    ops.collect()
}

fn kinds(tx: &[Output]) -> Vec<Kind> {
    let kinds = tx.iter().filter_map(|output| match output {
        Output::Send { message, .. } => message.kind.clone(),
        _ => None,
    });
    kinds.collect()
}

fn applied(tx: &[Output]) -> Vec<u64> {
    let indexes = tx.iter().filter_map(|output| match output {
        Output::Apply { index, .. } => Some(*index),
        _ => None,
    });
    indexes.collect()
}

fn ready(tx: &[Output]) -> Vec<u64> {
    let tokens = tx.iter().filter_map(|output| match output {
        Output::ReadReady { token } => Some(*token),
        _ => None,
    });
    tokens.collect()
}

/// Returns the newest confirmation round that was sent.
fn newest_round(tx: &[Output]) -> Option<u64> {
    let rounds = kinds(tx).into_iter().filter_map(|kind| match kind {
        Kind::AppendRequest(req) => Some(req.round),
        _ => None,
    });
    rounds.max()
}

/// Returns the indexes that were said to be synced.
fn acknowledged(tx: &[Output]) -> Vec<u64> {
    let replies = kinds(tx).into_iter().filter_map(|kind| match kind {
        Kind::AppendReply(reply) if reply.success => Some(reply.index),
        _ => None,
    });
    replies.collect()
}

#[test]
fn append_reply_commits_nothing_of_an_earlier_term_alone() {
    let mut single = Single::new();
    let opening = single.lead();
    single.done(&opening[0]);
    assert!(applied(&single.message(2, 2, appended(2, 1))).is_empty());
    assert_eq!(applied(&single.message(2, 2, appended(3, 1))), [2]);
}

#[test]
fn append_reply_commits_nothing_before_own_sync() {
    let mut single = Single::new();
    let opening = single.lead();
    assert!(applied(&single.message(2, 2, appended(3, 1))).is_empty());
    assert_eq!(applied(&single.done(&opening[0])), [2]);
}

/// An answer to a round that was on its way when a read came in says nothing
/// of who leads since then.
#[test]
fn read_waits_for_a_round_of_its_own() {
    let mut single = Single::new();
    let opening = single.lead();
    single.done(&opening[0]);
    single.message(2, 2, appended(3, 1));

    let first = newest_round(&single.input(Input::Read { token: 1 })).unwrap();
    assert_eq!(newest_round(&single.input(Input::Read { token: 2 })), None);
    assert_eq!(newest_round(&single.input(Input::Read { token: 3 })), None);
    let answered = single.message(2, 2, appended(3, first));
    assert_eq!(ready(&answered), [1]);
    let second = newest_round(&answered).unwrap();
    assert!(second > first);
    let answered = single.message(3, 2, appended(3, second));
    assert_eq!(ready(&answered), [2, 3]);
}

#[test]
fn vote_request_answered_after_sync() {
    let mut single = Single::new();
    let req = wire::VoteRequest {
        pre: false,
        last_index: 2,
        last_term: 1,
    };
    let tx = single.message(2, 2, Kind::VoteRequest(req));
    assert!(kinds(&tx).is_empty());
    let ops = disk_ops(&tx);
    assert!(kinds(&single.done(&ops[0])).is_empty());
    let sent = kinds(&single.done(&ops[1]));
    assert_eq!(sent, [vote(false)]);
}

#[test]
fn disk_done_for_replaced_entries_acknowledges_nothing() {
    let mut single = Single::new();
    let first = single.message(2, 2, append((2, 1), vec![entry(2, 3, "a")]));
    let second = single.message(3, 3, append((2, 1), vec![entry(3, 3, "b")]));
    let ops: Vec<DiskOp> = [disk_ops(&first), disk_ops(&second)].concat();
    let (last, before) = ops.split_last().unwrap();
    for op in before {
        let indexes = acknowledged(&single.done(op));
        assert!(indexes.iter().all(|i| *i <= 2), "{indexes:?}");
    }
    assert_eq!(acknowledged(&single.done(last)), [3]);
}

#[test]
fn snapshot_chunk_answered_after_sync() {
    let mut single = Single::new();
    let mut chunk = SnapshotChunk {
        index: 10,
        index_term: 1,
        membership: membership_entry().membership,
        offset: 0,
        bytes: "state".into(),
        last: true,
        crc: 1,
    };
    let is_done = |tx: &[Output]| {
        let mut kinds = kinds(tx).into_iter();
        kinds.any(|k| matches!(k, Kind::SnapshotReply(reply) if reply.done))
    };
    let broken = single.message(2, 2, Kind::SnapshotChunk(chunk.clone()));
    single.done(&disk_ops(&broken)[0]);
    assert_eq!(single.replica.applied_index(), 0);

    chunk.crc = crc32fast::hash(b"state");
    let whole = single.message(2, 2, Kind::SnapshotChunk(chunk));
    assert!(!is_done(&whole));
    assert!(is_done(&single.done(&disk_ops(&whole)[0])));
    assert_eq!(single.replica.applied_index(), 10);
}

/// Runs an input and all that the disk completes at once.
fn settle(replica: &mut Replica, disk: &mut MemoryDisk, at_ms: u64, input: Input) -> Vec<Output> {
    let mut inputs = vec![input];
    let mut all = Vec::new();
    while let Some(input) = inputs.pop() {
        let mut tx = Vec::new();
        replica.step(Duration::from_millis(at_ms), input, &mut tx);
        for output in tx {
            match output {
                Output::Disk(op) => inputs.insert(0, Input::DiskDone(disk.perform(op))),
                other => all.push(other),
            }
        }
    }
    all
}

fn empty_replica() -> Replica {
    let options = ReplicaOptions::new("n1", 1);
    Replica::new(options, Recovered::default(), Duration::ZERO)
}

#[test]
fn initialise_founds_a_cluster_of_one() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    settle(&mut replica, &mut disk, 0, Input::Initialise);
    settle(&mut replica, &mut disk, 10, Input::Tick);
    assert_eq!(replica.role(), Role::Leader);

    let command = "a".into();
    let proposed = Input::Propose { token: 1, command };
    let tx = settle(&mut replica, &mut disk, 20, proposed);
    assert_eq!(applied(&tx), [3]);
    let tx = settle(&mut replica, &mut disk, 30, Input::Read { token: 2 });
    assert_eq!(ready(&tx), [2]);
}

#[test]
fn initialise_ignored_beside_a_cluster() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    let reply = Kind::JoinReply(wire::JoinReply::default());
    let heard = Input::Message(message(2, replica.id(), 1, reply));
    settle(&mut replica, &mut disk, 0, heard);
    settle(&mut replica, &mut disk, 10, Input::Initialise);
    settle(&mut replica, &mut disk, 20, Input::Tick);
    assert_eq!(replica.role(), Role::Empty);
}

/// A few long commands are compacted as well.
#[test]
fn snapshot_asked_for_by_bytes() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    settle(&mut replica, &mut disk, 0, Input::Initialise);
    settle(&mut replica, &mut disk, 10, Input::Tick);
    let mut asked = Vec::new();
    for token in 0..20 {
        let command = vec![1; 4 * 1024 * 1024].into();
        let tx = settle(
            &mut replica,
            &mut disk,
            20,
            Input::Propose { token, command },
        );
        for output in tx {
            if let Output::TakeSnapshot { index } = output {
                asked.push(index);
                let state = "state".into();
                let taken = Input::SnapshotTaken { index, state };
                settle(&mut replica, &mut disk, 20, taken);
            }
        }
    }
    assert_eq!(asked, [10, 18]);
    assert!(disk.recover().entries.len() <= 8);
}

#[test_case(CLUSTER + 1, 1; "of another cluster")]
#[test_case(CLUSTER, 7; "to another replica")]
#[test_case(0, 1; "without a cluster")]
fn message_ignored(cluster: u64, to: u64) {
    let mut single = Single::new();
    single.input(Input::Tick);
    let kind = append((2, 1), vec![entry(5, 3, "a")]);
    let mut stray = message(2, to, 5, kind);
    stray.cluster = cluster;
    assert!(single.input(Input::Message(stray)).is_empty());
    assert_eq!(single.replica.term(), 1);
}

#[test_case(0, false; "while its voter answers")]
#[test_case(150, false; "shortly after")]
#[test_case(450, true; "when its voter is lost")]
fn join_request_for_a_voters_address(silent_ms: u64, admitted: bool) {
    let mut single = Single::new();
    let opening = single.lead();
    single.done(&opening[0]);
    single.message(3, 2, appended(3, 1));
    let mut round = 1;
    for _ in 0..silent_ms / 50 {
        single.now += Duration::from_millis(50);
        single.input(Input::Tick);
        round += 1;
        single.message(2, 2, appended(3, round / 2));
    }
    let req = JoinRequest {
        address: "n3".to_owned(),
    };
    single.message(77, 0, Kind::JoinRequest(req));
    let learners = single.replica.membership().learners;
    assert_eq!(learners.iter().any(|l| l.id == 77), admitted);
}
