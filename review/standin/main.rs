//! Stand-ins and scripts of the review's cases. Usage: standin CASE FOLDER. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run.

mod cases;
mod client;
mod config;
mod gateway;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::{path::Path, process::ExitCode, sync::Arc};

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let record = match record::Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let setup = cases::Setup {
        trouble,
        folder: &temporary,
        record: Arc::clone(&record),
    };
    let verdict = match case.as_str() {
        "stale-freshness" => cases::stale_freshness(&setup),
        "restored-copy" => cases::restored_copy(&setup),
        "unanswered-at-stop" => cases::unanswered_at_stop(&setup),
        "cold-servers" => cases::cold_servers(&setup),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match verdict {
        Verdict::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::NotRun(why) => {
            record.line(&format!("the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
