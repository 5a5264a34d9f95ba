//! Tests of single steps of one replica that depend on the order of inputs.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use replica::{
    DiskDone, DiskOp, DiskWrite, HardState, Input, MemoryDisk, Output, Recovered, Replica,
    ReplicaOptions, Role,
};
use std::time::Duration;
use test_case::test_case;
use wire::replica_message::Kind;
use wire::{
    AppendReply, AppendRequest, JoinRequest, LogEntry, Member, Membership, ReplicaMessage,
    SnapshotChunk, VoteReply,
};

const CLUSTER: u64 = 9;

/// Replica 1 of three, whose log has a membership entry and a command of term
/// 1.
struct SingleReplica {
    replica: Replica,
    now: Duration,
}

impl SingleReplica {
    /// Starts the replica and syncs what it has recovered.
    fn new() -> Self {
        let (mut single, recovered) = Self::started();
        single.done(&recovered);
        single
    }

    /// Starts the replica; returns the sync of what it has recovered.
    fn started() -> (Self, DiskOp) {
        let mut single = Self::stopped();
        let ops = disk_ops(&single.input(Input::Tick));
        assert_eq!(ops[0].write, DiskWrite::Recovered);
        (single, ops[0].clone())
    }

    fn stopped() -> Self {
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
    fn become_leader(&mut self) -> Vec<DiskOp> {
        self.now += Duration::from_millis(500);
        self.input(Input::Tick);
        let pre_vote = self.message(2, 2, vote(true));
        let voted = disk_ops(&pre_vote);
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
            outgoing: Vec::new(),
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

fn vote_request(pre: bool) -> Kind {
    Kind::VoteRequest(wire::VoteRequest {
        pre,
        last_index: 2,
        last_term: 1,
        leadership_transfer: false,
    })
}

fn appended(index: u64, round: u64) -> Kind {
    Kind::AppendReply(AppendReply {
        success: true,
        index,
        round,
    })
}

fn rejected(index: u64, round: u64) -> Kind {
    Kind::AppendReply(AppendReply {
        success: false,
        index,
        round,
    })
}

fn vote(pre: bool) -> Kind {
    Kind::VoteReply(VoteReply {
        pre,
        granted: true,
        leader: String::new(),
    })
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

/// Returns the previous index and the indexes of the entries of each append that has any.
fn sent_after(tx: &[Output]) -> Vec<(u64, Vec<u64>)> {
    let appends = kinds(tx).into_iter().filter_map(|kind| match kind {
        Kind::AppendRequest(req) if !req.entries.is_empty() => Some((
            req.prev_index,
            req.entries.iter().map(|e| e.index).collect(),
        )),
        _ => None,
    });
    appends.collect()
}

/// Returns the newest heartbeat round that was sent.
fn newest_round(tx: &[Output]) -> Option<u64> {
    let rounds = kinds(tx).into_iter().filter_map(|kind| match kind {
        Kind::AppendRequest(req) => Some(req.round),
        _ => None,
    });
    rounds.max()
}

/// Returns the indexes that were acknowledged as synced.
fn acknowledged(tx: &[Output]) -> Vec<u64> {
    let replies = kinds(tx).into_iter().filter_map(|kind| match kind {
        Kind::AppendReply(reply) if reply.success => Some(reply.index),
        _ => None,
    });
    replies.collect()
}

#[test]
fn append_reply_commits_no_earlier_term_on_its_own() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.done(&append_ops[0]);
    assert!(applied(&single.message(2, 2, appended(2, 1))).is_empty());
    assert_eq!(applied(&single.message(2, 2, appended(3, 1))), [2]);
}

/// Guards against a follower that receives nothing more until the next election: it has
/// lost entries that it had acknowledged, and was only sent what follows them.
#[test]
fn append_rejection_below_acknowledged_index_resends_lost_entries() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.done(&append_ops[0]);
    single.message(2, 2, appended(3, 1));
    let resent = single.message(2, 2, rejected(1, 1));
    assert_eq!(sent_after(&resent), [(1, vec![2, 3])]);
    assert!(sent_after(&single.message(2, 2, appended(3, 1))).is_empty());
}

/// Guards against a commit that counts entries which the follower has lost since.
#[test]
fn append_rejection_takes_back_what_was_acknowledged() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.message(2, 2, appended(3, 1));
    single.message(2, 2, rejected(1, 1));
    assert!(applied(&single.done(&append_ops[0])).is_empty());
    assert_eq!(applied(&single.message(2, 2, appended(3, 1))), [2]);
}

#[test]
fn append_reply_commits_nothing_before_own_sync() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    assert!(applied(&single.message(2, 2, appended(3, 1))).is_empty());
    assert_eq!(applied(&single.done(&append_ops[0])), [2]);
}

