//! A fleet of real daemons on loopback, each beside an example upstream.

use crate::operator::Operator;
use crate::process::{Process, built_program};
use crate::session;
use api::Operation;
use miette::{IntoDiagnostic, Result, miette};
use std::fmt::Write;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Environment variable that sets the policy of a daemon.
const POLICY_VARIABLE: &str = "PLUMHITCH_BASELINE";
/// Timeout for each step of the start of a fleet.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A service of a fleet and its upstreams.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Name.
    pub name: String,
    /// Number of upstreams, distributed over the data centres in turn.
    pub instances: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Arguments of all upstreams, in addition to service, address, daemon and
    /// slots.
    pub upstream_args: Vec<String>,
    /// Additional arguments of the first upstream only.
    pub first_args: Vec<String>,
    /// Additional arguments of the other upstreams.
    pub other_args: Vec<String>,
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Services and their upstreams.
    pub services: Vec<ServiceOptions>,
    /// Number of control replicas, which run in the first daemons.
    pub replicas: usize,
    /// Policy of the daemons; the default one if `None`.
    pub policy: Option<String>,
    /// Additional sections of the settings, as INI text.
    pub settings: String,
    /// Additional keys of the section `[control]`, as INI text.
    pub control: String,
    /// Text of the list of plans.
    pub plans: String,
    /// Text of the list of customers.
    pub customers: String,
}

impl ServiceOptions {
    /// Returns a service whose upstreams respond without delay.
    #[must_use]
    pub fn immediate(name: &str, instances: usize, slots: u32) -> Self {
        Self {
            name: name.into(),
            instances,
            slots,
            upstream_args: Vec::new(),
            first_args: Vec::new(),
            other_args: Vec::new(),
        }
    }
}

impl FleetOptions {
    /// Returns a fleet in three data centres with three control replicas, gates
    /// that start warm, no request log, and a customer `members` on a plan
    /// whose limits are never reached.
    #[must_use]
    pub fn unlimited(services: Vec<ServiceOptions>, classes: &str) -> Self {
        let plan = "[plan all]\nrate = 1000000\nburst = 1000000\nin-flight = 100000\nshare = 1\n";
        Self {
            data_centres: (1..=3).map(|n| format!("dc{n}")).collect(),
            services,
            replicas: 3,
            policy: None,
            settings: "[gate]\ncold-slots = 256\n[log]\nsample = 0\n".into(),
            control: String::new(),
            plans: format!("{plan}{classes}"),
            customers: "[customers]\nmembers = all\n".into(),
        }
    }
}

/// A daemon and its upstream.
#[derive(Debug)]
pub struct Member {
    /// Name of the daemon.
    pub name: String,
    /// Service of the upstream.
    pub service: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address of the daemon's listener for callers.
    pub callers: SocketAddr,
    /// Address of the daemon's listener for operators.
    pub operators: SocketAddr,
    /// Address of the daemon's listener for other daemons.
    pub peers: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Process of the daemon.
    pub daemon: Process,
    /// Process of the upstream.
    pub upstream_process: Process,
    args: ProcessArgs,
}

#[derive(Clone, Debug)]
struct ProcessArgs {
    daemon: Vec<String>,
    upstream: Vec<String>,
}

/// A running fleet, whose processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Daemons with their upstreams.
    pub members: Vec<Member>,
    /// Client of the operators' API.
    pub operator: Operator,
    dir: TempDir,
    program: PathBuf,
    envs: Vec<(String, String)>,
}

impl Fleet {
    /// Starts a fleet, initialises control, applies the lists, and waits until
    /// every daemon uses them.
    ///
    /// # Errors
    ///
    /// Returns an error if a program isn't built or a step exceeds its timeout.
    pub async fn start(options: &FleetOptions) -> Result<Self> {
        let mut fleet = Self {
            members: Vec::new(),
            operator: Operator::default(),
            dir: tempfile::tempdir().into_diagnostic()?,
            program: built_program("plumhitchd")?,
            envs: policy_variable(options.policy.as_deref()),
        };
        fleet.start_members(options)?;
        let configured = fleet.configure(options).await;
        configured.map_err(|err| err.wrap_err(fleet.last_log_lines()))?;
        Ok(fleet)
    }

