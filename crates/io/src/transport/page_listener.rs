//! Serves the readiness and metrics pages.

use super::{accept::accept, ResponseBody};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{net::TcpListener, task::spawn_local};

/// Time limit for receiving a request head, also on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns status and text of the page at a path.
pub type Page = Rc<dyn Fn(&str) -> (StatusCode, String)>;

/// Answers every request with the page that `page` returns for its path.
pub async fn serve_pages(listener: TcpListener, page: Page) {
    loop {
        let stream = accept(&listener).await;
        let page = Rc::clone(&page);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = page(request.uri().path());
            let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
            *response.status_mut() = status;
            async { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("serving a page failed: {error}");
            }
        });
    }
}
