//! Writes streamed responses.

use super::run_guard::RunGuard;
use crate::{caller::ResponseSpec, testbed::no_answer::NoAnswer};
use bytes::Bytes;
use http_body_util::channel::Sender;
use tokio::time::{sleep, sleep_until, Instant};

/// Beginning of an event, as which a stream ends that is broken off without framing.
const EVENT_PART: &[u8] = b"id: ";

/// Writes the events of one streamed response.
pub(super) struct EventWriter {
    pub(super) guard: RunGuard,
    pub(super) response_spec: ResponseSpec,
    pub(super) first_index: u64,
    pub(super) truncates: bool,
    /// Whether the stream has a framing. Without one, it is broken off within an event, and ends with its connection.
    pub(super) is_framed: bool,
    pub(super) deadline: Instant,
}

impl EventWriter {
    /// Writes the stream. Aborts it where the upstream stops, the deadline passes, or a grey failure
    /// truncates it.
    pub(super) async fn write(self, mut sender: Sender<Bytes, NoAnswer>) {
        let mut ended = self.guard.incarnation.ended.subscribe();
        let complete = tokio::select! {
            complete = self.write_events(&mut sender) => complete,
            _ = ended.wait_for(|ended| *ended) => false,
            () = sleep_until(self.deadline) => false,
        };
        match (complete, self.is_framed) {
            (true, _) => {}
            (false, true) => sender.abort(NoAnswer),
            (false, false) => {
                // Fails where the caller is gone.
                let _ = sender.send_data(Bytes::from_static(EVENT_PART)).await;
            }
        }
    }

    /// Writes all events. Returns false where the caller is gone or the stream is truncated.
    async fn write_events(&self, sender: &mut Sender<Bytes, NoAnswer>) -> bool {
        for event in self.first_index..=self.response_spec.events_len {
            let data = self.response_spec.event(&self.guard.request_id, event);
            if sender.send_data(data).await.is_err() {
                return false;
            }
            if self.truncates && event > self.response_spec.events_len / 2 {
                return false;
            }
            sleep(self.response_spec.pause_ms.duration()).await;
        }
        true
    }
}
