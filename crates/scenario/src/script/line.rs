//! One line of a script.

use super::{words::Words, ScriptError};
use crate::{DomainSpec, StoreFault, Switch};
use persimmon_core::{
    ids::{FailureDomain, OperatorName, UpstreamId, VmId},
    operator::Intent,
    units::Millis,
};

/// What a request or a load asks for.
#[derive(Clone, Debug, Default)]
pub(super) struct Asked {
    pub(super) is_call: bool,
    pub(super) prompt_tokens: Option<u64>,
    pub(super) output_tokens: Option<u64>,
    pub(super) key: Option<String>,
    /// The request that asked for the ticket to use.
    pub(super) ticket: Option<String>,
    pub(super) body: Option<u64>,
    pub(super) timeout: Option<Millis>,
}

/// An upstream, by name or by what it runs.
#[derive(Clone, Debug)]
pub(super) enum WhichUpstream {
    Named(UpstreamId),
    /// The one that runs a request.
    Running(String),
    /// All of a failure domain.
    AllOf(FailureDomain),
}

/// What happens to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamChange {
    Kill,
    Hang,
    Heal,
    Restart,
    Chill,
    Overload,
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug)]
pub(super) enum VmChange {
    Kill,
    Start,
    Pause,
    Wake,
    Stop,
    Silence,
    Hear,
}

/// What a line does.
#[derive(Clone, Debug)]
pub(super) enum Statement {
    Request(String, VmId, Asked),
    Load {
        name: String,
        gap: Millis,
        span: Millis,
        asked: Asked,
    },
    Ticket(String, VmId),
    Leave(String),
    Vm(VmChange, VmId),
    Upstream(UpstreamChange, WhichUpstream),
    Cut(FailureDomain, bool),
    Store(StoreFault),
    Plan(String, VmId, OperatorName, Intent),
    Confirm(String, VmId, OperatorName),
    Expect(Words),
}

/// A line that sets the fleet up, before the first time.
#[derive(Clone, Debug)]
pub(super) enum Setup {
    Seed(u64),
    Domain(DomainSpec),
    Switch(Switch),
}

impl Setup {
    pub(super) fn parse(words: &mut Words) -> Result<Self, ScriptError> {
        if words.take("seed") {
            return Ok(Self::Seed(words.parse("number")?));
        }
        if words.take("switch") {
            return Ok(Self::Switch(words.parse("switch")?));
        }
        words.must("domain")?;
        let name = words.parse("failure domain")?;
        words.must("vms")?;
        let size_vms = words.parse("number")?;
        words.must("engines")?;
        let engines_upstreams = words.parse("number")?;
        words.must("services")?;
        let services_upstreams = words.parse("number")?;
        Ok(Self::Domain(DomainSpec {
            name,
            size_vms,
            engines_upstreams,
            services_upstreams,
        }))
    }
}

fn at_vm(words: &mut Words) -> Result<VmId, ScriptError> {
    words.must("at")?;
    words.parse("VM")
}

fn by_operator(words: &mut Words) -> Result<(VmId, OperatorName), ScriptError> {
    let vm = at_vm(words)?;
    words.must("by")?;
    Ok((vm, words.parse("operator")?))
}

impl Asked {
    fn parse(words: &mut Words, is_call: bool) -> Result<Self, ScriptError> {
        let mut asked = Self {
            is_call,
            ..Self::default()
        };
        while !words.is_empty() {
            if words.take("prompt") {
                asked.prompt_tokens = Some(words.parse("number")?);
            } else if words.take("tokens") {
                asked.output_tokens = Some(words.parse("number")?);
            } else if words.take("key") {
                asked.key = Some(words.next("key")?);
            } else if words.take("ticket") {
                asked.ticket = Some(words.next("ticket's name")?);
            } else if words.take("body") {
                asked.body = Some(words.parse("number")?);
            } else {
                words.must("timeout")?;
                asked.timeout = Some(words.span()?);
            }
        }
        Ok(asked)
    }
}

