//! Settings of membership.

use crate::units::{Millis, RangeCheck, RangeError};
use serde::{Deserialize, Serialize};

/// Settings of membership as deserialised, before the range checks.
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

/// Settings of membership, with all values in range.
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
    /// Interval of gossip rounds inside a failure domain; a daemon sends one heartbeat per round.
    pub fn heartbeat_interval(&self) -> Millis {
        self.0.heartbeat_ms
    }

    /// Silence after which a watched peer or a member of the same failure domain counts as dead.
    pub fn failure_timeout(&self) -> Millis {
        self.0.death_ms
    }

    /// Silence after which any other member counts as dead. Its signs of life are relayed by
    /// others.
    pub fn relayed_timeout(&self) -> Millis {
        self.0.relay_ms
    }

    /// Interval at which the platform's list of VMs is requested.
    pub fn vm_list_interval(&self) -> Millis {
        self.0.list_ms
    }

    /// Number of partners, in another failure domain, of a daemon that links to the domain.
    pub fn domain_links(&self) -> usize {
        self.0.domain_links_vms as usize
    }

    /// Number of remote members that a heartbeat relays in rotation.
    pub fn max_relayed_members(&self) -> usize {
        self.0.relayed_len as usize
    }
}
