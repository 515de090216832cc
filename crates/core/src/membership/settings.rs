//! Settings of membership.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Settings of membership as written.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawMembershipSettings {
    heartbeat_ms: Millis,
    death_ms: Millis,
    relay_ms: Millis,
    list_ms: Millis,
    domain_links_vms: u32,
    relayed_len: u32,
}

/// Settings of membership, checked.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(into = "RawMembershipSettings", try_from = "RawMembershipSettings")]
pub struct MembershipSettings(RawMembershipSettings);

impl Default for RawMembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: Millis::new(130),
            death_ms: Millis::new(1_600),
            relay_ms: Millis::new(8_000),
            list_ms: Millis::new(10_000),
            domain_links_vms: 2,
            relayed_len: 1,
        }
    }
}

impl From<MembershipSettings> for RawMembershipSettings {
    fn from(settings: MembershipSettings) -> Self {
        settings.0
    }
}

impl TryFrom<RawMembershipSettings> for MembershipSettings {
    type Error = RangeError;

    fn try_from(raw: RawMembershipSettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new("membership");
        let heartbeat_ms = raw.heartbeat_ms.get();
        check.number("heartbeat_ms", heartbeat_ms, 50, 10_000)?;
        let death_ms = raw.death_ms.get();
        check.number("death_ms", death_ms, 10 * heartbeat_ms, 60_000)?;
        check.number("relay_ms", raw.relay_ms.get(), death_ms, 120_000)?;
        check.number("list_ms", raw.list_ms.get(), 500, 600_000)?;
        let links = u64::from(raw.domain_links_vms);
        check.number("domain_links_vms", links, 1, 16)?;
        check.number("relayed_len", u64::from(raw.relayed_len), 1, 64)?;
        Ok(Self(raw))
    }
}

impl MembershipSettings {
    /// Time between two rounds inside a failure domain, each with one heartbeat.
    pub fn heartbeat(&self) -> Millis {
        self.0.heartbeat_ms
    }

    /// Silence after which a watched member, or one of the own failure domain, is dead.
    pub fn death(&self) -> Millis {
        self.0.death_ms
    }

    /// Silence after which any other member counts as dead.
    pub fn relay(&self) -> Millis {
        self.0.relay_ms
    }

    /// Time between two looks at the platform's list of VMs.
    pub fn list(&self) -> Millis {
        self.0.list_ms
    }

    /// Partners in another failure domain of a daemon that links to it.
    pub fn domain_links(&self) -> usize {
        self.0.domain_links_vms as usize
    }

    /// Most members of other failure domains told of in one heartbeat.
    pub fn relayed(&self) -> usize {
        self.0.relayed_len as usize
    }
}
