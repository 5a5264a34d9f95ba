//! The scenarios of the cases.

use crate::fleet::{self, APP, CONTROL, Fleet, Log, Machine, OUTBOUND};
use crate::http;
use crate::instance::{Instance, Options, Runs};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of core machines, which come before the sidecars.
const CORES: usize = 5;
const HOST: &str = "courts.example";

/// Plays a scenario; returns whether the rule held.
pub fn play(scenario: &str, program: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let log = Arc::new(Log::new(record).map_err(|e| e.to_string())?);
    log.line(&format!("scenario {scenario}, trouble {trouble}"));
    let held = match scenario {
        "reuse" => reuse(program, &log, trouble),
        "upload" => upload(program, &log, trouble),
        "behind" => behind(program, &log, trouble),
        "late" => late(program, &log, trouble),
        "unknown" => unknown(program, &log, trouble),
        _ => Err("no such scenario".to_owned()),
    };
    log.line(&format!("rule held: {held:?}"));
    held
}

/// The first configuration: reads and bookings go to `booking`, pages to `clubhub`.
fn config() -> String {
    let row = |name: &str,
               prefix: &str,
               kind: &str,
               timeout: u32,
               aim: u32,
               priority: u32,
               service: &str,
               attempts: u32| {
        format!(
            "[\"{name}\",\"{HOST}\",\"{prefix}\",\"{kind}\",\"{timeout}ms\",\"{aim}ms\",{priority},\
             \"{service}\",{attempts},null]"
        )
    };
    let routes = [
        row(
            "photos",
            "/photos/",
            "idempotent",
            8000,
            2000,
            2,
            "booking",
            2,
        ),
        row("feed", "/feed/", "idempotent", 8000, 2000, 2, "clubhub", 2),
        row("slots", "/slots/", "idempotent", 800, 200, 2, "booking", 2),
        row(
            "book",
            "/book/",
            "non_idempotent",
            1000,
            250,
            1,
            "booking",
            2,
        ),
        row("uploads", "/upload/", "upload", 1200, 300, 1, "clubhub", 2),
        row("pages", "/pages/", "idempotent", 1200, 600, 2, "clubhub", 2),
    ];
    let service = |name: &str| format!("[\"{name}\",\"/health\",220,\"h1\",false,\"3s\",17.0]");
    format!(
        "{{\"version\":3,\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"route_type\",\
         \"timeout\",\"target_latency\",\"priority\",\"service\",\"max_attempts\",\"weighted_clusters\"],\
         \"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\
         \"protocol\",\"tls\",\"cold_start\",\"cold_per_s\"],\"rows\":[{},{}]}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"base_version\":0}}",
        routes.join(","),
        service("booking"),
        service("clubhub")
    )
}

/// Services to which the route of a path leads.
fn service_of(path: &str) -> &'static str {
    match path.starts_with("/pages/") || path.starts_with("/feed/") || path.starts_with("/upload/")
    {
        true => "clubhub",
        false => "booking",
    }
}

struct Setting {
    fleet: Fleet,
    instances: Vec<Arc<Instance>>,
    runs: Runs,
    log: Arc<Log>,
}

fn instance(
    n: usize,
    id: &str,
    service: &str,
    work_ms: u64,
    cold_ms: u64,
    runs: &Runs,
    log: &Arc<Log>,
) -> Result<Arc<Instance>, String> {
    let address = fleet::address(CORES + n, APP);
    let listener = std::net::TcpListener::bind(address).map_err(|e| e.to_string())?;
    instance_at(listener, n, id, service, work_ms, cold_ms, runs, log)
}

#[allow(clippy::too_many_arguments)]
fn instance_at(
    listener: std::net::TcpListener,
    n: usize,
    id: &str,
    service: &str,
    work_ms: u64,
    cold_ms: u64,
    runs: &Runs,
    log: &Arc<Log>,
) -> Result<Arc<Instance>, String> {
    let machine = CORES + n;
    let options = Options {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "nl-a".to_owned(),
        address: fleet::address(machine, APP),
        control: fleet::address(machine, CONTROL),
        slots: 6,
        work: Duration::from_millis(work_ms),
        cold: Duration::from_millis(cold_ms),
    };
    Instance::start_at(listener, options, runs.clone(), log.clone()).map_err(|e| e.to_string())
}

