//! Settings of the prefix table.

use crate::{
    ids::ServiceName,
    units::{Millis, RangeCheck, RangeError, Tokens},
};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.prefix.services";

/// Longest time for which upstreams are believed to keep a prefix.
const KEEP_MAX_MS: u64 = 3_600_000;

/// Most tokens that an upstream is believed to keep.
const KEEP_MAX_TOKENS: u64 = 1_000_000_000;

/// Settings as written in the settings file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RawPrefixSettings {
    /// The services whose upstreams keep prefixes after the requests that brought them.
    pub services: BTreeMap<ServiceName, RawPrefixRetention>,
}

/// What the upstreams of a service keep, as written in the settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RawPrefixRetention {
    /// Longest time for which an upstream keeps a prefix that no request uses.
    pub keep_ms: u64,
    /// Tokens of such prefixes that an upstream keeps at most.
    pub keep_tokens: u64,
}

/// Validated settings of the prefix table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixSettings {
    /// The services whose upstreams keep prefixes after the requests that brought them. The upstreams of other
    /// services hold a prefix only while a request uses it.
    pub services: BTreeMap<ServiceName, PrefixRetention>,
}

/// What the upstreams of a service keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixRetention {
    /// Longest time for which an upstream keeps a prefix that no request uses.
    pub keep_ms: Millis,
    /// Tokens of such prefixes that an upstream keeps at most.
    pub keep_tokens: Tokens,
}

impl TryFrom<RawPrefixSettings> for PrefixSettings {
    type Error = RangeError;

    fn try_from(raw: RawPrefixSettings) -> Result<Self, RangeError> {
        let services = raw.services.into_iter().map(|(service, retention)| {
            PrefixRetention::try_from(retention).map(|retention| (service, retention))
        });
        Ok(Self {
            services: services.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<RawPrefixRetention> for PrefixRetention {
    type Error = RangeError;

    fn try_from(raw: RawPrefixRetention) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        let keep_tokens = check.number("keep_tokens", raw.keep_tokens, 1, KEEP_MAX_TOKENS)?;
        Ok(Self {
            keep_ms: check.span("keep_ms", raw.keep_ms, 1, KEEP_MAX_MS)?,
            keep_tokens: Tokens::new(keep_tokens),
        })
    }
}
