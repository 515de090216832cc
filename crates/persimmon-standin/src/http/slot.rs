//! A listener that faults close and open again.

use super::Listener;
use std::{
    mem,
    sync::{Mutex, PoisonError},
};

/// Holds a stand-in's listener while the stand-in is alive.
pub struct ListenerSlot {
    listener: Mutex<Option<Listener>>,
}

impl ListenerSlot {
    /// Creates a slot with an open listener.
    pub fn new(listener: Listener) -> Self {
        Self {
            listener: Mutex::new(Some(listener)),
        }
    }

    /// Closes the listener, so that new connections are refused.
    pub fn close(&self) {
        drop(self.replace(None));
    }

    /// Replaces the listener.
    pub fn open(&self, listener: Listener) {
        drop(self.replace(Some(listener)));
    }

    fn replace(&self, listener: Option<Listener>) -> Option<Listener> {
        let mut held = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
        mem::replace(&mut held, listener)
    }
}
