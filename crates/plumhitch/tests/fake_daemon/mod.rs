//! Fake daemon whose operator API responds according to a script.

use api::{OutcomeBody, StatusBody, Verdict};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How the fake daemon responds to a request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedResponse {
    /// Closes the connection without a response.
    Lost,
    /// Sends a truncated body, one byte shorter than announced.
    Truncated(u16, String),
    /// Sends a complete response.
    Complete(u16, String),
}

/// Received request.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Request line and headers.
    pub(crate) head: String,
    pub(crate) body: String,
}

#[derive(Debug, Default)]
struct State {
    statuses: VecDeque<ScriptedResponse>,
    others: VecDeque<ScriptedResponse>,
    requests: Vec<ReceivedRequest>,
}

#[derive(Clone, Debug)]
pub(crate) struct FakeDaemon {
    /// Address it listens on.
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeDaemon {
    /// Starts a fake daemon that responds to status requests from one script and
    /// to all others from another. The last response of a script is repeated.
    pub(crate) async fn start(statuses: &[ScriptedResponse], others: &[ScriptedResponse]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            statuses: statuses.iter().cloned().collect(),
            others: others.iter().cloned().collect(),
            requests: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    /// Returns the received changes.
    pub(crate) fn changes(&self) -> Vec<api::ChangeBody> {
        let changes = self
            .requests()
            .into_iter()
            .filter(|request| request.head.starts_with("POST /v1/changes "));
        changes
            .map(|request| serde_json::from_str(&request.body).unwrap())
            .collect()
    }

    /// Returns all received requests.
    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().requests.clone()
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = read_request(&mut stream).await {
        let response = {
            let mut state = state.lock().unwrap();
            let is_status = request.head.starts_with("GET /v1/status ");
            state.requests.push(request);
            let script = match is_status {
                true => &mut state.statuses,
                false => &mut state.others,
            };
            let next = script.pop_front().unwrap();
            if script.is_empty() {
                script.push_back(next.clone());
            }
            next
        };
        let (status, body, len) = match response {
            ScriptedResponse::Lost => return,
            ScriptedResponse::Truncated(status, body) => (status, body.clone(), body.len() + 1),
            ScriptedResponse::Complete(status, body) => (status, body.clone(), body.len()),
        };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n\r\n");
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .await
            .unwrap();
        if len > body.len() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= len.map_or(0, |len| len.parse().unwrap()) {
                let (head, body) = (head.to_owned(), body.to_owned());
                return Some(ReceivedRequest { head, body });
            }
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// Returns a status response with a version, one data centre and one upstream.
pub(crate) fn status(version: u64, out_data_centres: &[&str]) -> ScriptedResponse {
    let upstream = api::UpstreamStatus {
        upstream: "booking-1".into(),
        address: "10.1.0.7:7300".into(),
        data_centre: "ams".into(),
        slots: 6,
        leaving: false,
    };
    let body = StatusBody {
        daemon: "booking-1".into(),
        daemon_version: version,
        stated_rate_milli: None,
        stated_leaving: false,
        version,
        lowest_version: version,
        daemons: 1,
        term: 2,
        leader: 7,
        voters: vec!["10.1.0.7:7300".into()],
        learners: Vec::new(),
        lagging_voters: Vec::new(),
        replica_role: None,
        set_aside: Vec::new(),
        claims: 0,
        customers: 3,
        out_data_centres: out_data_centres.iter().map(ToString::to_string).collect(),
        out_upstreams: Vec::new(),
        services: vec![api::ServiceStatus {
            service: "booking".into(),
            upstreams: vec![upstream],
        }],
    };
    ScriptedResponse::Complete(200, serde_json::to_string(&body).unwrap())
}

/// Returns the response of a change with this verdict.
pub(crate) fn outcome(verdict: Verdict, version: u64) -> ScriptedResponse {
    let winner = api::HistoryItem {
        version,
        change: "c-winner".into(),
        author: "anna".into(),
        summary: "data-centre out rtm".into(),
        at: Duration::from_secs(1_795_000_000),
    };
    let status = match verdict {
        Verdict::Accepted => 200,
        Verdict::Conflict => 409,
        Verdict::Invalid => 422,
    };
    let body = OutcomeBody {
        verdict,
        version,
        winner: (verdict == Verdict::Conflict).then_some(winner),
        findings: match verdict {
            Verdict::Invalid => vec!["customers: customer 'a' has the unknown plan 'b'".into()],
            _ => Vec::new(),
        },
    };
    ScriptedResponse::Complete(status, serde_json::to_string(&body).unwrap())
}