impl Statement {
    pub(super) fn parse(words: &mut Words) -> Result<Self, ScriptError> {
        let verb = words.next("statement")?;
        match verb.as_str() {
            "request" | "call" => {
                let name = words.next("name")?;
                let vm = at_vm(words)?;
                Ok(Self::Request(
                    name,
                    vm,
                    Asked::parse(words, verb == "call")?,
                ))
            }
            "load" => Self::parse_load(words),
            "ticket" => Ok(Self::Ticket(words.next("name")?, at_vm(words)?)),
            "leave" => Ok(Self::Leave(words.next("name")?)),
            "cut" | "join" => {
                words.must("domain")?;
                Ok(Self::Cut(words.parse("failure domain")?, verb == "cut"))
            }
            "store" => Ok(Self::Store(parse_store(words)?)),
            "plan" => {
                let name = words.next("name")?;
                let (vm, operator) = by_operator(words)?;
                Ok(Self::Plan(name, vm, operator, parse_intent(words)?))
            }
            "confirm" => {
                let name = words.next("name")?;
                let (vm, operator) = by_operator(words)?;
                Ok(Self::Confirm(name, vm, operator))
            }
            "expect" => Ok(Self::Expect(words.rest())),
            _ => parse_change(verb, words),
        }
    }

    fn parse_load(words: &mut Words) -> Result<Self, ScriptError> {
        let name = words.next("name")?;
        let is_call = words.take("calls");
        words.must("every")?;
        let gap = words.span()?;
        words.must("for")?;
        let span = words.span()?;
        Ok(Self::Load {
            name,
            gap,
            span,
            asked: Asked::parse(words, is_call)?,
        })
    }
}

fn parse_change(verb: String, words: &mut Words) -> Result<Statement, ScriptError> {
    if words.take("upstream") {
        let change = match verb.as_str() {
            "kill" => UpstreamChange::Kill,
            "hang" => UpstreamChange::Hang,
            "heal" => UpstreamChange::Heal,
            "restart" => UpstreamChange::Restart,
            "chill" => UpstreamChange::Chill,
            "overload" => UpstreamChange::Overload,
            _ => return Err(no_statement(verb)),
        };
        let which = if words.take("of") {
            WhichUpstream::Running(words.next("name")?)
        } else if words.take("in") {
            WhichUpstream::AllOf(words.parse("failure domain")?)
        } else {
            WhichUpstream::Named(words.parse("upstream")?)
        };
        return Ok(Statement::Upstream(change, which));
    }
    let change = match verb.as_str() {
        "kill" => VmChange::Kill,
        "start" => VmChange::Start,
        "pause" => VmChange::Pause,
        "wake" => VmChange::Wake,
        "stop" => VmChange::Stop,
        "silence" => VmChange::Silence,
        "hear" => VmChange::Hear,
        _ => return Err(no_statement(verb)),
    };
    words.must("vm")?;
    Ok(Statement::Vm(change, words.parse("VM")?))
}

const fn no_statement(word: String) -> ScriptError {
    ScriptError::Word {
        word,
        what: "statement",
    }
}

fn parse_store(words: &mut Words) -> Result<StoreFault, ScriptError> {
    let word = words.next("state of the store")?;
    match word.as_str() {
        "up" => Ok(StoreFault::None),
        "down" => Ok(StoreFault::Down),
        "slow" => Ok(StoreFault::Slow(words.span()?)),
        "loses-answers" => Ok(StoreFault::LosesAnswers),
        _ => Err(ScriptError::Word {
            word,
            what: "state of the store",
        }),
    }
}

fn parse_intent(words: &mut Words) -> Result<Intent, ScriptError> {
    let verb = words.next("intent")?;
    let is_domain = words.take("domain");
    if !is_domain {
        words.must("upstream")?;
    }
    match (verb.as_str(), is_domain) {
        ("drain", true) => Ok(Intent::DrainDomain(words.parse("failure domain")?)),
        ("return", true) => Ok(Intent::ReturnDomain(words.parse("failure domain")?)),
        ("drain", false) => Ok(Intent::DrainUpstream(words.parse("upstream")?)),
        ("return", false) => Ok(Intent::ReturnUpstream(words.parse("upstream")?)),
        _ => Err(ScriptError::Word {
            word: verb,
            what: "intent",
        }),
    }
}
