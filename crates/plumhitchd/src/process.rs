//! Lifecycle of the daemon process, from start to graceful stop.

use crate::integration::{Endpoint, Integration, SettingsSource};
use crate::operators_http::Token;
use crate::runtime::{self, Daemon};
use crate::settings_file::Loaded;
use crate::signals::Signals;
use crate::{
    disk, endpoints, entry_http, gate_http, links, listeners, operators_http, reload, stop,
};
use conf::Settings;
use std::io;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Threads that serve requests. Each transfer of a request between threads costs
/// a wake-up, and one thread handles many times the request rate of one VM.
const WORKER_THREADS: usize = 1;
/// Longest time to wait for the addresses that the daemon needs. The process before may be
/// in its graceful stop.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Listeners that the daemon needs.
struct Listeners {
    peers: TcpListener,
    operators: TcpListener,
    endpoints: Vec<(Endpoint, TcpListener)>,
    callers: Option<TcpListener>,
}

/// Runs a daemon until it is stopped.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub(crate) fn run(loaded: Loaded, source: SettingsSource, signals: Signals) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(loaded, source, signals))
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

async fn serve(loaded: Loaded, source: SettingsSource, signals: Signals) -> io::Result<()> {
    let (reload_signals, mut stop_signals) = signals.into_streams()?;
    let Loaded {
        cfg,
        integration,
        revision,
    } = loaded;
    let token = cfg.operators.token_file.as_deref();
    let token = token.map(Token::read).transpose()?;
    let listeners = tokio::select! {
        listeners = listen(&cfg, &integration.endpoints) => listeners?,
        () = stop_signals.recv() => {
            log::info!("event=stopped");
            return Ok(());
        }
    };
    let daemon = create_daemon(cfg, integration)?;
    log_start(&daemon);
    tokio::spawn(links::serve(daemon.clone(), listeners.peers));
    tokio::spawn(links::monitor(daemon.clone()));
    tokio::spawn(runtime::tick(daemon.clone()));
    tokio::spawn(gate_http::poll_load_report(daemon.clone()));
    tokio::spawn(reload::watch(
        daemon.clone(),
        source,
        revision,
        reload_signals,
    ));
    if let Some(callers) = listeners.callers {
        tokio::spawn(entry_http::serve(daemon.clone(), callers));
    }
    operators_http::serve(&daemon, listeners.operators, token)?;
    for (endpoint, listener) in listeners.endpoints {
        endpoints::serve(&daemon, endpoint, listener)?;
    }
    let optional = daemon.integration.endpoints.iter().filter(|e| !e.required);
    for endpoint in optional.cloned() {
        tokio::spawn(endpoints::serve_when_available(daemon.clone(), endpoint));
    }
    stop::wait(&daemon, &mut stop_signals).await;
    log::info!("event=stopped");
    Ok(())
}

/// Listens on the addresses that the daemon needs, last on that for callers, since from
/// then on they expect responses.
async fn listen(cfg: &Settings, endpoints: &[Endpoint]) -> io::Result<Listeners> {
    let deadline = Some(Instant::now() + ADDRESS_TIMEOUT);
    let peers = listeners::listen(cfg.listen.peers, deadline).await?;
    let operators = listeners::listen(cfg.listen.operators, deadline).await?;
    let mut listening = Vec::new();
    for endpoint in endpoints.iter().filter(|e| e.required) {
        let listener = listeners::listen(endpoint.address, deadline).await?;
        listening.push((endpoint.clone(), listener));
    }
    let callers = match cfg.listen.callers {
        Some(address) => Some(listeners::listen(address, deadline).await?),
        None => None,
    };
    Ok(Listeners {
        peers,
        operators,
        endpoints: listening,
        callers,
    })
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