fn set_up(program: &str, machines: &[Machine], log: &Arc<Log>) -> Result<Setting, String> {
    let fleet = Fleet::start(program, machines)?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    thread::sleep(Duration::from_millis(500));
    let mut instances = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        let work = if machine.service == "booking" {
            70
        } else {
            240
        };
        let id = format!("i-{}-{n}", machine.service);
        instances.push(instance(n, &id, machine.service, work, 0, &runs, log)?);
    }
    let limit = Duration::from_secs(20);
    let status = fleet.order(log, "PUT", "/api/config", &config(), limit)?;
    if status != 200 {
        return Err(format!("the first configuration got {status}"));
    }
    let setting = Setting {
        fleet,
        instances,
        runs,
        log: log.clone(),
    };
    let until = Instant::now() + Duration::from_secs(20);
    for n in 0..machines.len() {
        for path in ["/slots/first", "/pages/first"] {
            while send(
                &setting.log,
                setting.fleet.sides[n].address(OUTBOUND),
                "GET",
                path,
                3000,
                b"",
            ) != Some(200)
            {
                if Instant::now() >= until {
                    return Err(format!("machine {n} does not serve {path}"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    Ok(setting)
}

type Answer = (String, Instant, u16, String, String);
static RESULTS: Mutex<Vec<Answer>> = Mutex::new(Vec::new());
static ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Sends one request as a client; returns its status, if there is a response.
fn send(
    log: &Log,
    to: SocketAddr,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Option<u16> {
    let id = format!("{:016x}", ATTEMPT.fetch_add(1, Ordering::SeqCst));
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Plumhitch-Attempt-Id", id.as_str()),
        ("Plumhitch-Deadline-Remaining", deadline.as_str()),
    ];
    let sent = Instant::now();
    log.line(&format!("client sends {id} {method} {path} to {to}"));
    let reply = http::call(
        to,
        method,
        path,
        &headers,
        body,
        Duration::from_millis(deadline_ms + 200),
    );
    match reply {
        Ok(reply) => {
            let stamp = reply.header("plumhitch-response-stamp").unwrap_or("none");
            log.line(&format!(
                "client gets {} for {id} (stamp {stamp})",
                reply.status()
            ));
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            RESULTS.lock().unwrap().push((
                id.clone(),
                sent,
                reply.status(),
                stamp.to_owned(),
                text,
            ));
            Some(reply.status())
        }
        Err(err) => {
            log.line(&format!("client gets no response for {id}: {err}"));
            None
        }
    }
}

/// Numbers from 0 to 1 that look random and are the same in each play.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn to_seed(address: SocketAddr) -> u64 {
    address
        .to_string()
        .bytes()
        .fold(7, |seed, b| seed * 31 + u64::from(b))
}

/// Sends requests at random times, at a given rate on the mean, until it is stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    fn start(
        log: &Arc<Log>,
        to: SocketAddr,
        per_s: f64,
        paths: &'static [(&'static str, &'static str, u64)],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, log) = (stop.clone(), log.clone());
        let thread = thread::spawn(move || {
            let begin = Instant::now();
            let mut sent = 0_usize;
            let mut open = Vec::new();
            let mut random = Random(to_seed(to));
            let mut due = begin;
            while !stopped.load(Ordering::SeqCst) {
                due += Duration::from_secs_f64(-(1.0 - random.next()).ln() / per_s);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let (method, path, deadline) = paths[sent % paths.len()];
                let log = log.clone();
                let path = format!("{path}{sent}");
                let body: &[u8] = if method == "POST" { b"court=7" } else { b"" };
                open.push(thread::spawn(move || {
                    send(&log, to, method, &path, deadline, body)
                }));
                sent += 1;
                open.retain(|t| !t.is_finished());
            }
            for thread in open {
                let _ = thread.join();
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }

    fn end(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Requests of a client that sends them in turn: method, path and time limit.
const BOOKING: &[(&str, &str, u64)] = &[
    ("GET", "/slots/", 800),
    ("GET", "/slots/", 800),
    ("GET", "/slots/", 800),
    ("POST", "/book/", 1000),
];
const CLUBHUB: &[(&str, &str, u64)] = &[("GET", "/pages/", 2500)];

/// Times that one instance ends and its address is used again.
const ROUNDS: usize = 12;
/// Time after which an address is used again; the bound `reuse_after` is 2 s.
const REUSE_AFTER: Duration = Duration::from_millis(2_500);
/// Time from then to the next end.
const PAUSE: Duration = Duration::from_secs(3);
/// Requests a second of all clients: for `booking`, which its two instances with 6 slots each
/// and 70 ms of work carry with 7.7 of 12 slots in use on the mean, and for `clubhub`, whose
/// two instances with 240 ms of work have 7.7 of 12 slots in use.
const BOOKING_PER_S: f64 = 110.0;
const CLUBHUB_PER_S: f64 = 32.0;

/// An instance falls silent, and its address goes to an instance of another service.
fn reuse(program: &str, log: &Arc<Log>, trouble: bool) -> Result<bool, String> {
    let machine = |zone, service| Machine { zone, service };
    let machines = [
        machine("nl-a", "booking"),
        machine("nl-b", "booking"),
        machine("nl-c", "clubhub"),
        machine("nl-d", "clubhub"),
    ];
    let mut setting = set_up(program, &machines, log)?;
    let mut traffic = Vec::new();
    for side in &setting.fleet.sides {
        let entries = machines.len() as f64;
        let to = side.address(OUTBOUND);
        traffic.push(Traffic::start(log, to, BOOKING_PER_S / entries, BOOKING));
        traffic.push(Traffic::start(log, to, CLUBHUB_PER_S / entries, CLUBHUB));
    }
    thread::sleep(Duration::from_secs(5));
    // They stay as they are: silent, with their connections open.
    let mut gone = Vec::new();
    for round in 0..ROUNDS {
        let (service, work) = match round % 2 {
            0 => ("clubhub", 240),
            _ => ("booking", 70),
        };
        if trouble {
            let old = setting.instances[0].clone();
            old.go_dark();
            thread::sleep(REUSE_AFTER);
            let port = old.give_port().ok_or("the port is gone")?;
            gone.push(old);
            let id = format!("i-{service}-again-{round}");
            let (runs, log) = (&setting.runs, &setting.log);
            setting.instances[0] = instance_at(port, 0, &id, service, work, 3_000, runs, log)?;
        } else {
            thread::sleep(REUSE_AFTER);
        }
        thread::sleep(PAUSE);
    }
    for traffic in traffic {
        traffic.end();
    }
    let runs = setting.runs.lock().unwrap().clone();
    let foreign: Vec<_> = runs
        .iter()
        .filter(|r| service_of(&r.path) != r.service)
        .collect();
    log.line(&format!(
        "{} runs, {} by a service to which no route leads",
        runs.len(),
        foreign.len()
    ));
    for run in &foreign {
        let text = format!(
            "BROKEN: {} {} (attempt {}) was run by {} of {}",
            run.method, run.path, run.attempt, run.instance, run.service
        );
        log.line(&text);
        println!("{text}");
    }
    setting.fleet.copy_logs(log, &["event=announced"]);
    let ended = setting.fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    if runs.len() < 1_000 {
        return Err(format!("only {} requests were run", runs.len()));
    }
    Ok(foreign.is_empty())
}

/// Requests on one connection each that the clients of the case send: a read, and behind it a
/// PUT with a long body in chunks.
const UPLOADS: usize = 120;
const UPLOAD_PAUSE: Duration = Duration::from_millis(450);
const UPLOAD_BYTES: usize = 3_000_000;
const UPLOAD_CHUNK: usize = 50_000;
const CHUNK_PAUSE: Duration = Duration::from_millis(50);
const UPLOAD_DEADLINE_MS: u64 = 8_000;

/// What a client has sent of a body.
struct Upload {
    attempt: String,
    bytes: usize,
    is_complete: bool,
}

/// Instances break off answers while clients send long bodies behind the requests.
fn upload(program: &str, log: &Arc<Log>, trouble: bool) -> Result<bool, String> {
    let machine = |zone, service| Machine { zone, service };
    let machines = [
        machine("nl-a", "booking"),
        machine("nl-b", "booking"),
        machine("nl-c", "clubhub"),
        machine("nl-d", "clubhub"),
    ];
    let mut setting = set_up(program, &machines, log)?;
    if trouble {
        // One of the two instances of `clubhub` breaks off two fifths of its answers.
        setting.instances[2].break_off(2);
    }
    let mut clients = Vec::new();
    for number in 0..UPLOADS {
        let to = setting.fleet.sides[number % machines.len()].address(OUTBOUND);
        let log = log.clone();
        clients.push(thread::spawn(move || send_behind(&log, to, number)));
        thread::sleep(UPLOAD_PAUSE);
    }
    let clients = clients.into_iter().filter_map(|c| c.join().ok());
    let uploads: Vec<Upload> = clients.filter_map(Result::ok).collect();
    thread::sleep(Duration::from_secs(1));
    let runs = setting.runs.lock().unwrap().clone();
    let (mut whole, mut changed) = (0, 0);
    for upload in &uploads {
        for run in runs.iter().filter(|r| r.attempt == upload.attempt) {
            if upload.is_complete && run.body.len() == upload.bytes {
                whole += 1;
                continue;
            }
            changed += 1;
            let text = format!(
                "BROKEN: {} {} (attempt {}) was run by {} with a body of {} bytes; the client \
                 had sent {} of {UPLOAD_BYTES} bytes, end of the body sent: {}",
                run.method,
                run.path,
                run.attempt,
                run.instance,
                run.body.len(),
                upload.bytes,
                upload.is_complete
            );
            log.line(&text);
            println!("{text}");
        }
    }
    let complete = uploads.iter().filter(|u| u.is_complete).count();
    log.line(&format!(
        "{} bodies were sent, {complete} of them completely; {whole} were run whole, {changed} \
         otherwise",
        uploads.len()
    ));
    let ended = setting.fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    if whole < UPLOADS / 2 {
        return Err(format!("only {whole} bodies were run whole"));
    }
    Ok(changed == 0)
}

/// Sends a read and, before it is answered, a PUT with a long body, on one connection.
fn send_behind(log: &Log, to: SocketAddr, number: usize) -> std::io::Result<Upload> {
    let next_id = || format!("{:016x}", ATTEMPT.fetch_add(1, Ordering::SeqCst));
    let (first, second) = (next_id(), next_id());
    let mut stream = http::connect(to, Duration::from_secs(1))?;
    let head = |request: &str, id: &str, more: &str| {
        format!(
            "{request} HTTP/1.1\r\nHost: {HOST}\r\nPlumhitch-Attempt-Id: {id}\r\n\
             Plumhitch-Deadline-Remaining: {UPLOAD_DEADLINE_MS}\r\n{more}\r\n"
        )
    };
    let read = head(&format!("GET /feed/{number}"), &first, "");
    let put = format!("PUT /photos/{number}");
    let put = head(&put, &second, "Transfer-Encoding: chunked\r\n");
    stream.write_all((read + &put).as_bytes())?;
    log.line(&format!(
        "client sends {first} GET /feed/{number} and behind it {second} PUT /photos/{number} to {to}"
    ));
    let mut reading = stream.try_clone()?;
    let reader = thread::spawn(move || {
        let mut buf = vec![0; 65_536];
        let mut total = 0;
        while let Ok(len) = reading.read(&mut buf)
            && len > 0
        {
            total += len;
        }
        total
    });
    let mut chunk = format!("{UPLOAD_CHUNK:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + UPLOAD_CHUNK, b'a');
    chunk.extend_from_slice(b"\r\n");
    let mut upload = Upload {
        attempt: second,
        bytes: 0,
        is_complete: false,
    };
    while upload.bytes < UPLOAD_BYTES && stream.write_all(&chunk).is_ok() {
        upload.bytes += UPLOAD_CHUNK;
        thread::sleep(CHUNK_PAUSE);
    }
    if upload.bytes == UPLOAD_BYTES {
        upload.is_complete = stream.write_all(b"0\r\n\r\n").is_ok();
        thread::sleep(Duration::from_millis(1_500));
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let received = reader.join().unwrap_or_default();
    log.line(&format!(
        "client has sent {} bytes of the body of {}, its end: {}; received {received} bytes",
        upload.bytes, upload.attempt, upload.is_complete
    ));
    Ok(upload)
}

/// Connections of clients that send further requests before the first is answered.
const KEPT: usize = 80;
const KEPT_PAUSE: Duration = Duration::from_millis(300);
/// How often the rule allows that a connection closes without an answer.
const ALLOWED: usize = 3;

/// A kept connection, and what became of the request that was sent last on it.
struct Kept {
    attempt: String,
    is_answered: bool,
}

/// Instances break off long answers while clients have sent further requests behind them.
fn behind(program: &str, log: &Arc<Log>, trouble: bool) -> Result<bool, String> {
    let machine = |zone, service| Machine { zone, service };
    let machines = [
        machine("nl-a", "booking"),
        machine("nl-b", "booking"),
        machine("nl-c", "clubhub"),
        machine("nl-d", "clubhub"),
    ];
    let mut setting = set_up(program, &machines, log)?;
    if trouble {
        // One of the two instances of `clubhub` breaks off two fifths of its answers.
        setting.instances[2].break_off(2);
    }
    let mut clients = Vec::new();
    for number in 0..KEPT {
        let to = setting.fleet.sides[number % machines.len()].address(OUTBOUND);
        let log = log.clone();
        clients.push(thread::spawn(move || send_kept(&log, to, number)));
        thread::sleep(KEPT_PAUSE);
    }
    let clients = clients.into_iter().filter_map(|c| c.join().ok());
    let kept: Vec<Kept> = clients.filter_map(Result::ok).collect();
    thread::sleep(Duration::from_secs(1));
    let runs = setting.runs.lock().unwrap().clone();
    let mut lost = 0;
    for connection in kept.iter().filter(|k| !k.is_answered) {
        for run in runs.iter().filter(|r| r.attempt == connection.attempt) {
            lost += 1;
            let text = format!(
                "BROKEN: {} {} (attempt {}) was run by {}, and its connection closed without an \
                 answer",
                run.method, run.path, run.attempt, run.instance
            );
            log.line(&text);
            println!("{text}");
        }
    }
    let answered = kept.iter().filter(|k| k.is_answered).count();
    log.line(&format!(
        "{} kept connections, {answered} with all answers, {lost} closed with a request that was \
         run and not answered",
        kept.len()
    ));
    let ended = setting.fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    if answered < KEPT / 2 {
        return Err(format!("only {answered} connections got all answers"));
    }
    Ok(lost <= ALLOWED)
}

/// Sends a read and waits for its answer, then a read with a long answer and another read
/// behind it, on one connection.
fn send_kept(log: &Log, to: SocketAddr, number: usize) -> std::io::Result<Kept> {
    let next_id = || format!("{:016x}", ATTEMPT.fetch_add(1, Ordering::SeqCst));
    let ids = [next_id(), next_id(), next_id()];
    let mut stream = http::connect(to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head = |path: &str, id: &str, deadline: u64| {
        format!(
            "GET {path}{number} HTTP/1.1\r\nHost: {HOST}\r\nPlumhitch-Attempt-Id: {id}\r\n\
             Plumhitch-Deadline-Remaining: {deadline}\r\n\r\n"
        )
    };
    stream.write_all(head("/slots/", &ids[0], 800).as_bytes())?;
    let mut buf = Vec::new();
    if let Some(mut first) = http::read_head(&mut stream, &mut buf)? {
        http::read_body(&mut stream, &mut buf, &mut first)?;
        log.line(&format!(
            "client gets {} for {} on a kept connection",
            first.status(),
            ids[0]
        ));
    }
    let both = head("/feed/", &ids[1], UPLOAD_DEADLINE_MS) + &head("/slots/", &ids[2], 4_000);
    stream.write_all(both.as_bytes())?;
    log.line(&format!(
        "client sends {} GET /feed/{number} and behind it {} GET /slots/{number} to {to}",
        ids[1], ids[2]
    ));
    let mut is_answered = false;
    let mut ended = "is open";
    for id in &ids[1..] {
        let answer = http::read_head(&mut stream, &mut buf).and_then(|head| {
            let Some(mut head) = head else {
                return Ok(None);
            };
            http::read_body(&mut stream, &mut buf, &mut head)?;
            Ok(Some(head))
        });
        match answer {
            Ok(Some(answer)) => {
                log.line(&format!("client gets {} for {id}", answer.status()));
                is_answered = *id == ids[2];
            }
            Ok(None) => ended = "was closed",
            Err(err) => {
                log.line(&format!("client gets no complete answer for {id}: {err}"));
                ended = "was closed";
                break;
            }
        }
    }
    log.line(&format!(
        "the connection of {} {ended}, answered: {is_answered}",
        ids[2]
    ));
    Ok(Kept {
        attempt: ids[2].clone(),
        is_answered,
    })
}

/// Times that an instance starts again and leaves.
const LEAVES: usize = 4;
/// Bound `drain`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which an instance goes on serving after it has said that it leaves.
const SERVES_ON: Duration = Duration::from_secs(12);
/// How late the ping is; the longest partition of the site lasts 5.5 s.
const LATE_PING: Duration = Duration::from_millis(5_450);

/// An instance starts again under its id and leaves; a ping of its earlier start arrives late.
fn late(program: &str, log: &Arc<Log>, trouble: bool) -> Result<bool, String> {
    let machine = |zone, service| Machine { zone, service };
    let machines = [
        machine("nl-a", "booking"),
        machine("nl-b", "booking"),
        machine("nl-c", "clubhub"),
        machine("nl-d", "clubhub"),
    ];
    let mut setting = set_up(program, &machines, log)?;
    let mut traffic = Vec::new();
    for side in &setting.fleet.sides {
        traffic.push(Traffic::start(log, side.address(OUTBOUND), 10.0, BOOKING));
    }
    let mut acks = Vec::new();
    for number in 0..LEAVES {
        let n = number % 2;
        thread::sleep(Duration::from_secs(3));
        let first = setting.instances[n].clone();
        // It is on its way from here on.
        let late_ping = first.next_ping();
        let sent = Instant::now();
        first.kill();
        thread::sleep(Duration::from_millis(100));
        let (runs, log) = (&setting.runs, &setting.log);
        let second = instance(n, &first.id, "booking", 70, 3_000, runs, log)?;
        thread::sleep(Duration::from_millis(150));
        if !second.delete() {
            return Err("the leave was not acknowledged".to_owned());
        }
        let acked = Instant::now();
        acks.push((first.id.clone(), acked));
        thread::sleep(LATE_PING.saturating_sub(sent.elapsed()));
        if trouble {
            let status = first.call("PUT", &late_ping);
            log.line(&format!(
                "ping of the earlier start of {}, {} ms late -> {status}",
                first.id,
                sent.elapsed().as_millis()
            ));
        }
        thread::sleep(SERVES_ON.saturating_sub(acked.elapsed()));
        second.kill();
        let id = format!("i-booking-after-{number}");
        thread::sleep(Duration::from_millis(300));
        setting.instances[n] = instance(n, &id, "booking", 70, 3_000, runs, log)?;
    }
    for traffic in traffic {
        traffic.end();
    }
    let runs = setting.runs.lock().unwrap().clone();
    let mut after = 0;
    for (id, acked) in &acks {
        for run in runs
            .iter()
            .filter(|r| r.instance == *id && r.at > *acked + DRAIN)
        {
            after += 1;
            let text = format!(
                "BROKEN: {} {} (attempt {}) reached {} {:.1} s after the ack that it leaves",
                run.method,
                run.path,
                run.attempt,
                run.instance,
                (run.at - *acked).as_secs_f64()
            );
            log.line(&text);
            println!("{text}");
        }
    }
    log.line(&format!(
        "{} runs, {after} of them at instances that had left",
        runs.len()
    ));
    let ended = setting.fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    Ok(after == 0)
}

/// The operator sends configurations whose new route names a service that no row of `services`
/// has, beside parts that are known. Without the disruption the field is omitted (null).
fn unknown(program: &str, log: &Arc<Log>, trouble: bool) -> Result<bool, String> {
    let machine = |zone, service| Machine { zone, service };
    let machines = [machine("nl-a", "booking"), machine("nl-c", "clubhub")];
    let setting = set_up(program, &machines, log)?;
    let limit = Duration::from_secs(5);
    let mut version = 3_u64;
    let mut acked = 0;
    for round in 0..6 {
        let path = format!("/extra-{round}/");
        let named = if trouble { "\"photobox\"" } else { "null" };
        let row = format!(
            "[\"extra-{round}\",\"{HOST}\",\"{path}\",\"idempotent\",\"800ms\",\"200ms\",2,{named},2,\
             [{{\"service\":\"booking\",\"weight\":1}}]]"
        );
        // By turns a whole configuration and a change of one item.
        let (method, body) = if round % 2 == 0 {
            let services = "]]},\"services\"";
            let body = config()
                .replace(services, &format!("],{row}{}", &services[1..]))
                .replace("\"version\":3", &format!("\"version\":{}", version + 5))
                .replace("\"base_version\":0", &format!("\"base_version\":{version}"));
            ("PUT", body)
        } else {
            let body = format!(
                "{{\"version\":{},\"upsert\":{{\"routes\":{{\"columns\":[\"name\",\"host\",\
                 \"path_prefix\",\"route_type\",\"timeout\",\"target_latency\",\"priority\",\"service\",\
                 \"max_attempts\",\"weighted_clusters\"],\"rows\":[{row}]}}}},\"base_version\":{version}}}",
                version + 5
            );
            ("PATCH", body)
        };
        log.line(&format!("sent as extra-{round}: {row}"));
        let status = setting
            .fleet
            .order(log, method, "/api/config", &body, limit)?;
        if status == 200 {
            version += 5;
        } else if !trouble {
            return Err(format!("a valid configuration got {status}"));
        }
        thread::sleep(Duration::from_millis(1_500));
        let core = setting.fleet.cores[round % CORES].address(CONTROL);
        let read = http::call(core, "GET", "/api/config", &[], b"", limit);
        let text = read.map_or_else(
            |e| e.to_string(),
            |r| String::from_utf8_lossy(&r.body).into_owned(),
        );
        let name = format!("[\"extra-{round}\"");
        let shown = text.find(&name).map_or("no such route", |at| {
            let end = text[at..].find("]]").map_or(text.len(), |e| at + e + 2);
            &text[at..end]
        });
        log.line(&format!("read back: {shown}"));
        let to = setting.fleet.sides[0].address(OUTBOUND);
        let answer = send(log, to, "GET", &format!("{path}1"), 3000, b"");
        if trouble && status == 200 {
            acked += 1;
            let text = format!(
                "BROKEN: {method} of version {version}, whose route extra-{round} names the unknown service \
                 photobox, is acknowledged; read back: {shown}; a request on the route gets {answer:?}"
            );
            log.line(&text);
            println!("{text}");
        }
    }
    Ok(acked == 0)
}
