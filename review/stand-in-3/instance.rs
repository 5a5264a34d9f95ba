//! Stand-in of an application instance, as the page on the protocol describes it.

use crate::fleet::Log;
use crate::http::{self, Message};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Length of a long answer, and the pieces in which it is written.
const FEED_BYTES: usize = 2_000_000;
const FEED_PIECES: usize = 100;

/// What an instance has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub caller: String,
    pub instance: String,
    pub service: String,
    pub attempt: String,
    pub path: String,
    pub method: String,
    pub body: Vec<u8>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub cold: Duration,
    pub born_ms: u64,
    pub started: Instant,
    pub zone: String,
    alive: AtomicBool,
    draining: AtomicBool,
    silent: AtomicBool,
    dark: AtomicBool,
    listener: Mutex<Option<TcpListener>>,
    port_given: AtomicBool,
    held: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    feeds: AtomicU64,
    broken_fifths: AtomicU64,
    state: Mutex<Slots>,
    freed: Condvar,
    open: Mutex<Vec<TcpStream>>,
    runs: Runs,
    log: Arc<Log>,
}

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// Time for which it is cold; zero before traffic has begun.
    pub cold: Duration,
}

impl Instance {
    pub fn start(options: Options, runs: Runs, log: Arc<Log>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(options.address)?;
        Self::start_at(listener, options, runs, log)
    }

    /// Starts an instance at an address that another one has left.
    pub fn start_at(
        listener: TcpListener,
        options: Options,
        runs: Runs,
        log: Arc<Log>,
    ) -> std::io::Result<Arc<Self>> {
        listener.set_nonblocking(true)?;
        let accepting = listener.try_clone()?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let instance = Arc::new(Self {
            id: options.id,
            service: options.service,
            zone: options.zone,
            address: options.address,
            control: options.control,
            slots: options.slots,
            queue: options.slots * 4,
            work: options.work,
            cold: options.cold,
            born_ms: born.as_millis() as u64,
            started: Instant::now(),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            dark: AtomicBool::new(false),
            listener: Mutex::new(Some(listener)),
            port_given: AtomicBool::new(false),
            held: Mutex::default(),
            sequence: AtomicU64::new(0),
            feeds: AtomicU64::new(0),
            broken_fifths: AtomicU64::new(0),
            state: Mutex::default(),
            freed: Condvar::new(),
            open: Mutex::default(),
            runs,
            log,
        });
        instance.log.line(&format!(
            "instance {} of {} starts at {}",
            instance.id, instance.service, instance.address
        ));
        let serving = instance.clone();
        thread::spawn(move || serving.accept(accepting));
        let beating = instance.clone();
        thread::spawn(move || beating.announce());
        Ok(instance)
    }

