//! Configuration changes, their outcomes and their history.

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Operation of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Replaces each list that is present.
    Lists {
        /// Text of the customer list, in INI.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        customers: Option<String>,
        /// Text of the plan list, in INI.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        plans: Option<String>,
    },
    /// Takes a data centre out of service.
    DataCentreOut {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Returns a data centre to service.
    DataCentreReturn {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Takes an upstream out of service.
    UpstreamOut {
        /// Name of the upstream.
        upstream: String,
    },
    /// Returns an upstream to service.
    UpstreamReturn {
        /// Name of the upstream.
        upstream: String,
    },
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Id that makes the change idempotent: a repeated id gets the first outcome.
    pub change: String,
    /// Configuration version that the change is based on.
    pub base: u64,
    /// Author, for the history.
    pub author: String,
    /// Operation to perform.
    pub operation: Operation,
}

/// Result of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Committed by a majority of the control replicas.
    Accepted,
    /// The configuration is not at the base version; nothing was changed.
    Conflict,
    /// The change has findings; nothing was changed.
    Invalid,
}

/// Response to `POST /v1/changes`; its HTTP status is 200, 409 or 422 for an
/// accepted, conflicting or invalid change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBody {
    /// Result of the change.
    pub verdict: Verdict,
    /// Version that the change created if accepted, else the current one.
    pub version: u64,
    /// Latest accepted change, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<HistoryItem>,
    /// Findings, one per line.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// An accepted change in the history.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryItem {
    /// Version that it created.
    pub version: u64,
    /// Id of the change.
    pub change: String,
    /// Author.
    pub author: String,
    /// Summary of its operation.
    pub summary: String,
    /// Time of the change since the Unix epoch; milliseconds in JSON.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at: Duration,
}

/// Response to `GET /v1/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryBody {
    /// Accepted changes, newest first.
    pub entries: Vec<HistoryItem>,
}

/// Body of an error response. Its HTTP status is 503 when no leader confirmed
/// an outcome in time; the same change may then be sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong and what the caller can do.
    pub error: String,
}
