//! A caller's request before it is checked.

use bytes::Bytes;

/// A caller's request before it is checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers as they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl RawCall {
    /// The first value of a header.
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