/// Guards against a replica that votes a second time under the id that follows from its
/// address, and against a second cluster, after its folder was set aside.
#[test]
fn replica_that_replaces_damaged_one_creates_no_cluster() {
    let mut options = ReplicaOptions::new("n1", 1);
    options.initial_voters = ["n1", "n2", "n3"].map(str::to_owned).to_vec();
    let recovered = Recovered {
        set_aside: vec!["damaged-1-state".to_owned()],
        ..Recovered::default()
    };
    let mut former = Replica::new(options.clone(), Recovered::default(), Duration::ZERO);
    let mut replica = Replica::new(options, recovered, Duration::ZERO);
    let mut tx = Vec::new();
    former.step(Duration::ZERO, Input::Tick, &mut tx);
    replica.step(Duration::ZERO, Input::Tick, &mut tx);
    replica.step(Duration::ZERO, Input::Initialise, &mut tx);
    assert_eq!((replica.role(), replica.cluster()), (Role::Empty, 0));
    assert_ne!(replica.id(), former.id());
}

/// Guards against a group that tolerates fewer losses than it should without a sign of it.
#[test]
fn lagging_voters_names_those_without_committed_entries() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.done(&append_ops[0]);
    single.message(2, 2, appended(3, 1));
    single.message(3, 2, appended(2, 1));
    let lagging = |single: &SingleReplica| -> Vec<String> {
        let voters = single.replica.lagging_voters().into_iter();
        voters.map(|v| v.address).collect()
    };
    assert_eq!(lagging(&single), ["n3"]);
    single.message(3, 2, appended(3, 1));
    assert!(lagging(&single).is_empty());
    single.message(2, 2, rejected(1, 1));
    assert_eq!(lagging(&single), ["n2"]);
}

/// A reply to a round that was sent before a read was requested does not
/// confirm that the replica is still the leader.
#[test]
fn read_waits_for_a_round_of_its_own() {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.done(&append_ops[0]);
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
    let mut single = SingleReplica::new();
    let tx = single.message(2, 2, vote_request(false));
    assert!(kinds(&tx).is_empty());
    let ops = disk_ops(&tx);
    assert!(kinds(&single.done(&ops[0])).is_empty());
    let sent = kinds(&single.done(&ops[1]));
    assert_eq!(sent, [vote(false)]);
}

/// Guards against a replica that answers out of what it has read at the start before that
/// is synced: the process before may have ended between a write and its sync, and a loss of
/// power takes the write away.
#[test_case(append((2, 1), Vec::new()), &appended(2, 1); "entries")]
#[test_case(vote_request(true), &vote(true); "pre-vote")]
fn recovered_data_answers_after_sync(req: Kind, reply: &Kind) {
    let (mut single, recovered) = SingleReplica::started();
    let term = 1 + u64::from(*reply == vote(true));
    let tx = single.message(2, term, req);
    assert!(kinds(&tx).is_empty());
    assert_eq!(kinds(&single.done(&recovered)).last(), Some(reply));
}

/// Guards against an index that is acknowledged after its entry was replaced while the
/// recovered entries were synced.
#[test]
fn recovered_entries_replaced_before_sync_are_not_acknowledged() {
    let (mut single, recovered) = SingleReplica::started();
    let replaced = single.message(2, 2, append((1, 1), vec![entry(2, 2, "new")]));
    let acknowledged_early = acknowledged(&single.done(&recovered));
    assert!(acknowledged_early.iter().all(|i| *i <= 1));
    let indexes: Vec<u64> = disk_ops(&replaced)
        .iter()
        .flat_map(|op| acknowledged(&single.done(op)))
        .collect();
    assert_eq!(indexes.last(), Some(&2));
}

