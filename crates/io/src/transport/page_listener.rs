//! Serves the readiness and metrics pages.

use super::{accept::accept, places::Places, socket, ResponseBody};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Time limit for receiving a request head, also on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a client that takes no bytes of a page is disconnected.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Most connections to a page. The oldest one is closed for another: a load balancer's check must find a place.
const CONNECTIONS_MAX_LEN: usize = 64;

/// Longest head of a request for a page.
const HEAD_MAX_BYTES: usize = 8 << 10;

/// Returns status and text of the page at a path.
pub type Page = Rc<dyn Fn(&str) -> (StatusCode, String)>;

/// Answers every request with the page that `page` returns for its path.
pub async fn serve_pages(listener: TcpListener, page: Page) {
    let places: Rc<Places> = Rc::default();
    loop {
        let stream = accept(&listener).await;
        // There is always one to close: a place stays that of a connection without a request.
        while places.len() >= CONNECTIONS_MAX_LEN && places.make_room().await {}
        let (place, page) = (places.take(), Rc::clone(&page));
        spawn_local(async move {
            tokio::select! {
                () = serve(stream, page) => {}
                () = place.evicted() => {}
            }
        });
    }
}

async fn serve(stream: TcpStream, page: Page) {
    if let Err(error) = socket::set_held_caller_options(&stream, UNREAD_TIMEOUT) {
        log::debug!("connection closed: its socket options can't be set: {error}");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let (status, text) = page(request.uri().path());
        let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
        *response.status_mut() = status;
        async { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("serving a page failed: {error}");
    }
}
