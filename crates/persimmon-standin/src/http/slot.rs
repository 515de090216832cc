//! A listener that a fault closes and opens again.

use super::Listener;
use std::{
    mem,
    sync::{Mutex, PoisonError},
};

/// Holds a stand-in's listener while it is alive.
pub struct ListenerSlot {
    listener: Mutex<Option<Listener>>,
}

impl ListenerSlot {
    /// Holds an open listener.
    pub fn new(listener: Listener) -> Self {
        Self {
            listener: Mutex::new(Some(listener)),
        }
    }

    /// Closes it: new connections are refused.
    pub fn close(&self) {
        drop(self.replace(None));
    }

    /// Holds another listener.
    pub fn open(&self, listener: Listener) {
        drop(self.replace(Some(listener)));
    }

    fn replace(&self, listener: Option<Listener>) -> Option<Listener> {
        let mut held = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
        mem::replace(&mut held, listener)
    }
}
