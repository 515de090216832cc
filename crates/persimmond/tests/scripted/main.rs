//! A daemon with a scripted core and fakes at its borders.

mod callers;
mod common;
mod pools;
