//! A caller's connection: sends requests and checks the answers.

use super::ResponseSpec;
use crate::{
    history::{BodyCheck, DaemonIndex, History, Observation},
    testbed::HOST,
};
use bytes::{Bytes, BytesMut};
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    catalog::CallKind,
    dispatch::PromptSize,
    units::{Millis, Tokens},
};
use persimmon_platform::stub_formats::CallerRequest;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond its deadline after which a caller without an answer disconnects.
const GIVE_UP_GRACE: Duration = Duration::from_secs(2);

/// An HTTP/1.1 connection to a daemon.
pub(crate) struct Connection {
    pub(crate) daemon: DaemonIndex,
    sender: SendRequest<Full<Bytes>>,
}

/// A request to send, and the response expected.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) request_id: Arc<str>,
    pub(crate) kind: CallKind,
    pub(crate) route: Arc<str>,
    pub(crate) key: Arc<str>,
    pub(crate) deadline_ms: Millis,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) response_spec: ResponseSpec,
    pub(crate) disconnect_after_ms: Option<Millis>,
}

impl Connection {
    pub(crate) async fn open(daemon: DaemonIndex, address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The requests on the connection see its errors.
            let _ = connection.await;
        });
        Some(Self { daemon, sender })
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for its end. Returns false where the connection can't be reused.
    pub(crate) async fn send(&mut self, spec: &RequestSpec, history: &History) -> bool {
        let Some(request) = spec.http_request() else {
            return false;
        };
        let request_id = Arc::clone(&spec.request_id);
        history.record(Observation::RequestSent {
            request_id: Arc::clone(&request_id),
            daemon: self.daemon,
            kind: spec.kind,
            route: Arc::clone(&spec.route),
            key: Arc::clone(&spec.key),
            deadline_ms: spec.deadline_ms,
        });
        let give_up_after = spec.deadline_ms.duration() + GIVE_UP_GRACE;
        let leave_after = spec
            .disconnect_after_ms
            .map_or(give_up_after, Millis::duration);
        tokio::select! {
            reusable = self.exchange(spec, request, history) => reusable,
            () = sleep(leave_after) => {
                history.record(Observation::CallerLeft { request_id });
                false
            }
        }
    }

    async fn exchange(
        &mut self,
        spec: &RequestSpec,
        request: Request<Full<Bytes>>,
        history: &History,
    ) -> bool {
        let request_id = Arc::clone(&spec.request_id);
        let Ok(response) = self.sender.send_request(request).await else {
            history.record(Observation::ConnectionClosed { request_id });
            return false;
        };
        let (head, mut body) = response.into_parts();
        let mut received = BytesMut::new();
        let mut complete = true;
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => received.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        history.record(Observation::Answered {
            request_id,
            status: head.status.as_u16(),
            body: spec.check_body(head.status.is_success(), &received, complete),
        });
        let connection_header = head.headers.get(header::CONNECTION);
        complete && connection_header.is_none_or(|value| value != "close")
    }
}

impl RequestSpec {
    fn is_streaming(&self) -> bool {
        matches!(self.kind, CallKind::Streaming { .. })
    }

    fn http_request(&self) -> Option<Request<Full<Bytes>>> {
        let prompt = self.is_streaming().then_some(PromptSize {
            prompt_tokens: self.prompt_tokens,
            output_tokens: Tokens::new(self.response_spec.events_len * 30),
        });
        let is_get = self.kind == CallKind::Idempotent;
        let path = self.response_spec.path(&self.route);
        let request = CallerRequest {
            request_id: &self.request_id,
            method: if is_get { Method::GET } else { Method::POST },
            host: HOST,
            path: &path,
            key: &self.key,
            deadline_ms: self.deadline_ms,
            prompt,
        };
        let body = if is_get {
            Bytes::new()
        } else {
            Bytes::from_static(b"a question")
        };
        request.head().body(Full::new(body)).ok()
    }

    /// Compares the body received with the expected one. A failure's body is checked for its end only.
    fn check_body(&self, success: bool, received: &[u8], complete: bool) -> BodyCheck {
        if !success {
            return if complete {
                BodyCheck::Complete
            } else {
                BodyCheck::Truncated
            };
        }
        let expected = if self.is_streaming() {
            self.response_spec.stream_body(&self.request_id)
        } else {
            self.response_spec.plain_body(&self.request_id)
        };
        match (received == expected, complete) {
            (true, true) => BodyCheck::Complete,
            (_, false) if expected.starts_with(received) => BodyCheck::Truncated,
            _ => BodyCheck::Wrong,
        }
    }
}
