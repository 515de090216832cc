//! Operator commands over HTTP.

use super::OperatorClient;
use crate::CtlError;
use persimmon_core::{
    ids::OperatorName,
    operator::{OperatorCommand, OperatorReply},
};
use persimmon_io::is_final_status;
use std::net::SocketAddr;

/// Timeout of a call. `confirm` answers only after the daemon has waited for the other daemons.
const REPLY_TIMEOUT_SECS: u64 = 30;

/// HTTP status of a rejected token.
const UNAUTHORIZED: u16 = 401;

/// Sends operator commands to a daemon over HTTP.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    token: String,
    operator: OperatorName,
}

impl HttpClient {
    /// A client of the daemon whose operator interface is at `address`.
    pub fn new(address: SocketAddr, token: String, operator: OperatorName) -> Self {
        Self {
            address,
            token,
            operator,
        }
    }
}

impl OperatorClient for HttpClient {
    fn send(&self, command: &OperatorCommand) -> Result<OperatorReply, CtlError> {
        let address = self.address;
        let unexpected = |status, reason: &str| CtlError::UnexpectedAnswer {
            address,
            status,
            reason: reason.chars().take(200).collect(),
        };
        let body = serde_json::to_string(command).map_err(|e| unexpected(0, &e.to_string()))?;
        let response = minreq::post(format!("http://{address}/operator"))
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_header("X-Operator", self.operator.as_str())
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(REPLY_TIMEOUT_SECS)
            .with_follow_redirects(false)
            .send()
            .map_err(|e| CtlError::Unreachable {
                address,
                reason: e.to_string(),
            })?;
        let status = response.status_code as u16;
        if !is_final_status(status) {
            return Err(unexpected(status, "the status is none of HTTP"));
        }
        if status == UNAUTHORIZED {
            return Err(CtlError::Unauthorized { address });
        }
        let reply = serde_json::from_slice(response.as_bytes());
        reply.map_err(|_| unexpected(status, &String::from_utf8_lossy(response.as_bytes())))
    }
}