    async fn configure(&self, options: &FleetOptions) -> Result<()> {
        self.initialise(options.replicas).await?;
        self.apply_lists(&options.plans, &options.customers).await
    }

    /// Returns the last line of each daemon's log.
    fn last_log_lines(&self) -> String {
        let line = |index: usize| {
            let text = fs::read_to_string(self.log_file(index, "daemon")).unwrap_or_default();
            let last = text.lines().last().unwrap_or("no log output").to_owned();
            format!("{}: {last}", self.members[index].name)
        };
        let lines: Vec<String> = (0..self.members.len()).map(line).collect();
        lines.join("\n")
    }

    /// Returns the directory with settings, data and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the addresses of the daemons' listeners for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|m| m.callers).collect()
    }

    /// Returns the indices of a service's members.
    #[must_use]
    pub fn members_of(&self, service: &str) -> Vec<usize> {
        let indices = 0..self.members.len();
        indices
            .filter(|i| self.members[*i].service == service)
            .collect()
    }

    /// Returns the index of the control leader, which is found by a confirmed
    /// heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if no member confirms a heartbeat in time.
    pub async fn leader(&self) -> Result<usize> {
        let control: Vec<SocketAddr> = self.members.iter().map(|m| m.peers).collect();
        let address = session::find_leader(&control, START_TIMEOUT).await?;
        let position = control.iter().position(|peers| *peers == address);
        position.ok_or_else(|| miette!("control leader {address} is not a member of the fleet"))
    }

    /// Kills a member's daemon and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn restart_daemon(&mut self, index: usize) -> Result<()> {
        let log = self.log_file(index, "daemon");
        let member = &mut self.members[index];
        member.daemon.kill();
        member.daemon = Process::start(&self.program, &member.args.daemon, &self.envs, &log)?;
        Ok(())
    }

    /// Kills a member's upstream and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn restart_upstream(&mut self, index: usize) -> Result<()> {
        let log = self.log_file(index, "upstream");
        let program = built_program("examples/upstream")?;
        let member = &mut self.members[index];
        member.upstream_process.kill();
        member.upstream_process = Process::start(&program, &member.args.upstream, &[], &log)?;
        Ok(())
    }

    /// Waits until every daemon uses at least a configuration version.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon doesn't do so in time.
    pub async fn wait_for_version(&self, version: u64) -> Result<()> {
        for member in &self.members {
            self.operator
                .wait_for_status(member.operators, START_TIMEOUT, |s| {
                    s.daemon_version >= version
                })
                .await?;
        }
        Ok(())
    }

    fn start_members(&mut self, options: &FleetOptions) -> Result<()> {
        let total: usize = options.services.iter().map(|s| s.instances).sum();
        let mut ports = free_ports(total * 4)?.into_iter();
        let mut next = || {
            ports
                .next()
                .ok_or_else(|| miette!("not enough ports allocated for the fleet"))
        };
        let mut members = Vec::new();
        for service in &options.services {
            for number in 0..service.instances {
                let ports = [next()?, next()?, next()?, next()?];
                members.push((service, number, ports));
            }
        }
        let replicas: Vec<SocketAddr> = members
            .iter()
            .take(options.replicas)
            .map(|(_, _, p)| p[2])
            .collect();
        for (index, (service, number, ports)) in members.iter().enumerate() {
            let data_centre = &options.data_centres[index % options.data_centres.len()];
            let name = format!("{}-{}", service.name, number + 1);
            let text = settings_text(&name, data_centre, ports, &replicas, options);
            let data_dir = (index < options.replicas).then(|| self.dir.path().join(&name));
            let file = self.dir.path().join(format!("{name}.ini"));
            fs::write(&file, with_data_dir(text, data_dir.as_deref())).into_diagnostic()?;
            let daemon = vec!["--settings".into(), file.display().to_string()];
            let upstream = upstream_args(service, *number, ports);
            let args = ProcessArgs { daemon, upstream };
            self.start_member(name, service, data_centre, ports, args)?;
        }
        Ok(())
    }

    fn start_member(
        &mut self,
        name: String,
        service: &ServiceOptions,
        data_centre: &str,
        ports: &[SocketAddr; 4],
        args: ProcessArgs,
    ) -> Result<()> {
        let log = |role: &str| self.dir.path().join(format!("{name}.{role}.log"));
        let daemon = Process::start(&self.program, &args.daemon, &self.envs, &log("daemon"))?;
        let program = built_program("examples/upstream")?;
        let upstream_process = Process::start(&program, &args.upstream, &[], &log("upstream"))?;
        let [callers, operators, peers, upstream] = *ports;
        self.members.push(Member {
            service: service.name.clone(),
            data_centre: data_centre.into(),
            name,
            callers,
            operators,
            peers,
            upstream,
            daemon,
            upstream_process,
            args,
        });
        Ok(())
    }

    async fn initialise(&self, replicas: usize) -> Result<()> {
        let first = self.members[0].operators;
        let start = std::time::Instant::now();
        while let Err(err) = self.operator.initialise(first).await {
            if start.elapsed() > START_TIMEOUT {
                return Err(err);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let condition = |s: &api::StatusBody| s.voters.len() == replicas;
        self.operator
            .wait_for_status(first, START_TIMEOUT, condition)
            .await?;
        let all = self.members.len();
        let condition = |s: &api::StatusBody| {
            s.services.iter().map(|s| s.upstreams.len()).sum::<usize>() == all
        };
        self.operator
            .wait_for_status(first, START_TIMEOUT, condition)
            .await
            .map(drop)
    }

    async fn apply_lists(&self, plans: &str, customers: &str) -> Result<()> {
        let first = self.members[0].operators;
        let base = self.operator.status(first).await?.version;
        let operation = Operation::Lists {
            customers: Some(customers.into()),
            plans: Some(plans.into()),
        };
        let outcome = self
            .operator
            .change(first, "start", base, operation)
            .await?;
        if outcome.verdict != api::Verdict::Accepted {
            return Err(miette!(
                "plan and customer lists were not accepted: {outcome:?}"
            ));
        }
        self.wait_for_version(outcome.version).await
    }

    fn log_file(&self, index: usize, role: &str) -> PathBuf {
        self.dir
            .path()
            .join(format!("{}.{role}.log", self.members[index].name))
    }
}

/// Returns the environment variable that selects a policy for measurements.
fn policy_variable(policy: Option<&str>) -> Vec<(String, String)> {
    let variable = |policy: &str| (POLICY_VARIABLE.to_owned(), policy.to_owned());
    policy.map(variable).into_iter().collect()
}

/// Returns free ports on loopback. They are released on return, so another
/// process may take them.
///
/// # Errors
///
/// Returns an error if a port can't be allocated.
pub fn free_ports(count: usize) -> Result<Vec<SocketAddr>> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners = (0..count)
        .map(|_| bind())
        .collect::<Result<Vec<_>, _>>()
        .into_diagnostic()?;
    listeners
        .iter()
        .map(|l| l.local_addr().into_diagnostic())
        .collect()
}

