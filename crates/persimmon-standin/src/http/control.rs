//! The control page: `POST /faults` and `GET /counters`.

use super::{read_body, respond_error, respond_json};
use crate::{faults::Fault, StandinError};
use serde::Serialize;
use serde_json::json;
use tiny_http::{Method, Request};

/// A control page.
pub struct ControlPage<C, S> {
    /// Returns the counters.
    pub counters: C,
    /// Injects a fault.
    pub inject: S,
}

impl<C, S, T> ControlPage<C, S>
where
    C: Fn() -> T,
    S: Fn(&Fault) -> Result<(), StandinError>,
    T: Serialize,
{
    /// Serves a request of the page. Returns a request for another path.
    pub fn serve(&self, mut request: Request) -> Option<Request> {
        match (request.method(), request.url()) {
            (Method::Get, "/counters") => respond_json(request, &(self.counters)()),
            (Method::Post, "/faults") => {
                let body = read_body(&mut request);
                match serde_json::from_slice::<Fault>(&body) {
                    Err(error) => respond_error(request, 400, &error.to_string(), "not_run"),
                    Ok(fault) => match (self.inject)(&fault) {
                        Ok(()) => respond_json(request, &json!({})),
                        Err(error) => respond_error(request, 503, &error.to_string(), "unknown"),
                    },
                }
            }
            _ => return Some(request),
        }
        None
    }
}