#[test]
fn disk_done_for_replaced_entries_acknowledges_nothing() {
    let mut single = SingleReplica::new();
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
    let mut single = SingleReplica::new();
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
    let invalid = single.message(2, 2, Kind::SnapshotChunk(chunk.clone()));
    single.done(&disk_ops(&invalid)[0]);
    assert_eq!(single.replica.applied_index(), 0);

    chunk.crc = crc32fast::hash(b"state");
    let complete = single.message(2, 2, Kind::SnapshotChunk(chunk));
    assert!(!is_done(&complete));
    assert!(is_done(&single.done(&disk_ops(&complete)[0])));
    assert_eq!(single.replica.applied_index(), 10);
}

/// Handles an input and all disk operations that follow from it.
fn run_to_completion(
    replica: &mut Replica,
    disk: &mut MemoryDisk,
    at_ms: u64,
    input: Input,
) -> Vec<Output> {
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
fn initialise_creates_a_single_node_cluster() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    run_to_completion(&mut replica, &mut disk, 0, Input::Initialise);
    run_to_completion(&mut replica, &mut disk, 10, Input::Tick);
    assert_eq!(replica.role(), Role::Leader);

    let command = "a".into();
    let proposed = Input::Propose { token: 1, command };
    let tx = run_to_completion(&mut replica, &mut disk, 20, proposed);
    assert_eq!(applied(&tx), [3]);
    let tx = run_to_completion(&mut replica, &mut disk, 30, Input::Read { token: 2 });
    assert_eq!(ready(&tx), [2]);
}

#[test]
fn initialise_ignored_after_contact_with_a_cluster() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    let reply = Kind::JoinReply(wire::JoinReply::default());
    let join_reply = Input::Message(message(2, replica.id(), 1, reply));
    run_to_completion(&mut replica, &mut disk, 0, join_reply);
    run_to_completion(&mut replica, &mut disk, 10, Input::Initialise);
    run_to_completion(&mut replica, &mut disk, 20, Input::Tick);
    assert_eq!(replica.role(), Role::Empty);
}

/// A few large commands trigger a snapshot as well.
#[test]
fn snapshot_requested_after_many_bytes() {
    let mut replica = empty_replica();
    let mut disk = MemoryDisk::new();
    run_to_completion(&mut replica, &mut disk, 0, Input::Initialise);
    run_to_completion(&mut replica, &mut disk, 10, Input::Tick);
    let mut requested = Vec::new();
    for token in 0..20 {
        let command = vec![1; 4 * 1024 * 1024].into();
        let tx = run_to_completion(
            &mut replica,
            &mut disk,
            20,
            Input::Propose { token, command },
        );
        for output in tx {
            if let Output::TakeSnapshot { index } = output {
                requested.push(index);
                let state = "state".into();
                let taken = Input::SnapshotTaken { index, state };
                run_to_completion(&mut replica, &mut disk, 20, taken);
            }
        }
    }
    assert_eq!(requested, [10, 18]);
    assert!(disk.recover().entries.len() <= 8);
}

#[test_case(CLUSTER + 1, 1; "of another cluster")]
#[test_case(CLUSTER, 7; "to another replica")]
#[test_case(0, 1; "without a cluster")]
fn message_ignored(cluster: u64, to: u64) {
    let mut single = SingleReplica::new();
    single.input(Input::Tick);
    let kind = append((2, 1), vec![entry(5, 3, "a")]);
    let mut ignored = message(2, to, 5, kind);
    ignored.cluster = cluster;
    assert!(single.input(Input::Message(ignored)).is_empty());
    assert_eq!(single.replica.term(), 1);
}

#[test_case(0, false; "while its voter is responsive")]
#[test_case(150, false; "shortly after its voter becomes silent")]
#[test_case(450, true; "once its voter is lost")]
fn join_request_for_a_voters_address(silent_ms: u64, admitted: bool) {
    let mut single = SingleReplica::new();
    let append_ops = single.become_leader();
    single.done(&append_ops[0]);
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
