//! The metadata store of the platform, behind a trait.

use persimmon_core::{
    message::Member,
    watch::{Batch, StoreError, WatchCall},
};
use std::{fmt, future::Future, pin::Pin};

/// A future that runs on the traffic thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The metadata store that the platform runs.
pub trait MetadataStore: fmt::Debug {
    /// Reads the entries of a topic, or their changes.
    fn watch(&self, call: WatchCall) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Writes this daemon's entry, by which its peers find it.
    fn register_member<'a>(&'a self, member: &'a Member)
        -> LocalFuture<'a, Result<(), StoreError>>;

    /// Reads the entries of all daemons.
    fn members(&self) -> LocalFuture<'_, Result<Vec<Member>, StoreError>>;

    /// Stores `proposed` as a secret that all daemons share, unless one is stored already. Returns
    /// the stored secret.
    fn shared_secret<'a>(
        &'a self,
        name: &'a str,
        proposed: &'a [u8],
    ) -> LocalFuture<'a, Result<Vec<u8>, StoreError>>;
}
