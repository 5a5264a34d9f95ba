//! A Raft-like replicated log: elections, replication, snapshots and
//! membership.
//!
//! The replica is a state machine without a clock, sockets or files. Inputs
//! carry the current time, and outputs describe the actions to perform. An
//! output that depends on a disk operation is only emitted after the operation
//! has finished.
//!
//! # Guarantees
//!
//! - A term or vote takes effect once it is synced. Messages are deferred until
//!   then.
//! - An entry counts once it is synced, on the leader as well. It is committed
//!   when a majority of voters has synced it and it belongs to the leader's
//!   current term; this also commits all entries before it.
//! - A read is confirmed when a majority has replied to a heartbeat sent after
//!   the read was requested, and an entry of the leader's current term is
//!   committed. Reads requested in the meantime share the next heartbeat round.
//! - A leader steps down unless a majority has replied within the minimum
//!   election timeout and its own disk makes progress. This is checked before
//!   every input, so that a leader resumed after a freeze does not act on
//!   outdated messages.
//! - A candidate starts an election only if a majority would vote for it
//!   (pre-vote). A replica that is in contact with a leader does not vote for
//!   another candidate, so a replica that returns or has been removed does not
//!   disrupt the cluster.
//!
//! # Membership
//!
//! A replica's id is generated when its data folder is created, so a replica
//! with an empty folder is a new one. It asks the configured replicas to join,
//! receives the log as a learner and becomes a voter once it has caught up. If
//! a silent voter has the same address, that voter's disk was lost, and it is
//! removed first. With a configured number of voters, a learner may replace any
//! silent or departing voter, in one step: until the replacement is complete, decisions
//! need a majority of the voters before it and of those after it.
//!
//! The membership changes by one replica at a time, and only after the last
//! change and an entry of the leader's current term are committed. Committed
//! entries are therefore on a majority again when a change is committed, and
//! the loss of another disk can be tolerated.
//!
//! A member that has been silent for long and is no longer configured is
//! removed; with a configured number of voters, every silent learner is. A
//! cluster that loses a majority of its disks at once stays without a leader,
//! because the remaining replicas cannot know what was committed.

pub mod disk;

mod io;
mod log;
mod memory_disk;
mod options;
mod replica;
mod stored;

pub use disk::DiskError;
pub use io::{DiskDone, DiskOp, DiskWrite, Input, Output, Role};
pub use memory_disk::MemoryDisk;
pub use options::ReplicaOptions;
pub use replica::Replica;
pub use stored::{HardState, Recovered, Snapshot};
