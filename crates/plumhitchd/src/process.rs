//! The daemon's process, from its start to its graceful stop.

use crate::dialect::{Dialect, Endpoint};
use crate::operators_http::Token;
use crate::runtime::{self, Daemon};
use crate::{disk, endpoints, entry_http, gate_http, links, operators_http, reload, stop};
use conf::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use tokio::net::{TcpListener, TcpSocket};

/// Threads that serve requests. Each hop of a request between threads costs a
/// wake-up, and one thread bears many times a VM's part of the fleet's calls.
const WORKER_THREADS: usize = 1;
/// Connections that wait to be accepted on a listener.
const BACKLOG: u32 = 1024;

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// Returns why it could not start.
pub(crate) fn run(cfg: Settings, dialect: Dialect) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(cfg, dialect))
}

/// Creates the daemon, with a control replica if it has a data folder.
fn create(cfg: Settings, dialect: Dialect) -> io::Result<Arc<Daemon>> {
    let Some(path) = cfg.control.data_dir.clone() else {
        return Daemon::new(cfg, dialect, None, None);
    };
    let (opened, recovered) = disk::open(&path);
    let replica = disk::replica(&cfg, recovered);
    let (tx, rx) = mpsc::channel();
    let daemon = Daemon::new(cfg, dialect, Some(replica), Some(tx))?;
    if let Some(opened) = opened {
        disk::start(daemon.clone(), opened, rx)?;
    }
    Ok(daemon)
}

/// Listens on an address; accepted connections send without delay, which they
/// inherit from the listener.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    let named = |err: io::Error| io::Error::new(err.kind(), format!("{address}: {err}"));
    socket.bind(address).map_err(named)?;
    socket.listen(BACKLOG).map_err(named)
}

async fn serve(cfg: Settings, dialect: Dialect) -> io::Result<()> {
    let reloads = reload::signals()?;
    let peers = listen(cfg.listen.peers)?;
    let callers = cfg.listen.callers.map(listen).transpose()?;
    let operators = listen(cfg.listen.operators)?;
    let token = cfg.operators.token_file.as_deref();
    let token = token.map(Token::read).transpose()?;
    let endpoints = listen_all(&dialect.endpoints)?;
    let daemon = create(cfg, dialect)?;
    log_start(&daemon);
    tokio::spawn(links::serve(daemon.clone(), peers));
    tokio::spawn(links::watch(daemon.clone()));
    tokio::spawn(runtime::tick(daemon.clone()));
    tokio::spawn(gate_http::poll_load_report(daemon.clone()));
    tokio::spawn(reload::watch(daemon.clone(), reloads));
    if let Some(callers) = callers {
        tokio::spawn(entry_http::serve(daemon.clone(), callers));
    }
    operators_http::serve(&daemon, operators, token)?;
    for (endpoint, listener) in endpoints {
        endpoints::serve(&daemon, endpoint, listener)?;
    }
    stop::wait(&daemon).await?;
    log::info!("event=stopped");
    Ok(())
}

/// Listens for each endpoint, without those that aren't required and can't be had.
fn listen_all(endpoints: &[Endpoint]) -> io::Result<Vec<(Endpoint, TcpListener)>> {
    let mut listening = Vec::new();
    for endpoint in endpoints {
        match listen(endpoint.address) {
            Ok(listener) => listening.push((endpoint.clone(), listener)),
            Err(err) if endpoint.required => return Err(err),
            Err(err) => log::warn!("event=listener_unavailable reason=\"{err}\""),
        }
    }
    Ok(listening)
}

fn log_start(daemon: &Daemon) {
    let listen = &daemon.cfg.listen;
    let callers = listen.callers.map_or("none".to_owned(), |a| a.to_string());
    log::info!(
        "event=started daemon={} data_centre={} callers={callers} operators={} peers={}",
        daemon.cfg.daemon.name,
        daemon.cfg.daemon.data_centre,
        listen.operators,
        listen.peers,
    );
}