fn settings_text(
    name: &str,
    data_centre: &str,
    ports: &[SocketAddr; 4],
    replicas: &[SocketAddr],
    options: &FleetOptions,
) -> String {
    let [callers, operators, peers, upstream] = ports;
    let replicas: Vec<String> = replicas.iter().map(ToString::to_string).collect();
    format!(
        "[daemon]\nname = {name}\ndata-centre = {data_centre}\n\
         [listen]\ncallers = {callers}\noperators = {operators}\npeers = {peers}\n\
         [upstream]\naddress = {upstream}\n{}\n\
         [control]\nreplicas = {}\n{}\n",
        options.settings,
        replicas.join(", "),
        options.control,
    )
}

fn with_data_dir(mut text: String, data_dir: Option<&Path>) -> String {
    if let Some(data_dir) = data_dir {
        // Writing to a string can't fail.
        let _ = writeln!(text, "data = {}", data_dir.display());
    }
    text
}

fn upstream_args(service: &ServiceOptions, number: usize, ports: &[SocketAddr; 4]) -> Vec<String> {
    let [_, operators, _, upstream] = ports;
    let mut args = vec![
        "--service".into(),
        service.name.clone(),
        "--listen".into(),
        upstream.to_string(),
        "--daemon".into(),
        operators.to_string(),
        "--slots".into(),
        service.slots.to_string(),
    ];
    args.extend(service.upstream_args.iter().cloned());
    let role_args = if number == 0 {
        &service.first_args
    } else {
        &service.other_args
    };
    args.extend(role_args.iter().cloned());
    args
}
