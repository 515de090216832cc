//! Batches messages to all peers. In a large fleet each message wakes every peer, so only the report
//! of a started request, which keeps other daemons off the upstream's slot, is sent at once.

use super::{
    dispatcher::{Dispatcher, Out},
    extension_peers::encode_extension,
    DispatchAction, DispatchMessage, ExtensionFrame, ExtensionMessage,
};
use crate::units::{Millis, Time};

/// Time for which other messages wait to be batched. Peers learn that much later of a free slot;
/// the delay is a tenth of the duration of a short answer.
const BATCH_DELAY_MS: Millis = Millis::new(200);

/// Number of peers that the daemon notifies in a millisecond. The delay by the number of peers lets
/// the request itself leave first.
const PEERS_NOTIFIED_PER_MS: u64 = 20;

/// Shortest time between two batches that are due for promised retry times. It bounds the messages of a daemon
/// that refuses many calls.
const PROMISES_PAUSE_MS: Millis = Millis::new(2);

/// Messages to all peers that wait to be sent as one batch.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    messages: Vec<DispatchMessage>,
    extensions: Vec<ExtensionFrame>,
    due_at: Option<Time>,
    promises_sent_at: Time,
}

impl Outbox {
    /// When the batch is due.
    pub(super) const fn due_at(&self) -> Option<Time> {
        self.due_at
    }

    /// Sends the batch at this time at the latest.
    pub(super) fn set_due(&mut self, at: Time) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.min(at)));
    }
}

impl Dispatcher {
    /// Sends a message to all peers at once, together with the messages that wait.
    pub(super) fn notify_now(&mut self, now: Time, message: DispatchMessage) {
        let pause_ms = Millis::new(self.peers.len() as u64 / PEERS_NOTIFIED_PER_MS);
        self.push_message(now + pause_ms, message);
    }

    /// Queues a message to all peers for the next batch.
    pub(super) fn notify_batched(&mut self, now: Time, message: DispatchMessage) {
        self.push_message(now + BATCH_DELAY_MS, message);
    }

    fn push_message(&mut self, at: Time, message: DispatchMessage) {
        self.outbox.messages.push(message);
        self.outbox.set_due(at);
    }

    /// Makes the batch due early for a promised retry time: some callers repeat at once, and reach another daemon.
    pub(super) fn flush_outbox_soon(&mut self, now: Time) {
        let pause_ms = Millis::new(self.peers.len() as u64 / PEERS_NOTIFIED_PER_MS);
        let next_at = self.outbox.promises_sent_at + PROMISES_PAUSE_MS;
        self.outbox.set_due((now + pause_ms).max(next_at));
    }

    /// Has the next batch sent in time for samples of speeds that peers have not been told.
    pub(super) fn schedule_speed_report(&mut self, now: Time) {
        if self.outbox.due_at.is_none() && self.speeds.has_unreported() {
            self.outbox.set_due(now + BATCH_DELAY_MS);
        }
    }

    /// Queues a message of a kind that not all builds know for the next batch.
    pub(super) fn notify_extension(&mut self, out: &mut Out<'_>, message: &ExtensionMessage) {
        if let Some(frame) = encode_extension(out, message) {
            self.outbox.extensions.push(frame);
            self.outbox.set_due(out.now + BATCH_DELAY_MS);
        }
    }

    /// Sends the batch if it is due.
    pub(super) fn progress_outbox(&mut self, out: &mut Out<'_>) {
        if self.outbox.due_at.is_some_and(|due_at| due_at <= out.now) {
            self.report_workspace_work(out);
            self.report_speeds(out);
            self.flush_outbox(out);
            self.schedule_work_report(out.now);
        }
    }

    fn flush_outbox(&mut self, out: &mut Out<'_>) {
        self.queue_promise_reports(out);
        self.report_prefixes(out, true);
        self.outbox.due_at = None;
        self.outbox.promises_sent_at = out.now;
        if self.promises.has_unreported() {
            self.flush_outbox_soon(out.now);
        }
        let mut messages = std::mem::take(&mut self.outbox.messages);
        let extensions = std::mem::take(&mut self.outbox.extensions);
        if self.peers.is_empty() {
            return;
        }
        for frame in extensions {
            if self.extension_peers.all_read(self.peers.keys(), frame.kind) {
                messages.push(DispatchMessage::Extension(frame));
            } else {
                self.notify_readers(out, &frame);
            }
        }
        let message = match messages.len() {
            0 => return,
            1 => messages.swap_remove(0),
            _ => DispatchMessage::Batch(messages),
        };
        out.act(DispatchAction::Notify { to: None, message });
    }
}
