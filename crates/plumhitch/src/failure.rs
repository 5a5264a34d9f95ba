//! Failures of a command and their exit codes.

use api::OutcomeBody;
use conf::Findings;
use std::error::Error;
use std::fmt;

const EXIT_FAILED: u8 = 1;
const EXIT_FINDINGS: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNKNOWN: u8 = 4;

/// Identifies a change that was sent.
#[derive(Clone, Debug)]
pub(crate) struct SentChange {
    pub(crate) change: String,
    /// Configuration version that the change was based on.
    pub(crate) base: u64,
}

/// Failure of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Invalid usage, or the command failed and nothing was changed. The text
    /// is also written to JSON, where scripts may match it.
    Failed(String),
    /// The check of files on this machine has findings.
    Findings(Findings),
    /// The daemon rejected the lists with findings.
    Invalid(SentChange, Box<OutcomeBody>),
    /// The order for a rollout has findings.
    InvalidRollout(String),
    /// Another rollout of the service is in progress.
    RolloutInProgress(String),
    /// Another change was accepted on the same base first.
    Conflict(SentChange, Box<OutcomeBody>),
    /// The request was sent, but its outcome is not known.
    Unknown(Option<SentChange>, String),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => EXIT_FAILED,
            Self::Findings(_) | Self::Invalid(..) | Self::InvalidRollout(_) => EXIT_FINDINGS,
            Self::Conflict(..) | Self::RolloutInProgress(_) => EXIT_CONFLICT,
            Self::Unknown(..) => EXIT_UNKNOWN,
        }
    }

    /// Returns the outcome as written to JSON.
    pub(crate) fn outcome(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Findings(_) | Self::Invalid(..) | Self::InvalidRollout(_) => "invalid",
            Self::Conflict(..) | Self::RolloutInProgress(_) => "conflict",
            Self::Unknown(..) => "unknown",
        }
    }

    /// Adds the change to an unknown outcome, so that the message can name it.
    pub(crate) fn with_change(self, sent: &SentChange) -> Self {
        match self {
            Self::Unknown(None, reason) => Self::Unknown(Some(sent.clone()), reason),
            other => other,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(reason)
            | Self::InvalidRollout(reason)
            | Self::RolloutInProgress(reason) => write!(f, "{reason}"),
            Self::Findings(findings) => write!(f, "{findings}"),
            Self::Invalid(_, outcome) => write!(
                f,
                "the lists have findings; nothing was changed\n{}",
                outcome.findings.join("\n")
            ),
            Self::Conflict(sent, outcome) => write!(
                f,
                "conflict: the change was based on version {}, but the configuration is at version {}; \
                 nothing was changed",
                sent.base, outcome.version
            ),
            Self::Unknown(Some(sent), reason) => write!(
                f,
                "the outcome is unknown: {reason}\nto find it out, run the same command again with \
                 --change {} --base {}",
                sent.change, sent.base
            ),
            Self::Unknown(None, reason) => write!(f, "the outcome is unknown: {reason}"),
        }
    }
}

impl Error for Failure {}
