//! The border to the store that the platform runs.

use persimmon_core::{
    message::Member,
    watch::{Batch, StoreError, WatchCall},
};
use std::{fmt, future::Future, pin::Pin};

/// A future of the traffic thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The store that the platform runs.
pub trait MetadataStore: fmt::Debug {
    /// Asks for the entries of a topic, or what changed.
    fn watch(&self, call: WatchCall) -> LocalFuture<'_, Result<Batch, StoreError>>;

    /// Writes this daemon's entry, for its peers to find.
    fn register_member<'a>(&'a self, member: &'a Member)
        -> LocalFuture<'a, Result<(), StoreError>>;

    /// Reads the entries of all daemons.
    fn members(&self) -> LocalFuture<'_, Result<Vec<Member>, StoreError>>;

    /// Keeps a secret that all daemons share: the first one written stays.
    fn shared_secret<'a>(
        &'a self,
        name: &'a str,
        proposed: &'a [u8],
    ) -> LocalFuture<'a, Result<Vec<u8>, StoreError>>;
}
