//! Log lines: time, level, then `event=NAME key=value …`.
//!
//! Lines are gathered in memory and written by a thread of their own, a batch
//! at a time, so that a reader that is slow or gone never holds a request up.
//! What doesn't fit is dropped and counted.

use node::LogLine;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::runtime::lock;

/// Bytes of lines that wait to be written at most.
const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Time for which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(100);
/// Longest time that the end of the process waits for its last lines.
const LAST_WAIT: Duration = Duration::from_millis(300);

/// Lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines on their way out.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Waiting {
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped == 0
    }
}

/// The end of a logger that takes lines in, one a call.
#[derive(Clone, Debug, Default)]
struct Queue {
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (waiting, changed) = &*self.waiting;
        let mut waiting = lock(waiting);
        let first = waiting.is_empty();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        if first {
            changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Queue {
    /// Writes what waits, over and over.
    fn drain(&self, mut out: impl Write) {
        let (waiting, changed) = &*self.waiting;
        loop {
            let begun = lock(waiting);
            let held = changed.wait_while(begun, |w| w.is_empty());
            drop(held);
            thread::sleep(GATHER);
            let Waiting { bytes, dropped } = std::mem::take(&mut *lock(waiting));
            // Nobody is left to tell when standard error is gone.
            let _ = out.write_all(&bytes);
            if dropped > 0 {
                let time = crate::clock::unix_ms();
                let _ = writeln!(
                    out,
                    "time={time} level=WARN event=log_dropped lines={dropped}"
                );
            }
            changed.notify_all();
        }
    }

    /// Waits until everything is written, for a bounded time.
    fn finish(&self) {
        let (waiting, changed) = &*self.waiting;
        let held = lock(waiting);
        let _ = changed.wait_timeout_while(held, LAST_WAIT, |w| !w.is_empty());
    }
}

/// The logger of a process; its last lines are written when it is dropped.
#[derive(Debug)]
pub(crate) struct Logging {
    queue: Queue,
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.queue.finish();
        // The last batch left the queue before it is written.
        thread::sleep(GATHER / 4);
    }
}

/// Starts logging to standard error; `RUST_LOG` sets the level.
pub(crate) fn start() -> Logging {
    let queue = Queue::default();
    let env = env_logger::Env::default().default_filter_or("info,salvo_core=off,salvo=off");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|f, record| {
        let time = crate::clock::unix_ms();
        let level = record.level();
        writeln!(f, "time={time} level={level} {}", record.args())
    });
    let drained = queue.clone();
    let thread = thread::Builder::new().name("log".into());
    if thread.spawn(move || drained.drain(io::stderr())).is_ok() {
        builder.target(env_logger::Target::Pipe(Box::new(queue.clone())));
    }
    let _ = builder.try_init();
    Logging { queue }
}

/// Returns how many lines were dropped since the start.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes one of the reducer's log lines.
pub(crate) fn write(line: &LogLine) {
    if !log::log_enabled!(line.level) {
        return;
    }
    let mut text = format!("event={}", line.event);
    for (key, value) in &line.pairs {
        let _ = match value.contains([' ', '"', '=']) {
            true => write!(text, " {key}={value:?}"),
            false => write!(text, " {key}={value}"),
        };
    }
    log::log!(line.level, "{text}");
}
