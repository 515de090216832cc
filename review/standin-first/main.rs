//! Stand-ins and cases of the review. One program: `standin CASE FOLDER GATEWAY`.

mod cases;
mod client;
mod deployment;
mod http;
mod json;
mod record;
mod server;
mod store;

use cases::crashing_part;
use std::{path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, gateway] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER GATEWAY");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = cases::Setup {
        folder: PathBuf::from(folder),
        gateway: PathBuf::from(gateway),
        trouble,
    };
    let outcome = match case.as_str() {
        "restored-key" => cases::restored_key::run(&setup),
        "slow-reader" => cases::slow_reader::run(&setup),
        "crashing-part-of-many" => crashing_part::run(&setup, &crashing_part::MANY_PARTS),
        "crashing-part-first-event" => crashing_part::run(&setup, &crashing_part::FIRST_EVENT),
        "crashing-part-burst" => crashing_part::run(&setup, &crashing_part::BURST),
        other => Err(format!("no case {other}")),
    };
    match outcome {
        Ok(true) => {
            println!("the rule held");
            exit(0)
        }
        Ok(false) => {
            println!("the rule was broken");
            exit(1)
        }
        Err(reason) => {
            eprintln!("the case couldn't run: {reason}");
            exit(2)
        }
    }
}
