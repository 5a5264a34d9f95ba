//! The command line.

use argh::FromArgs;
use std::path::PathBuf;

const DEFAULT_TIMEOUT_S: u64 = 30;
const DEFAULT_HISTORY: u32 = 20;

/// Drives a fleet of plumhitch daemons: checks and applies the lists of plans
/// and customers, takes data centres and upstreams out of service and returns
/// them, and shows what is in force.
///
/// Options come before the command. A change that got no answer, or a 503, is
/// sent again with the same change id, to the next daemon, until the timeout.
/// "accepted" is printed only after a daemon has said so, which it does only
/// after a majority of the control replicas has committed the change.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Check both lists, then put them in force:
  {command_name} check --plans plans.ini --customers customers.ini
  {command_name} --daemon 10.1.0.7:7200 --daemon 10.2.0.7:7200 apply --plans plans.ini --customers customers.ini",
    example = "Take a data centre out and bring it back:
  export PLUMHITCH_DAEMONS=10.1.0.7:7200,10.2.0.7:7200
  {command_name} data-centre out ams
  {command_name} data-centre return ams",
    example = "Learn what became of a change whose outcome stayed unknown (exit code 4):
  {command_name} --change c-4f1d apply --plans plans.ini",
    note = "PLUMHITCH_DAEMONS lists daemons' operators addresses, with commas between, when no --daemon is given.",
    note = "A change is based on a version: --base, or else the one that the fleet is at right before. If another change came first, the answer is a conflict that shows it, and nothing was changed. Only 'out' and 'return' without --base and --change then try again, and only while the data centre or upstream is still in the state it was in before; 'apply' never does.",
    error_code(0, "Done; a change was accepted."),
    error_code(1, "Wrong usage, or it failed and nothing was changed."),
    error_code(2, "The files have findings; nothing was changed."),
    error_code(3, "Conflict: another change came first; nothing was changed."),
    error_code(
        4,
        "Unknown: a change was sent but no outcome came. Run again with the printed --change."
    )
)]
pub(crate) struct Args {
    /// operators address of a daemon, IP:PORT; may be repeated
    #[argh(option, arg_name = "address")]
    pub(crate) daemon: Vec<String>,
    /// file with the bearer token
    #[argh(option, arg_name = "path")]
    pub(crate) token_file: Option<PathBuf>,
    /// prints one JSON document, for scripts
    #[argh(switch)]
    pub(crate) json: bool,
    /// who makes the change, for the history; $USER by default
    #[argh(option, arg_name = "name")]
    pub(crate) author: Option<String>,
    /// id that makes a change idempotent; drawn at random by default
    #[argh(option, arg_name = "id")]
    pub(crate) change: Option<String>,
    /// version that a change is based on
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
    /// seconds to keep trying; 30 by default
    #[argh(option, arg_name = "seconds", default = "DEFAULT_TIMEOUT_S")]
    pub(crate) timeout: u64,
    /// what to do
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
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
    Initialise(Initialise),
}

/// Checks files and shows all findings; asks no daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// plan list
    #[argh(option, arg_name = "path")]
    pub(crate) plans: Option<PathBuf>,
    /// customer list
    #[argh(option, arg_name = "path")]
    pub(crate) customers: Option<PathBuf>,
    /// settings of a daemon; may be repeated
    #[argh(option, arg_name = "path")]
    pub(crate) settings: Vec<PathBuf>,
}

/// Says what became of a request, out of the daemons' saved logs; asks no
/// daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id that the caller gave its attempt, or the daemon the request
    #[argh(positional)]
    pub(crate) id: String,
    /// logs of the daemons; standard input if none is given
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Says by class how long answered requests took, and what of that was not
/// their upstream's, out of the daemons' saved logs; asks no daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "times")]
pub(crate) struct Times {
    /// logs of the daemons; standard input if none is given
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Checks the lists that are given and puts them in force, together, in place
/// of the ones there are.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// plan list
    #[argh(option, arg_name = "path")]
    pub(crate) plans: Option<PathBuf>,
    /// customer list
    #[argh(option, arg_name = "path")]
    pub(crate) customers: Option<PathBuf>,
}

/// Shows the versions in force, control replicas, services and upstreams, and
/// what is out of service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Shows accepted changes, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// changes to show; 20 by default
    #[argh(option, default = "DEFAULT_HISTORY")]
    pub(crate) limit: u32,
}

/// Takes a data centre out of service, or returns it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "data-centre")]
pub(crate) struct DataCentre {
    #[argh(subcommand)]
    pub(crate) state: State,
}

/// Takes an upstream out of service, or returns it; its name is that of the
/// daemon beside it.
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

/// Takes it out: within seconds it receives no new work; what runs there goes
/// on to its end.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "out")]
pub(crate) struct Out {
    /// data centre, or upstream
    #[argh(positional)]
    pub(crate) name: String,
    /// takes it out although no upstream of that name or in that data centre
    /// is registered
    #[argh(switch)]
    pub(crate) unknown: bool,
}

/// Returns it: its part of the work grows step by step.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "return")]
pub(crate) struct Return {
    /// data centre, or upstream
    #[argh(positional)]
    pub(crate) name: String,
}

/// Makes the empty control replica of one daemon the first of a new fleet.
/// Done once, when a fleet is set up; the others join it by themselves.
/// Refused if that daemon finds a fleet, for which it looks three seconds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "initialise")]
pub(crate) struct Initialise {}
