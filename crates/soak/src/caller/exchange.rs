//! One request on one connection.

use super::Script;
use crate::{
    history::{Content, DaemonIndex, History, Observation},
    world::HOST,
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

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond its deadline after which a caller without a word leaves.
const PATIENCE: Duration = Duration::from_secs(2);

/// A connection to a daemon.
pub(crate) struct Connection {
    pub(crate) daemon: DaemonIndex,
    sender: SendRequest<Full<Bytes>>,
}

/// What is asked.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub(crate) tag: Arc<str>,
    pub(crate) kind: CallKind,
    pub(crate) route: Arc<str>,
    pub(crate) key: Arc<str>,
    pub(crate) deadline_ms: Millis,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) script: Script,
    pub(crate) leaves_after_ms: Option<Millis>,
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
            // Its end shows in the requests on it.
            let _ = connection.await;
        });
        Some(Self { daemon, sender })
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Asks and waits for the end. False where the connection is of no more use.
    pub(crate) async fn ask(&mut self, question: &Question, history: &History) -> bool {
        let Some(request) = question.request() else {
            return false;
        };
        let tag = Arc::clone(&question.tag);
        history.note(Observation::Asked {
            tag: Arc::clone(&tag),
            daemon: self.daemon,
            kind: question.kind,
            route: Arc::clone(&question.route),
            key: Arc::clone(&question.key),
            deadline_ms: question.deadline_ms,
        });
        let patience = question.deadline_ms.duration() + PATIENCE;
        let leaves = question.leaves_after_ms.map_or(patience, Millis::duration);
        tokio::select! {
            kept = self.exchange(question, request, history) => kept,
            () = sleep(leaves) => {
                history.note(Observation::Left { tag });
                false
            }
        }
    }

    async fn exchange(
        &mut self,
        question: &Question,
        request: Request<Full<Bytes>>,
        history: &History,
    ) -> bool {
        let tag = Arc::clone(&question.tag);
        let Ok(response) = self.sender.send_request(request).await else {
            history.note(Observation::Closed { tag });
            return false;
        };
        let (head, mut body) = response.into_parts();
        let mut got = BytesMut::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => got.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        history.note(Observation::Answered {
            tag,
            status: head.status.as_u16(),
            content: question.judge(head.status.is_success(), &got, whole),
        });
        let closes = head.headers.get(header::CONNECTION);
        whole && closes.is_none_or(|value| value != "close")
    }
}

impl Question {
    fn streams(&self) -> bool {
        matches!(self.kind, CallKind::Streaming { .. })
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let prompt = self.streams().then_some(PromptSize {
            prompt_tokens: self.prompt_tokens,
            output_tokens: Tokens::new(self.script.events_len * 30),
        });
        let asks = self.kind == CallKind::Idempotent;
        let path = self.script.path(&self.route);
        let head = CallerRequest {
            request_id: &self.tag,
            method: if asks { Method::GET } else { Method::POST },
            host: HOST,
            path: &path,
            key: &self.key,
            deadline_ms: self.deadline_ms,
            prompt,
        };
        let body = if asks {
            Bytes::new()
        } else {
            Bytes::from_static(b"a question")
        };
        head.head().body(Full::new(body)).ok()
    }

    /// Judges what came as the body of an answer.
    fn judge(&self, success: bool, got: &[u8], whole: bool) -> Content {
        if !success {
            return if whole { Content::Whole } else { Content::Cut };
        }
        let right = if self.streams() {
            self.script.stream(&self.tag)
        } else {
            self.script.whole(&self.tag)
        };
        match (got == right, whole) {
            (true, true) => Content::Whole,
            (_, false) if right.starts_with(got) => Content::Cut,
            _ => Content::Wrong,
        }
    }
}
