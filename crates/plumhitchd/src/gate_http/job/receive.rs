//! Receives the body of a request that the entry offered.

use super::Job;
use crate::gate_http::{arrival, body_intake};
use crate::task_messages::{StreamEvent, TaskMessage};
use bytes::{Bytes, BytesMut};
use node::admission;
use std::time::Duration;
use wire::{Body, RefuseReason, ResetReason};

/// Interval at which a request that waits for its body checks whether other senders
/// have stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Job {
    /// Receives the rest of the body and reports that the request has arrived.
    /// Returns false if the request ends before that.
    pub(super) async fn receive_body(&mut self) -> bool {
        let deadline = Duration::from_millis(self.open.deadline_ms);
        let body_len = self.open.body_len.unwrap_or_default();
        let missing = body_len.saturating_sub(self.upload_offset);
        if !self.has_memory_for(missing) {
            self.log_refusal(RefuseReason::NoSlot, self.daemon.load());
            self.reply_sender.refuse(RefuseReason::NoSlot);
            return false;
        }
        let stream = body_intake::Stream {
            link: self.reply_sender.link.clone(),
            id: self.reply_sender.stream,
            window: self.window.clone(),
        };
        self.daemon.body_intake.add(self.ticket, stream, missing);
        let received = tokio::time::timeout(deadline, self.collect_body()).await;
        self.daemon.body_intake.remove(self.ticket);
        match received {
            Ok(Some(body)) => {
                self.open.body = body;
                self.open.end = true;
                self.reduce_times_left();
                let arrival = arrival(self.ticket, self.reply_sender.link.id(), &self.open);
                self.report(admission::Event::Arrived(arrival));
                true
            }
            Ok(None) => false,
            Err(_) => {
                self.log_refusal(RefuseReason::Deadline, self.daemon.load());
                self.reply_sender.refuse(RefuseReason::Deadline);
                false
            }
        }
    }

    /// Holds memory for bytes of the body; returns whether there was any.
    fn has_memory_for(&mut self, bytes: u64) -> bool {
        usize::try_from(bytes).is_ok_and(|bytes| self.body_held.try_grow(bytes))
    }

    /// Returns the complete body, or `None` if the entry cancels the request or is
    /// lost.
    async fn collect_body(&mut self) -> Option<Bytes> {
        let mut body = BytesMut::from(self.open.body.as_ref());
        let mut stall_check = tokio::time::interval(STALL_CHECK_INTERVAL);
        loop {
            let message = tokio::select! {
                message = self.rx.recv() => message?,
                _ = stall_check.tick() => {
                    self.daemon.body_intake.check_stalled();
                    continue;
                }
            };
            let TaskMessage::Stream(_, event) = message else {
                continue;
            };
            let StreamEvent::Frame(frame) = event else {
                return None;
            };
            match *frame {
                Body::Data(data) if data.offset == body.len() as u64 => {
                    let bytes = data.bytes.len() as u64;
                    self.daemon.body_intake.record_arrival(self.ticket, bytes);
                    body.extend_from_slice(&data.bytes);
                    if data.end {
                        return Some(body.freeze());
                    }
                }
                Body::Data(_) => {
                    self.reply_sender.reset(ResetReason::Corrupt);
                    return None;
                }
                Body::Cancel(_) => return None,
                _ => {}
            }
        }
    }
}
