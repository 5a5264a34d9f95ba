//! Log lines of the form `time=… level=… event=NAME key=value …`.
//!
//! Lines are buffered in memory and written in batches by a separate thread, so
//! that a slow or absent reader never delays a request. Lines that do not fit
//! into the buffer, or that the output fails to accept, are dropped and counted.

mod interval;
mod line_writer;

pub(crate) use interval::LogInterval;

use line_writer::LineWriter;
use node::LogLine;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::runtime::lock;

/// Maximum size of the buffered lines.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Time for which lines are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait for the last lines to be written when the process exits.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that have not been taken by the writer thread yet.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Buffer {
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped == 0
    }
}

/// Queue from the loggers to the writer thread; each `write` call is one line.
#[derive(Clone, Debug, Default)]
struct Queue {
    buffer: Arc<(Mutex<Buffer>, Condvar)>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (buffer, changed) = &*self.buffer;
        let mut buffer = lock(buffer);
        let was_empty = buffer.is_empty();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        if was_empty {
            changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Queue {
    /// Writes the buffered lines in batches; never returns.
    fn write_batches(&self, out: impl Write) {
        let (buffer, changed) = &*self.buffer;
        let mut out = LineWriter::new(out);
        // Dropped lines that no line in the output states yet.
        let mut unreported = 0;
        loop {
            let guard = lock(buffer);
            let guard = changed.wait_while(guard, |b| b.is_empty());
            drop(guard);
            thread::sleep(BATCH_INTERVAL);
            let Buffer { bytes, dropped } = std::mem::take(&mut *lock(buffer));
            let lost = out.write(&bytes);
            DROPPED.fetch_add(lost, Ordering::Relaxed);
            unreported += dropped + lost;
            if unreported > 0 && out.write(log_dropped(unreported).as_bytes()) == 0 {
                unreported = 0;
            }
            changed.notify_all();
        }
    }

    /// Waits until the buffer is empty, at most [`EXIT_FLUSH_TIMEOUT`].
    fn flush_at_exit(&self) {
        let (buffer, changed) = &*self.buffer;
        let guard = lock(buffer);
        let _ = changed.wait_timeout_while(guard, EXIT_FLUSH_TIMEOUT, |b| !b.is_empty());
    }
}

/// Returns the line that states a number of dropped lines.
fn log_dropped(lines: u64) -> String {
    let time = crate::clock::unix_ms();
    format!("time={time} level=WARN event=log_dropped lines={lines}\n")
}

/// The logger of the process; dropping it flushes the buffered lines.
#[derive(Debug)]
pub(crate) struct Logging {
    queue: Queue,
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.queue.flush_at_exit();
        // The queue is empty while the last batch is still being written.
        thread::sleep(BATCH_INTERVAL / 4);
    }
}

/// Starts logging to standard error, at the level set in `RUST_LOG`.
pub(crate) fn start() -> Logging {
    let queue = Queue::default();
    let env = env_logger::Env::default().default_filter_or("info,salvo_core=off,salvo=off");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|f, record| {
        let time = crate::clock::unix_ms();
        let level = record.level();
        writeln!(f, "time={time} level={level} {}", record.args())
    });
    let writer = queue.clone();
    let thread = thread::Builder::new().name("log".into());
    if thread
        .spawn(move || writer.write_batches(io::stderr()))
        .is_ok()
    {
        builder.target(env_logger::Target::Pipe(Box::new(queue.clone())));
    }
    let _ = builder.try_init();
    Logging { queue }
}

/// Returns the number of lines dropped since the start.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs a line that the reducer returned as an effect.
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
