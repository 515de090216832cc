//! `persimmonctl explain` over log files.

use insta::assert_snapshot;
use std::{fs, process::Command};

const LOG: &str = r#"{"message":"sent","kvs":{"request":"7623","send":111,"try_count":1,"upstream":"i-5347","vm":"vm-1"}}
not a log line about 7623
{"message":"sent","kvs":{"request":"9999","send":112,"vm":"vm-1"}}
{"message":"send_failed","kvs":{"end":"lost","next":"send_again","reason":"silent","request":"7623","send":111,"vm":"vm-1"}}
{"message":"order_failed","kvs":{"end":"refused","ticket":"7623-1-0","vm":"vm-1"}}
{"message":"sent","kvs":{"request":"7623","send":157,"try_count":2,"upstream":"i-c30a","vm":"vm-1"}}
{"message":"send_failed","kvs":{"end":"lost","next":"give_up","reason":"reset","request":"7623","send":157,"vm":"vm-1"}}
{"message":"refused","kvs":{"may_have_run":true,"reason":"upstream_failed","request":"7623","vm":"vm-1"}}
"#;

fn explained(request: &str, name: &str) -> String {
    let log = std::env::temp_dir().join(format!("explain-{}-{name}.log", std::process::id()));
    fs::write(&log, LOG).unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_persimmonctl"))
        .args(["explain", request])
        .arg(&log)
        .output()
        .unwrap();
    fs::remove_file(&log).unwrap();
    let said = [run.stdout, run.stderr].concat();
    let said = String::from_utf8(said).unwrap();
    let shown = said.replace(&log.display().to_string(), "LOG");
    format!("{shown}exit {}", run.status.code().unwrap())
}

#[test]
fn the_story_of_a_failed_request() {
    assert_snapshot!(explained("7623", "story"), @"
    request 7623 at vm-1 (LOG)
       sent send=111 try_count=1 upstream=i-5347
       send_failed end=lost next=send_again reason=silent send=111
       order_failed end=refused ticket=7623-1-0
       sent send=157 try_count=2 upstream=i-c30a
    => send_failed end=lost next=give_up reason=reset send=157
       refused may_have_run=true reason=upstream_failed
    exit 0
    ");
}

#[test]
fn a_request_that_no_log_names() {
    assert_snapshot!(explained("0000", "none"), @"
    persimmonctl: no line about request 0000: give the logs of all daemons of that time
    exit 1
    ");
}
