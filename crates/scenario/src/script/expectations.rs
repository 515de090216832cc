//! Checks the expectations of a script.

use super::{
    report::{end_text, is_refused},
    runner::Runner,
    words::Words,
    ScriptError,
};
use crate::{invariant_violation, Caller};
use persimmon_core::{
    decision::Record,
    ids::{FailureDomain, Generation, UpstreamId, VmId},
    operator::OperatorReply,
    request::Outcome,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Description of a failed expectation, `None` if the expectation holds.
type CheckResult = Result<Option<String>, ScriptError>;

impl Runner {
    /// Checks an expectation. Returns what was found instead if the expectation fails.
    pub(super) fn expect(&mut self, words: &mut Words) -> CheckResult {
        let subject = words.next("expectation")?;
        match subject.as_str() {
            "promises" => Ok(invariant_violation(&self.fleet)),
            "memory" => {
                let expected: u64 = words.parse("number")?;
                let held = self.fleet.held_tokens().get();
                Ok((held != expected).then(|| format!("engines hold KV memory for {held} tokens")))
            }
            "overruns" => {
                let expected: u32 = words.parse("number")?;
                let count: u32 = self
                    .fleet
                    .upstreams
                    .values()
                    .map(|u| u.cold_overloads_count)
                    .sum();
                Ok((count != expected).then(|| format!("{count} overruns of cold upstreams")))
            }
            "runs" => {
                let key = words.next("key")?;
                let expected: usize = words.parse("number")?;
                let name = format!("{}/{key}", self.workspace);
                let count = self.fleet.executions.get(&name).map_or(0, Vec::len);
                Ok((count != expected).then(|| format!("{key} ran {count} times")))
            }
            "no" => self.expect_no_grant(words),
            "generation" => self.expect_generation(words),
            "reverts" => self.expect_reverts(words),
            "vm" => self.expect_vm(words),
            "plan" => self.expect_plan(words),
            "confirm" => self.expect_confirm(words),
            _ => self.expect_requests(&subject, words),
        }
    }

    fn expect_requests(&self, name: &str, words: &mut Words) -> CheckResult {
        let callers = self.request_ids(name)?;
        let callers = callers.iter().filter_map(|id| self.fleet.callers.get(id));
        let callers: Vec<&Caller> = callers.collect();
        let min_percent = parse_share(words)?;
        let how = words.next("ending")?;
        let holds: Box<dyn Fn(&Caller) -> bool> = match how.as_str() {
            "whole" => Box::new(Caller::has_complete_answer),
            "ended" => Box::new(|caller| !caller.is_open()),
            "refused" => {
                let has_code = !words.is_empty() && !words.next_is("within");
                let code = has_code.then(|| words.next("code")).transpose()?;
                let outcome = parse_outcome(words)?;
                Box::new(move |caller| is_refused(caller, code.as_deref(), outcome))
            }
            _ => {
                let what = "ending";
                return Err(ScriptError::Word { word: how, what });
            }
        };
        let within = parse_within(words)?;
        let good = |caller: &&&Caller| holds(caller) && is_within(caller, within);
        let count = callers.iter().filter(good).count();
        let needed = (callers.len() * min_percent).div_ceil(100);
        if count >= needed && !callers.is_empty() {
            return Ok(None);
        }
        let other = callers.iter().find(|caller| !good(caller));
        let seen = other.map_or_else(|| "no request".into(), |caller| describe_end(caller));
        Ok(Some(format!(
            "{name}: {count} of {} {how}, one is {seen}",
            callers.len()
        )))
    }

    fn expect_no_grant(&self, words: &mut Words) -> CheckResult {
        words.expect_word("grant")?;
        let place = words.next("in or at")?;
        let name = words.next("failure domain or upstream")?;
        words.expect_word("after")?;
        let since = self.start + words.duration()?;
        let count = if place == "in" {
            let domain: FailureDomain = parse(&name, "failure domain")?;
            self.fleet.routed_to_domain_since(&domain, since)
        } else {
            let upstream: UpstreamId = parse(&name, "upstream")?;
            self.fleet.routed_to_upstream_since(&upstream, since)
        };
        Ok((count > 0).then(|| format!("{count} grants {place} {name}")))
    }

    fn expect_generation(&self, words: &mut Words) -> CheckResult {
        let expected = Generation::new(words.parse("number")?);
        words.expect_word("everywhere")?;
        let up = self.fleet.vms.iter().filter(|(_, vm)| vm.is_up());
        let mut behind = up.filter(|(vm, _)| self.applied_generation(vm) != expected);
        let seen = |(vm, _): (&VmId, _)| format!("{vm} has {}", self.applied_generation(vm));
        Ok(behind.next().map(seen))
    }

    fn applied_generation(&self, vm: &VmId) -> Generation {
        let applied = self
            .applied_generations(vm)
            .last()
            .map(|(_, generation)| generation);
        applied.unwrap_or_default()
    }

    fn applied_generations<'a>(
        &'a self,
        vm: &'a VmId,
    ) -> impl Iterator<Item = (Time, Generation)> + 'a {
        let log = self.fleet.log.iter();
        log.filter_map(move |(at, from, record)| match record {
            Record::Applied { generation, .. } if from == vm => Some((*at, *generation)),
            _ => None,
        })
    }

    /// Counts generations that a VM applied after a higher one. Only the last generation of each
    /// moment counts, because a daemon that starts may apply the history at one moment.
    fn expect_reverts(&self, words: &mut Words) -> CheckResult {
        let expected: usize = words.parse("number")?;
        let mut count = 0;
        for vm in self.fleet.vms.keys() {
            let by_time: BTreeMap<Time, Generation> = self.applied_generations(vm).collect();
            let applied: Vec<Generation> = by_time.into_values().collect();
            count += applied.windows(2).filter(|pair| pair[1] < pair[0]).count();
        }
        Ok((count != expected).then(|| format!("{count} reverts")))
    }

    fn expect_vm(&self, words: &mut Words) -> CheckResult {
        let vm: VmId = words.parse("VM")?;
        words.expect_word("exited")?;
        let state = self.fleet.vms.get(&vm);
        let exited = state.is_some_and(|state| state.has_exited);
        Ok((!exited).then(|| format!("{vm} still runs")))
    }

    fn expect_plan(&self, words: &mut Words) -> CheckResult {
        let name = words.next("plan")?;
        words.expect_word("made")?;
        let made = self.plan_id(&name);
        Ok(made.err().map(|error| error.to_string()))
    }

    fn expect_confirm(&self, words: &mut Words) -> CheckResult {
        let name = words.next("plan")?;
        let how = words.next("done or refused")?;
        let reply = self.confirms.get(&name);
        let reply = reply.and_then(|call| self.fleet.replies.get(call));
        let holds = matches!(
            (how.as_str(), reply),
            ("done", Some(OperatorReply::Confirmed(_)))
                | ("refused", Some(OperatorReply::Refused(_)))
                | ("open", None)
        );
        Ok((!holds).then(|| format!("the reply to {name} is {reply:?}")))
    }
}

