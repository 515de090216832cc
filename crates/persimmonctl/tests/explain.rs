//! Output and exit code of `persimmonctl explain` over log files.

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
{"message":"store_restored","kvs":{"catalog":7,"dependency":"operators","store":"1.40","vm":"vm-1"}}
{"message":"catalog_held","kvs":{"store":"1.40","stored_version":5,"version":7,"vm":"vm-1"}}
{"message":"sent","kvs":{"request":"8a11","send":170,"try_count":1,"upstream":"i-99aa","vm":"vm-1"}}
{"message":"upstream_backoff","kvs":{"for_ms":2000,"upstream":"i-0000","vm":"vm-1"}}
{"message":"upstream_rate_limit","kvs":{"per_s":1.7,"upstream":"i-99aa","vm":"vm-1"}}
{"message":"upstream_leaving","kvs":{"upstream":"i-99aa","reported_by":"vm-2","vm":"vm-1"}}
{"message":"refused","kvs":{"may_have_run":false,"reason":"no_capacity","request":"8a11","vm":"vm-1"}}
{"message":"sent","kvs":{"request":"b00c","send":180,"try_count":1,"upstream":"i-5347","vm":"vm-1"}}
{"message":"send_failed","kvs":{"end":"lost","next":"send_again","reason":"closed","request":"b00c","send":180,"vm":"vm-1"}}
{"message":"upstream_crashed","kvs":{"fingerprints":[11,12],"upstream":"i-5347","vm":"vm-1"}}
{"message":"fingerprint_quarantined","kvs":{"fingerprint":12,"vm":"vm-1"}}
{"message":"refused","kvs":{"may_have_run":true,"fingerprint":12,"reason":"quarantined","request":"b00c","vm":"vm-1"}}
"#;

fn explain(request: &str, name: &str) -> String {
    let log = std::env::temp_dir().join(format!("explain-{}-{name}.log", std::process::id()));
    fs::write(&log, LOG).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_persimmonctl"))
        .args(["explain", request])
        .arg(&log)
        .output()
        .unwrap();
    fs::remove_file(&log).unwrap();
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8(printed).unwrap();
    let shown = printed.replace(&log.display().to_string(), "LOG");
    format!("{shown}exit {}", output.status.code().unwrap())
}

#[test]
fn what_the_daemon_knew_is_shown_with_the_request() {
    assert_snapshot!(explain("8a11", "restored"), @r"
    request 8a11 at vm-1 (LOG)
     ~ store_restored catalog=7 dependency=operators store=1.40
     ~ catalog_held store=1.40 stored_version=5 version=7
       sent send=170 try_count=1 upstream=i-99aa
     ~ upstream_rate_limit per_s=1.7 upstream=i-99aa
     ~ upstream_leaving reported_by=vm-2 upstream=i-99aa
    => refused may_have_run=false reason=no_capacity
    exit 0
    ");
}

#[test]
fn a_failed_request_is_explained() {
    assert_snapshot!(explain("7623", "failed"), @"
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
fn a_refused_prompt_part_is_explained_by_its_crashes() {
    assert_snapshot!(explain("b00c", "quarantined"), @r"
    request b00c at vm-1 (LOG)
     ~ store_restored catalog=7 dependency=operators store=1.40
     ~ catalog_held store=1.40 stored_version=5 version=7
       sent send=180 try_count=1 upstream=i-5347
    => send_failed end=lost next=send_again reason=closed send=180
     ~ upstream_crashed fingerprints=[11,12] upstream=i-5347
     ~ fingerprint_quarantined fingerprint=12
       refused fingerprint=12 may_have_run=true reason=quarantined
    exit 0
    ");
}

#[test]
fn a_request_that_no_log_names() {
    assert_snapshot!(explain("0000", "none"), @"
    persimmonctl: no line about request 0000: give the logs of all daemons of that time
    exit 1
    ");
}
