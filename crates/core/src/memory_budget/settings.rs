//! Settings of the memory budget.

use crate::units::{ByteCount, Millis, RangeCheck, RangeError};
use serde::Deserialize;

/// Name of the settings section, used in errors.
const SECTION: &str = "dispatch.memory";

/// Memory of a daemon that holds nothing for callers: 60 MB resident on a quiet day, and a margin for the
/// allocator.
const PROCESS_MB: u64 = 64;

/// Smallest budget: 200 connections and a few bodies.
const BUDGET_MIN_MB: u64 = 8;

/// Largest memory limit of a VM that is believed.
const VM_LIMIT_MAX_MB: u64 = 1 << 20;

/// Share of what the process leaves of the VM's memory that is the budget, if the settings give none. The rest is
/// for what is not counted: the allocator's fragments, tables and the buffers of peers' links.
const BUDGET_PERCENT: u64 = 75;

/// Share of what the budget leaves of the VM's memory that the kernel may hold for callers' sockets. The rest is for
/// the process itself.
const SOCKETS_PERCENT: u64 = 62;

/// Range of the time after which a caller that takes no bytes is disconnected.
const UNREAD_TIMEOUT_MIN_MS: u64 = 500;
const UNREAD_TIMEOUT_MAX_MS: u64 = 600_000;

/// Largest `upstream_min_kib`.
const UPSTREAM_MIN_MAX_KB: u64 = 1 << 20;

const fn megabytes(mb: u64) -> ByteCount {
    ByteCount::new(mb << 20)
}

/// Memory limit of a VM whose settings state none: that of the smallest VMs.
const DEFAULT_VM_LIMIT_MB: u64 = 160;

/// Settings as written in the settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawMemorySettings {
    /// Memory limit of the VM, in MiB.
    pub vm_limit_mib: u64,
    /// What the daemon may hold for callers, upstreams and peers; none for three quarters of what the process
    /// itself leaves of the VM's memory.
    #[serde(default)]
    pub budget_mib: Option<u64>,
    /// Time after which a caller that takes no bytes of its response is disconnected.
    #[serde(default = "default_unread_timeout_ms")]
    pub unread_timeout_ms: u64,
    /// Size, in KiB, of the requests in flight that every upstream is assumed to bear.
    #[serde(default = "default_upstream_min_kib")]
    pub upstream_min_kib: u64,
}

const fn default_unread_timeout_ms() -> u64 {
    20_000
}

const fn default_upstream_min_kib() -> u64 {
    1_024
}

/// Validated settings of the memory budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemorySettings {
    /// What the daemon may hold for callers, upstreams and peers.
    pub budget_bytes: ByteCount,
    /// What the kernel may hold for callers' sockets: a share of what the budget leaves of the VM's memory.
    pub sockets_bytes: ByteCount,
    /// Time after which a caller that takes no bytes of its response is disconnected.
    pub unread_timeout_ms: Millis,
    /// Size, in KiB, of the requests in flight that every upstream is assumed to bear.
    pub upstream_min_bytes: ByteCount,
}

impl Default for MemorySettings {
    /// The settings where the section is absent.
    fn default() -> Self {
        let budget_mib = default_budget_mib(DEFAULT_VM_LIMIT_MB - PROCESS_MB);
        Self {
            budget_bytes: megabytes(budget_mib),
            sockets_bytes: sockets_bytes(DEFAULT_VM_LIMIT_MB, budget_mib),
            unread_timeout_ms: Millis::new(default_unread_timeout_ms()),
            upstream_min_bytes: ByteCount::new(default_upstream_min_kib() << 10),
        }
    }
}

const fn default_budget_mib(left_mb: u64) -> u64 {
    left_mb * BUDGET_PERCENT / 100
}

const fn sockets_bytes(vm_limit_mib: u64, budget_mib: u64) -> ByteCount {
    ByteCount::new(((vm_limit_mib - budget_mib) << 20) / 100 * SOCKETS_PERCENT)
}

impl TryFrom<RawMemorySettings> for MemorySettings {
    type Error = RangeError;

    fn try_from(raw: RawMemorySettings) -> Result<Self, RangeError> {
        let check = RangeCheck::new(SECTION);
        let vm_limit_mib = check.number(
            "vm_limit_mib",
            raw.vm_limit_mib,
            PROCESS_MB + BUDGET_MIN_MB * 2,
            VM_LIMIT_MAX_MB,
        )?;
        let left_mb = vm_limit_mib - PROCESS_MB;
        let budget_mib = raw.budget_mib.unwrap_or(default_budget_mib(left_mb));
        let unread_timeout_ms = check.span(
            "unread_timeout_ms",
            raw.unread_timeout_ms,
            UNREAD_TIMEOUT_MIN_MS,
            UNREAD_TIMEOUT_MAX_MS,
        )?;
        let min_kb = check.number(
            "upstream_min_kib",
            raw.upstream_min_kib,
            1,
            UPSTREAM_MIN_MAX_KB,
        )?;
        let budget_mib = check.number("budget_mib", budget_mib, BUDGET_MIN_MB, left_mb)?;
        Ok(Self {
            budget_bytes: megabytes(budget_mib),
            sockets_bytes: sockets_bytes(vm_limit_mib, budget_mib),
            unread_timeout_ms,
            upstream_min_bytes: ByteCount::new(min_kb << 10),
        })
    }
}