fn describe_end(caller: &Caller) -> String {
    let after = caller.end.as_ref().map(|(at, _)| at.since(caller.sent_at));
    let after = after.map_or(String::new(), |span| format!(" after {span}"));
    format!("{}{after}", end_text(caller))
}

fn is_within(caller: &Caller, within: Option<Millis>) -> bool {
    let ended = caller.end.as_ref().map(|(at, _)| at.since(caller.sent_at));
    within.is_none_or(|within| ended.is_some_and(|span| span <= within))
}

fn parse_within(words: &mut Words) -> Result<Option<Millis>, ScriptError> {
    words
        .take_if("within")
        .then(|| words.duration())
        .transpose()
}

fn parse_share(words: &mut Words) -> Result<usize, ScriptError> {
    if !words.take_if("at-least") {
        return Ok(100);
    }
    let word = words.next("percentage such as 95%")?;
    let number = word.strip_suffix('%').and_then(|n| n.parse().ok());
    number.ok_or(ScriptError::Word {
        word,
        what: "percentage such as 95%",
    })
}

fn parse_outcome(words: &mut Words) -> Result<Option<Outcome>, ScriptError> {
    if words.take_if("not_run") {
        return Ok(Some(Outcome::NotRun));
    }
    Ok(words.take_if("unknown").then_some(Outcome::Unknown))
}

fn parse<T: std::str::FromStr>(word: &str, what: &'static str) -> Result<T, ScriptError> {
    word.parse().map_err(|_| ScriptError::Word {
        word: word.to_owned(),
        what,
    })
}