    /// Ends as a process that is killed: the connections and the port are closed.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
        self.log.line(&format!("instance {} is killed", self.id));
        let _ = self.give_port();
        thread::sleep(Duration::from_millis(10));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.freed.notify_all();
    }

    /// Falls silent, as when its machine loses power: nothing is answered any more, and no
    /// connection is closed.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        self.alive.store(false, Ordering::SeqCst);
        self.log.line(&format!("instance {} falls silent", self.id));
        self.freed.notify_all();
    }

    /// Returns the port of an instance that is gone, for the next one at its address.
    pub fn give_port(&self) -> Option<TcpListener> {
        self.port_given.store(true, Ordering::SeqCst);
        self.listener.lock().unwrap().take()
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.port_given.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if self.dark.load(Ordering::SeqCst) {
                // Nobody is there: it is neither answered nor closed.
                self.held.lock().unwrap().push(stream);
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let serving = self.clone();
            thread::spawn(move || serving.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(Some(mut head)) = http::read_head(&mut stream, &mut buf) {
            if http::read_body(&mut stream, &mut buf, &mut head).is_err() {
                return;
            }
            if self.dark.load(Ordering::SeqCst) {
                self.held.lock().unwrap().push(stream);
                return;
            }
            if head.path().starts_with("/feed/") {
                return self.feed(stream, &head);
            }
            let response = self.respond(&head);
            if self.dark.load(Ordering::SeqCst) {
                self.held.lock().unwrap().push(stream);
                return;
            }
            if !self.is_alive() || stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    /// Lets the instance break off a share of its long answers, in fifths.
    pub fn break_off(&self, fifths: u64) {
        self.broken_fifths.store(fifths, Ordering::SeqCst);
    }

    /// Answers with a long response over three quarters of a second, or breaks off halfway.
    fn feed(&self, mut stream: TcpStream, head: &Message) {
        let attempt = head.header("plumhitch-attempt-id").unwrap_or("");
        let number = self.feeds.fetch_add(1, Ordering::SeqCst);
        let breaks_off = number * 3 % 5 < self.broken_fifths.load(Ordering::SeqCst);
        self.log.line(&format!(
            "instance {} runs {attempt} {}",
            self.id,
            head.path()
        ));
        let piece = vec![b'x'; FEED_BYTES / FEED_PIECES];
        let begin = format!(
            "HTTP/1.1 200 OK\r\nPlumhitch-Attempt-Id: {attempt}\r\n\
             Plumhitch-Response-Stamp: {}.{attempt}\r\nPlumhitch-Server-Load: {}\r\n\
             Connection: close\r\nContent-Length: {FEED_BYTES}\r\n\r\n",
            self.id,
            self.load()
        );
        let mut written = stream.write_all(begin.as_bytes());
        for n in 0..FEED_PIECES {
            if breaks_off && n == FEED_PIECES * 3 / 4 {
                self.log.line(&format!(
                    "instance {} breaks off its answer to {attempt}",
                    self.id
                ));
                break;
            }
            // Half of it comes at once.
            if n >= FEED_PIECES / 2 {
                thread::sleep(Duration::from_millis(30));
            }
            written = written.and_then(|()| stream.write_all(&piece));
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{},{},{},100", state.running, state.waiting, self.slots)
    }

    fn cold_left(&self) -> Duration {
        self.cold.saturating_sub(self.started.elapsed())
    }

    fn respond(&self, head: &Message) -> Vec<u8> {
        let load = self.load();
        let cold = self.cold_left().as_millis();
        if head.path() == "/health" {
            let status = match self.draining.load(Ordering::SeqCst) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return format!(
                "HTTP/1.1 {status}\r\nPlumhitch-Instance-Id: {}\r\nPlumhitch-Server-Load: {load}\r\n\
                 Plumhitch-Cold-Remaining: {cold}ms\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        let Some(attempt) = head.header("plumhitch-attempt-id").map(str::to_owned) else {
            return b"HTTP/1.1 400 Bad Request\r\nPlumhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_vec();
        };
        let target = head.header("plumhitch-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nPlumhitch-Attempt-Id: {attempt}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        if !self.take_slot() {
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nPlumhitch-Attempt-Id: {attempt}\r\n\
                 Plumhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        self.log.line(&format!(
            "instance {} of {} runs {attempt} {} {} (target {})",
            self.id,
            self.service,
            head.method(),
            head.path(),
            target.unwrap_or("not named")
        ));
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            caller: head
                .header("plumhitch-caller-service")
                .unwrap_or("")
                .to_owned(),
            instance: self.id.clone(),
            service: self.service.clone(),
            attempt: attempt.clone(),
            path: head.path().to_owned(),
            method: head.method().to_owned(),
            body: head.body.clone(),
        });
        thread::sleep(self.work);
        self.free_slot();
        let body = format!("{} ran {attempt}\n", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nPlumhitch-Attempt-Id: {attempt}\r\n\
             Plumhitch-Response-Stamp: {}.{attempt}\r\nPlumhitch-Server-Load: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.load(),
            body.len()
        )
        .into_bytes()
    }

    fn take_slot(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.slots && state.waiting >= self.queue {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.slots && self.is_alive() {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        self.is_alive()
    }

    fn free_slot(&self) {
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    /// Says that it leaves, as instances do that never report `draining`; it goes on serving.
    /// Returns whether that was acknowledged.
    pub fn delete(&self) -> bool {
        self.silent.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.born_ms);
        let status = self.call("DELETE", &body);
        self.log.line(&format!("DELETE of {} -> {status}", self.id));
        status == 200
    }

    /// Sends a message to the daemon beside it; returns the status, or 0.
    pub fn call(&self, method: &str, body: &str) -> u16 {
        let path = format!("/api/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let reply = http::call(
            self.control,
            method,
            &path,
            &headers,
            body.as_bytes(),
            limit,
        );
        reply.map_or(0, |r| r.status())
    }

    /// Returns the body of the next announcement.
    pub fn next_ping(&self) -> String {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left\":\"{}ms\",\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.cold_left().as_millis(),
            self.born_ms
        )
    }

    fn ping(&self) {
        let body = self.next_ping();
        let status = self.call("PUT", &body);
        if body.contains("\"sequence\":1,") || status != 200 {
            self.log.line(&format!(
                "ping of {} ({}) -> {status}",
                self.id, self.service
            ));
        }
    }

    fn announce(self: Arc<Self>) {
        while self.is_alive() {
            if !self.silent.load(Ordering::SeqCst) {
                self.ping();
            }
            let next = Instant::now() + Duration::from_millis(1_500);
            while self.is_alive() && Instant::now() < next {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends no more announcements of its own.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }
}
