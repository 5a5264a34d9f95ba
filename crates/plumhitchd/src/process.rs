//! Lifecycle of the daemon process, from start to graceful stop.

use crate::integration::{Endpoint, Integration};
use crate::operators_http::Token;
use crate::runtime::{self, Daemon};
use crate::signals::Signals;
use crate::{disk, endpoints, entry_http, gate_http, links, operators_http, reload, stop};
use conf::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use tokio::net::{TcpListener, TcpSocket};

/// Threads that serve requests. Each transfer of a request between threads costs
/// a wake-up, and one thread handles many times the request rate of one VM.
const WORKER_THREADS: usize = 1;
/// Maximum number of connections waiting to be accepted on a listener.
const BACKLOG: u32 = 1024;

/// Runs a daemon until it is stopped.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub(crate) fn run(cfg: Settings, integration: Integration, signals: Signals) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(cfg, integration, signals))
}

/// Creates the daemon, with a control replica if a data folder is configured.
fn create_daemon(cfg: Settings, integration: Integration) -> io::Result<Arc<Daemon>> {
    let Some(path) = cfg.control.data_dir.clone() else {
        return Daemon::new(cfg, integration, None, None);
    };
    let (opened, recovered) = disk::open(&path);
    let replica = disk::replica(&cfg, recovered);
    let (tx, rx) = mpsc::channel();
    let daemon = Daemon::new(cfg, integration, Some(replica), Some(tx))?;
    disk::start(daemon.clone(), opened, rx)?;
    Ok(daemon)
}

/// Listens on an address. Accepted connections inherit `TCP_NODELAY` from the
/// listener.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    let with_address =
        |err: io::Error| io::Error::new(err.kind(), format!("cannot listen on {address}: {err}"));
    socket.bind(address).map_err(with_address)?;
    socket.listen(BACKLOG).map_err(with_address)
}

async fn serve(cfg: Settings, integration: Integration, signals: Signals) -> io::Result<()> {
    let (reload_signals, mut stop_signals) = signals.into_streams()?;
    let peers = listen(cfg.listen.peers)?;
    let callers = cfg.listen.callers.map(listen).transpose()?;
    let operators = listen(cfg.listen.operators)?;
    let token = cfg.operators.token_file.as_deref();
    let token = token.map(Token::read).transpose()?;
    let endpoints = listen_all(&integration.endpoints)?;
    let daemon = create_daemon(cfg, integration)?;
    log_start(&daemon);
    tokio::spawn(links::serve(daemon.clone(), peers));
    tokio::spawn(links::monitor(daemon.clone()));
    tokio::spawn(runtime::tick(daemon.clone()));
    tokio::spawn(gate_http::poll_load_report(daemon.clone()));
    tokio::spawn(reload::watch(daemon.clone(), reload_signals));
    if let Some(callers) = callers {
        tokio::spawn(entry_http::serve(daemon.clone(), callers));
    }
    operators_http::serve(&daemon, operators, token)?;
    for (endpoint, listener) in endpoints {
        endpoints::serve(&daemon, endpoint, listener)?;
    }
    stop::wait(&daemon, &mut stop_signals).await;
    log::info!("event=stopped");
    Ok(())
}

/// Listens on the address of each endpoint. Logs and skips an endpoint that is
/// not required if its address is unavailable.
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
