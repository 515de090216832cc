//! Checked settings.

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

/// Shortest operators' token in characters.
const TOKEN_MIN_LEN: usize = 16;

/// A daemon's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Peers to ask first.
    pub seeds: Vec<VmRecord>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Keys towards peers.
    pub tls: TlsFiles,
    /// What operators must show.
    pub operator_token: OperatorToken,
    /// Limits of the callers' interface.
    pub limits: HttpLimits,
    /// Logs.
    pub log: LogSettings,
    /// Settings of the core's components.
    pub components: ComponentSettings,
}

/// Where a daemon listens. Port 0 takes a free one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Files with keys towards peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// The certificate of the authority.
    pub ca_file: PathBuf,
    /// This VM's certificate.
    pub cert_file: PathBuf,
    /// This VM's key.
    pub key_file: PathBuf,
}

/// The bearer token of operators. It is never shown.
#[derive(Clone, Eq, PartialEq)]
pub struct OperatorToken(String);

impl OperatorToken {
    /// Whether `shown` equals this token. The comparison takes the same time wherever the two differ.
    pub fn matches(&self, shown: &str) -> bool {
        let pairs = self.0.bytes().zip(shown.bytes());
        let differences = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
        differences == 0 && self.0.len() == shown.len()
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
            return Err(refuse("operator_token", "(hidden)", remedy));
        }
        Ok(Self(text))
    }
}

/// How logs look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// JSON lines.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// Settings of logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// How they look.
    pub format: LogFormat,
    /// The least important level that is written.
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
            vm: name("vm", raw.vm)?,
            domain: name("domain", raw.domain)?,
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
            return Err(refuse("listen.operators", raw.operators, remedy));
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
            return Err(refuse(key, file.display(), remedy));
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
            Some(other) => return Err(refuse("log.format", other, "give json or text")),
        };
        let level = raw.level.unwrap_or_else(|| "info".into());
        let remedy = "give off, error, warn, info, debug or trace";
        let parsed = level.parse();
        let level = parsed.map_err(|_| refuse("log.level", &level, remedy))?;
        Ok(Self { format, level })
    }
}

fn seeds(raw: Vec<Object<RawSeed>>) -> Result<Vec<VmRecord>, SettingError> {
    let mut known = BTreeSet::new();
    let mut seeds = Vec::new();
    for (index, Object(seed)) in raw.into_iter().enumerate() {
        let key = |field: &str| format!("seeds[{index}].{field}");
        let vm: VmId = name(&key("vm"), seed.vm)?;
        if !known.insert(vm.clone()) {
            return Err(refuse(&key("vm"), vm, "name each VM once"));
        }
        seeds.push(VmRecord {
            vm,
            domain: name(&key("domain"), seed.domain)?,
            peer_address: reachable(&key("peer_address"), seed.peer_address)?,
            state: VmState::Live,
        });
    }
    Ok(seeds)
}

pub(super) fn name<T: TryFrom<String, Error = IdError>>(
    key: &str,
    text: String,
) -> Result<T, SettingError> {
    T::try_from(text.clone()).map_err(|error| refuse(key, text, error))
}

pub(super) fn reachable(key: &str, address: SocketAddr) -> Result<SocketAddr, SettingError> {
    if address.port() == 0 || address.ip().is_unspecified() {
        let remedy = "give the IP number and port that it listens on";
        return Err(refuse(key, address, remedy));
    }
    Ok(address)
}

pub(super) fn refuse(key: &str, value: impl ToString, remedy: impl ToString) -> SettingError {
    SettingError {
        key: key.into(),
        value: value.to_string().escape_debug().to_string(),
        remedy: remedy.to_string(),
    }
}
