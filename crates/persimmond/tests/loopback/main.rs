//! Real daemons on loopback, as threads and as processes, with fake upstreams and platform.

mod processes;
mod threads;
mod world;
