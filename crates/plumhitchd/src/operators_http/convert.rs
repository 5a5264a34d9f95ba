//! Conversion between the JSON bodies of the operators' endpoints and the
//! messages of the control protocol.

use api::{
    ChangeBody, HistoryBody, HistoryItem, Operation, OutcomeBody, ServiceStatus, StatusBody,
    UpstreamStatus, Verdict,
};
use gate::Statement;
use wire::{
    ChangeOperation, ChangeOutcome, ChangeRequest, ChangeResult, ConfigVersion, HistoryEntry,
    HistoryReply, Lists, Member, OperationKind, ServiceDelta, StatusReply, UpstreamInfo,
};

/// Converts a change to a request to control.
pub(super) fn change_request(body: ChangeBody) -> ChangeRequest {
    ChangeRequest {
        change: body.change,
        base: body.base,
        author: body.author,
        operation: Some(operation(body.operation)),
    }
}

fn operation(operation: Operation) -> ChangeOperation {
    let (kind, target, lists) = match operation {
        Operation::Lists { customers, plans } => {
            let lists = Lists { customers, plans };
            (OperationKind::Lists, String::new(), Some(lists))
        }
        Operation::DataCentreOut { data_centre } => {
            (OperationKind::DataCentreOut, data_centre, None)
        }
        Operation::DataCentreReturn { data_centre } => {
            (OperationKind::DataCentreReturn, data_centre, None)
        }
        Operation::UpstreamOut { upstream } => (OperationKind::UpstreamOut, upstream, None),
        Operation::UpstreamReturn { upstream } => (OperationKind::UpstreamReturn, upstream, None),
    };
    ChangeOperation {
        kind: kind.into(),
        target,
        lists,
    }
}

/// Converts the outcome of a change; returns `None` for an unknown result.
pub(super) fn outcome_body(outcome: ChangeOutcome) -> Option<OutcomeBody> {
    let verdict = match outcome.result() {
        ChangeResult::Accepted => Verdict::Accepted,
        ChangeResult::Conflict => Verdict::Conflict,
        ChangeResult::Invalid => Verdict::Invalid,
        ChangeResult::Unknown => return None,
    };
    Some(OutcomeBody {
        verdict,
        version: outcome.version,
        winner: outcome.winner.map(history_item),
        findings: outcome.findings,
    })
}

/// Converts the history of changes.
pub(super) fn history_body(history: HistoryReply) -> HistoryBody {
    HistoryBody {
        entries: history.entries.into_iter().map(history_item).collect(),
    }
}

fn history_item(entry: HistoryEntry) -> HistoryItem {
    HistoryItem {
        version: entry.version,
        change: entry.change,
        author: entry.author,
        summary: entry.summary,
        at: std::time::Duration::from_millis(entry.at_ms),
    }
}

/// What the daemon that responds adds to the status of control.
#[derive(Debug)]
pub(super) struct OwnStatus {
    pub(super) daemon: String,
    pub(super) version: ConfigVersion,
    /// What the upstream beside it states.
    pub(super) statement: Statement,
    /// Role of its control replica, if it has one.
    pub(super) replica_role: Option<String>,
    /// Names of the files of its data folder that were set aside.
    pub(super) set_aside: Vec<String>,
}

/// Converts the status of control, and adds that of the daemon.
pub(super) fn status_body(own: OwnStatus, status: StatusReply) -> StatusBody {
    let membership = status.membership.unwrap_or_default();
    StatusBody {
        daemon: own.daemon,
        daemon_version: own.version,
        stated_rate_milli: own.statement.rate_milli,
        stated_leaving: own.statement.leaving,
        version: status.config_version,
        lowest_version: status.lowest_version,
        daemons: status.daemons,
        term: status.term,
        leader: status.leader,
        voters: membership.voters.into_iter().map(address).collect(),
        learners: membership.learners.into_iter().map(address).collect(),
        lagging_voters: status.lagging_voters,
        replica_role: own.replica_role,
        set_aside: own.set_aside,
        claims: status.claims,
        customers: status.customers,
        out_data_centres: status.out_data_centres,
        out_upstreams: status.out_upstreams,
        services: status.services.into_iter().map(service_status).collect(),
    }
}

fn address(member: Member) -> String {
    member.address
}

fn service_status(delta: ServiceDelta) -> ServiceStatus {
    ServiceStatus {
        service: delta.service,
        upstreams: delta.upstreams.into_iter().map(upstream_status).collect(),
    }
}

fn upstream_status(info: UpstreamInfo) -> UpstreamStatus {
    UpstreamStatus {
        upstream: info.upstream,
        address: info.address,
        data_centre: info.data_centre,
        slots: info.slots,
        leaving: info.leaving,
    }
}
