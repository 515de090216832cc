//! Stand-ins and cases of the third review. Each case prints what it saw and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if it couldn't run.

mod case_cold;
mod case_history;
mod case_poison;
mod case_restore;
mod case_resumed;
mod case_slow_reader;
mod http;
mod json;
mod lab;
mod server;
mod store;

use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match words[1..] {
        ["server", id, address, mode] => server::run(id, address, mode),
        ["poison", record] => case_poison::run(record, has_trouble),
        ["cold", record] => case_cold::run(record, has_trouble),
        ["history", record] => case_history::run(record, has_trouble),
        ["restore", record] => case_restore::run(record, has_trouble),
        ["resumed", record] => case_resumed::run(record, has_trouble),
        ["slow-reader", record] => case_slow_reader::run(record, has_trouble),
        _ => {
            eprintln!("usage: standin CASE RECORD");
            2
        }
    };
    exit(code);
}
