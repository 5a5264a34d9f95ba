//! Writes batches of lines to an output that may accept only a part of them at once.

use std::io::{ErrorKind, Write};
use std::thread;
use std::time::Duration;

/// Maximum size of a write that a pipe accepts as a whole, so that no other writer's
/// bytes come between (`PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4096;
/// Time before a write is tried again that a full non-blocking pipe refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Writes whole lines.
#[derive(Debug)]
pub(super) struct LineWriter<W> {
    out: W,
    /// Whether the last line written lacks its end.
    cut: bool,
}

impl<W: Write> LineWriter<W> {
    pub(super) fn new(out: W) -> Self {
        Self { out, cut: false }
    }

    /// Writes a batch of lines, and waits while the output is full. Returns the number
    /// of lines that are lost because the output failed otherwise, as when its reader
    /// has gone.
    pub(super) fn write(&mut self, lines: &[u8]) -> u64 {
        if self.cut && self.write_all(b"\n") == 1 {
            self.cut = false;
        }
        if self.cut {
            return line_count(lines);
        }
        let written = self.write_all(lines);
        let lost = &lines[written..];
        self.cut = !lost.is_empty() && lines[..written].last().is_some_and(|b| *b != b'\n');
        line_count(lost)
    }

    /// Writes bytes until the output fails; returns the number of bytes written.
    fn write_all(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() {
            match self.out.write(next_piece(&bytes[written..])) {
                Ok(0) => return written,
                Ok(n) => written += n,
                Err(err) => match err.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock => thread::sleep(RETRY_INTERVAL),
                    _ => return written,
                },
            }
        }
        written
    }
}

/// Returns as many whole lines as fit into an atomic write, or the first line if it is
/// longer.
fn next_piece(bytes: &[u8]) -> &[u8] {
    let fitting = &bytes[..bytes.len().min(ATOMIC_WRITE_BYTES)];
    let end = fitting.iter().rposition(|b| *b == b'\n');
    let end = end.or_else(|| bytes.iter().position(|b| *b == b'\n'));
    &bytes[..end.map_or(bytes.len(), |end| end + 1)]
}

fn line_count(lines: &[u8]) -> u64 {
    lines.iter().filter(|b| **b == b'\n').count() as u64
}
