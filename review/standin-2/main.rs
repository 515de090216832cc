//! Cases of the review: each starts gateways as processes among stand-ins, disturbs them, and judges what clients and
//! servers saw.

mod cases;
mod http;
mod json;
mod store;
mod world;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE REPOSITORY FOLDER RECORD");
        exit(2);
    };
    let setting = cases::Setting {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: world::Record::create(&PathBuf::from(record)),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "overtaken" => cases::overtaken(&setting),
        _ => Err(format!("no case {case}")),
    };
    match verdict {
        Ok(breaches) if breaches.is_empty() => setting.record.line("the rule held"),
        Ok(breaches) => {
            for breach in &breaches {
                setting.record.line(&format!("BROKEN: {breach}"));
                println!("{breach}");
            }
            exit(1);
        }
        Err(reason) => {
            setting.record.line(&format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            exit(2);
        }
    }
}
