//! Validated settings of a daemon.

use super::{
    components::RawComponents,
    object::Object,
    raw::{RawListen, RawLog, RawSeed, RawTls},
    RawSettings, SettingError,
};
use crate::http::HttpLimits;
use log::LevelFilter;
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{FailureDomain, IdError, VmId},
    platform::{VmRecord, VmState},
};
use std::{collections::BTreeSet, fmt, net::SocketAddr, path::PathBuf};

/// Shortest operator token, in characters.
const TOKEN_MIN_LEN: usize = 16;

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// The VM's failure domain.
    pub domain: FailureDomain,
    /// Addresses that the daemon listens on.
    pub listen: ListenAddresses,
    /// Peers to contact first.
    pub seeds: Vec<VmRecord>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Files of the TLS keys for connections to peers.
    pub tls: TlsFiles,
    /// Bearer token that operators must send.
    pub operator_token: OperatorToken,
    /// Limits of the callers' HTTP interface.
    pub limits: HttpLimits,
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the core's components.
    pub components: ComponentSettings,
}

/// Addresses that a daemon listens on. Port 0 takes a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Commands of operators.
    pub operators: SocketAddr,
    /// Connections of peers.
    pub peers: SocketAddr,
}

/// Files of the TLS keys for connections to peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Certificate of the certificate authority.
    pub ca_file: PathBuf,
    /// Certificate of this VM.
    pub cert_file: PathBuf,
    /// Private key of this VM.
    pub key_file: PathBuf,
}

/// The bearer token of operators. `Debug` and errors don't show it.
#[derive(Clone, Eq, PartialEq)]
pub struct OperatorToken(String);

impl OperatorToken {
    /// Whether `other` equals this token. The comparison takes the same time wherever the two differ.
    pub fn matches(&self, other: &str) -> bool {
        let pairs = self.0.bytes().zip(other.bytes());
        let differences = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
        differences == 0 && self.0.len() == other.len()
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(hidden)")
    }
}

impl TryFrom<String> for OperatorToken {
    type Error = SettingError;

    fn try_from(text: String) -> Result<Self, SettingError> {
        let is_plain = text.chars().all(|c| c.is_ascii_graphic());
        if text.len() < TOKEN_MIN_LEN || !is_plain {
            let remedy = "give at least 16 ASCII characters without spaces";
            return Err(invalid("operator_token", "(hidden)", remedy));
        }
        Ok(Self(text))
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Plain text for human readers.
    Text,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LevelFilter,
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let components = RawComponents {
            config: raw.config.0,
            entry: raw.entry.0,
            grant: raw.grant.0,
            membership: raw.membership.0,
            ownership: raw.ownership.0,
            placement: raw.placement.0,
            plan: raw.plan.0,
            routing: raw.routing.0,
        };
        Ok(Self {
            vm: parse_name("vm", raw.vm)?,
            domain: parse_name("domain", raw.domain)?,
            listen: raw.listen.0.try_into()?,
            seeds: seeds(raw.seeds)?,
            platform: reachable("platform", raw.platform)?,
            tls: raw.tls.0.try_into()?,
            operator_token: raw.operator_token.try_into()?,
            limits: raw.limits.0.try_into()?,
            log: raw.log.0.try_into()?,
            components: components.try_into()?,
        })
    }
}

impl TryFrom<RawListen> for ListenAddresses {
    type Error = SettingError;

    fn try_from(raw: RawListen) -> Result<Self, SettingError> {
        if raw.callers.port() != 0 && raw.callers == raw.operators {
            let remedy = "give operators an address of their own";
            return Err(invalid("listen.operators", raw.operators, remedy));
        }
        Ok(Self {
            callers: raw.callers,
            operators: raw.operators,
            peers: raw.peers,
        })
    }
}

impl TryFrom<RawTls> for TlsFiles {
    type Error = SettingError;

    fn try_from(raw: RawTls) -> Result<Self, SettingError> {
        let files = [
            ("tls.ca_file", &raw.ca_file),
            ("tls.cert_file", &raw.cert_file),
            ("tls.key_file", &raw.key_file),
        ];
        if let Some((key, file)) = files.iter().find(|(_, file)| file.as_os_str().is_empty()) {
            let remedy = "give a path: `persimmonctl keys new` makes the files";
            return Err(invalid(key, file.display(), remedy));
        }
        Ok(Self {
            ca_file: raw.ca_file,
            cert_file: raw.cert_file,
            key_file: raw.key_file,
        })
    }
}

impl TryFrom<RawLog> for LogSettings {
    type Error = SettingError;

    fn try_from(raw: RawLog) -> Result<Self, SettingError> {
        let format = match raw.format.as_deref() {
            None | Some("json") => LogFormat::Json,
            Some("text") => LogFormat::Text,
            Some(other) => return Err(invalid("log.format", other, "give json or text")),
        };
        let level = raw.level.unwrap_or_else(|| "info".into());
        let remedy = "give off, error, warn, info, debug or trace";
        let parsed = level.parse();
        let level = parsed.map_err(|_| invalid("log.level", &level, remedy))?;
        Ok(Self { format, level })
    }
}

fn seeds(raw: Vec<Object<RawSeed>>) -> Result<Vec<VmRecord>, SettingError> {
    let mut seen = BTreeSet::new();
    let mut seeds = Vec::new();
    for (index, Object(seed)) in raw.into_iter().enumerate() {
        let key = |field: &str| format!("seeds[{index}].{field}");
        let vm: VmId = parse_name(&key("vm"), seed.vm)?;
        if !seen.insert(vm.clone()) {
            return Err(invalid(&key("vm"), vm, "name each VM once"));
        }
        seeds.push(VmRecord {
            vm,
            domain: parse_name(&key("domain"), seed.domain)?,
            peer_address: reachable(&key("peer_address"), seed.peer_address)?,
            state: VmState::Live,
        });
    }
    Ok(seeds)
}

/// Parses the name at `key`.
pub(super) fn parse_name<T: TryFrom<String, Error = IdError>>(
    key: &str,
    text: String,
) -> Result<T, SettingError> {
    T::try_from(text.clone()).map_err(|error| invalid(key, text, error))
}

/// Checks that peers and clients can connect to `address`: port and IP must be specific.
pub(super) fn reachable(key: &str, address: SocketAddr) -> Result<SocketAddr, SettingError> {
    if address.port() == 0 || address.ip().is_unspecified() {
        let remedy = "give the IP number and port that it listens on";
        return Err(invalid(key, address, remedy));
    }
    Ok(address)
}

/// The error for `value` of `key`, with control characters of the value escaped.
pub(super) fn invalid(key: &str, value: impl ToString, remedy: impl ToString) -> SettingError {
    SettingError {
        key: key.into(),
        value: value.to_string().escape_debug().to_string(),
        remedy: remedy.to_string(),
    }
}
