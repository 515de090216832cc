//! A caller's request before validation.

use bytes::Bytes;

/// A caller's request before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawCall {
    /// HTTP method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

impl RawCall {
    /// The first value of header `name`, whose case does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
