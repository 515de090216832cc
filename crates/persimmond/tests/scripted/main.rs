//! Tests of a daemon with a scripted core and fake platform, peers and upstreams.

mod callers;
mod common;
mod pools;
