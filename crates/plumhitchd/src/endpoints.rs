//! HTTP endpoints of the program that embeds the daemon.

use crate::handle::Handle;
use crate::http_server::{self, CallBody, RunningCall, read_body, reject_body};
use crate::integration::{ApiRequest, Endpoint};
use crate::listeners::{self, Acceptor};
use crate::runtime::Daemon;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::{HeaderValue, Request, ResBody, Response};
use salvo::{Depot, FlowCtrl, Handler, Router, async_trait};
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves an endpoint of the embedding program as soon as its address is available.
pub(crate) async fn serve_when_available(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let address = endpoint.address;
    let listener = listeners::listen(address, None).await;
    let served = listener.and_then(|listener| serve(&daemon, endpoint, listener));
    if let Err(err) = served {
        log::error!("event=endpoint_unavailable address={address} reason=\"{err}\"");
    }
}

/// Serves an endpoint of the embedding program on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(
    daemon: &Arc<Daemon>,
    endpoint: Endpoint,
    listener: TcpListener,
) -> io::Result<()> {
    let acceptor = Acceptor::new(listener, daemon.ports.add_endpoint(endpoint.name));
    let service = EndpointService {
        daemon: daemon.clone(),
        endpoint,
    };
    let router = Router::with_path("{**path}").goal(service);
    http_server::serve(daemon, acceptor, router)
}

struct EndpointService {
    daemon: Arc<Daemon>,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for EndpointService {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let max_bytes = self.endpoint.max_body_bytes;
        let CallBody { bytes, held } = match read_body(&self.daemon, req, max_bytes).await {
            Ok(body) => body,
            Err(err) => {
                log::warn!("event=body_refused path={path} reason={err:?}");
                return reject_body(res, err);
            }
        };
        let request = ApiRequest {
            method,
            path,
            body: bytes,
        };
        let running = RunningCall::new(&self.daemon);
        let handle = Handle::new(self.daemon.clone());
        let response = (self.endpoint.handler)(handle, request).await;
        drop((running, held));
        res.status_code(response.status);
        let json = HeaderValue::from_static("application/json");
        res.headers_mut().insert(CONTENT_TYPE, json);
        res.body(ResBody::Once(response.body.into()));
    }
}
