//! The body of a response on a connection that has a place.

use super::{places::Place, ResponseBody, TruncatedResponse};
use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// The body of a response, which tells its connection's place when it is complete or given up.
#[derive(Debug)]
pub(crate) struct PlacedBody {
    body: ResponseBody,
    place: Rc<Place>,
}

impl PlacedBody {
    /// Wraps the body of a response on the connection with this place.
    pub(crate) fn wrap(response: Response<ResponseBody>, place: &Rc<Place>) -> Response<Self> {
        let place = Rc::clone(place);
        response.map(|body| Self { body, place })
    }
}

impl Body for PlacedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PlacedBody {
    fn drop(&mut self) {
        self.place.on_answered();
    }
}
