//! Command-line arguments of `plumhitch`.

use argh::FromArgs;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_TIMEOUT_S: u64 = 30;
const DEFAULT_HISTORY_LIMIT: u32 = 20;

/// Operates a fleet of plumhitch daemons: checks and applies the lists of plans
/// and customers, takes data centres and upstreams out of service, returns
/// them, and shows the configuration in force.
///
/// Options come before the command. A change that gets no response, or a 503,
/// is retried at the next daemon with the same change id until the timeout.
/// "accepted" is printed only when a daemon has confirmed that a majority of
/// the control replicas committed the change.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Check both lists, then apply them:
  {command_name} check --plans plans.ini --customers customers.ini
  {command_name} --daemon 10.1.0.7:7200 --daemon 10.2.0.7:7200 apply --plans plans.ini --customers customers.ini",
    example = "Take a data centre out and bring it back:
  export PLUMHITCH_DAEMONS=10.1.0.7:7200,10.2.0.7:7200
  {command_name} data-centre out ams
  {command_name} data-centre return ams",
    example = "Find out the outcome of a change that ended as unknown (exit code 4):
  {command_name} --change c-4f1d apply --plans plans.ini",
    note = "PLUMHITCH_DAEMONS holds operator addresses of daemons, separated by commas; it is used when no --daemon is given.",
    note = "A change is based on a version: --base, or else the current version of the fleet. If another change was accepted on that version first, the outcome is a conflict that shows the other change, and nothing is changed. 'out' and 'return' without --base and --change then retry, but only while the state of the data centre or upstream is the same as before; 'apply' never retries after a conflict.",
    error_code(0, "Success; a change was accepted."),
    error_code(1, "Invalid usage, or the command failed and nothing was changed."),
    error_code(2, "The files have findings; nothing was changed."),
    error_code(3, "Conflict: another change was accepted first; nothing was changed."),
    error_code(
        4,
        "Unknown: a change was sent, but its outcome is not known. Run the command again with the printed --change."
    )
)]
pub(crate) struct Args {
    /// operator address of a daemon, IP:PORT; may be repeated
    #[argh(option, arg_name = "address")]
    pub(crate) daemon: Vec<String>,
    /// file with the bearer token
    #[argh(option, arg_name = "path")]
    pub(crate) token_file: Option<PathBuf>,
    /// print one JSON document, for scripts
    #[argh(switch)]
    pub(crate) json: bool,
    /// author of the change, shown in the history; $USER by default
    #[argh(option, arg_name = "name")]
    pub(crate) author: Option<String>,
    /// id that makes a change idempotent; random by default
    #[argh(option, arg_name = "id")]
    pub(crate) change: Option<String>,
    /// configuration version that the change is based on
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
    /// seconds until the command stops retrying; 30 by default
    #[argh(option, arg_name = "seconds", default = "DEFAULT_TIMEOUT_S")]
    pub(crate) timeout: u64,
    /// command to run
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Explain(Explain),
    Times(Times),
    Apply(Apply),
    Status(Status),
    History(History),
    DataCentre(DataCentre),
    Upstream(Upstream),
    Rollout(Rollout),
    Initialise(Initialise),
}

/// Checks files and shows all findings; contacts no daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// file with the list of plans
    #[argh(option, arg_name = "path")]
    pub(crate) plans: Option<PathBuf>,
    /// file with the list of customers
    #[argh(option, arg_name = "path")]
    pub(crate) customers: Option<PathBuf>,
    /// settings file of a daemon; may be repeated
    #[argh(option, arg_name = "path")]
    pub(crate) settings: Vec<PathBuf>,
}

/// Shows how a request was handled, from the saved logs of the daemons;
/// contacts no daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the attempt, set by the caller, or id of the request, set by the
    /// daemon
    #[argh(positional)]
    pub(crate) id: String,
    /// log files of the daemons; standard input if none is given
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Shows the latency of answered requests for each class, and how much of it
/// was added to the time at the upstream, from the saved logs of the daemons;
/// contacts no daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "times")]
pub(crate) struct Times {
    /// log files of the daemons; standard input if none is given
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Checks the given lists and replaces the ones in force by them, in one change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// file with the list of plans
    #[argh(option, arg_name = "path")]
    pub(crate) plans: Option<PathBuf>,
    /// file with the list of customers
    #[argh(option, arg_name = "path")]
    pub(crate) customers: Option<PathBuf>,
}

/// Shows configuration versions, control replicas, services and upstreams, and
/// what is out of service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Shows accepted changes, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// number of changes to show; 20 by default
    #[argh(option, default = "DEFAULT_HISTORY_LIMIT")]
    pub(crate) limit: u32,
}

/// Takes a data centre out of service, or returns it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "data-centre")]
pub(crate) struct DataCentre {
    #[argh(subcommand)]
    pub(crate) state: State,
}

/// Takes an upstream out of service, or returns it; an upstream has the name of
/// the daemon beside it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "upstream")]
pub(crate) struct Upstream {
    #[argh(subcommand)]
    pub(crate) state: State,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum State {
    Out(Out),
    Return(Return),
}

/// Takes it out of service: new requests stop within seconds; requests that are
/// running there are completed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "out")]
pub(crate) struct Out {
    /// name of the data centre or upstream
    #[argh(positional)]
    pub(crate) name: String,
    /// do not require that an upstream of that name, or in that data centre, is
    /// registered
    #[argh(switch)]
    pub(crate) unknown: bool,
}

/// Returns it to service: its share of the load grows step by step.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "return")]
pub(crate) struct Return {
    /// name of the data centre or upstream
    #[argh(positional)]
    pub(crate) name: String,
}

/// Moves the traffic of a service to upstreams of another version, or shows how far
/// that is.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct Rollout {
    #[argh(subcommand)]
    pub(crate) action: RolloutAction,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum RolloutAction {
    Start(StartRollout),
    Status(RolloutStatus),
}

/// Orders a rollout: the new version gets a small share first, then all requests. It
/// is rolled back if its responses are worse than those of the old version.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "start")]
pub(crate) struct StartRollout {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// version that the upstreams to move to announce
    #[argh(positional)]
    pub(crate) version: String,
    /// time within which the rollout is to be complete, such as 90s, 1500ms or 10m
    #[argh(option, arg_name = "duration", from_str_fn(parse_duration))]
    pub(crate) within: Duration,
}

/// Shows the newest rollout of a service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct RolloutStatus {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
}

/// Parses a duration above 0: a whole number with the unit `ms`, `s`, `m` or `h`.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let unit_ms = match text.get(digits.len()..) {
        Some("ms") => 1,
        Some("s") => 1_000,
        Some("m") => 60_000,
        Some("h") => 3_600_000,
        _ => 0,
    };
    let number = digits.parse::<u64>().ok();
    let ms = number.and_then(|n| n.checked_mul(unit_ms));
    let ms = ms.filter(|ms| *ms > 0);
    ms.map(Duration::from_millis)
        .ok_or_else(|| format!("'{text}' is no duration above 0; valid: 90s, 1500ms, 10m"))
}

/// Makes the empty control replica of one daemon the first replica of a new
/// fleet. Run it once, when the fleet is set up; the other replicas join
/// automatically. Refused if that daemon finds an existing fleet, for which it
/// searches three seconds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "initialise")]
pub(crate) struct Initialise {}
