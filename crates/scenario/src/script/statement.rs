//! Parses the lines of a script.

use super::{words::Words, ScriptError};
use crate::{Defect, DomainSpec, StoreFault};
use persimmon_core::{
    ids::{FailureDomain, OperatorName, UpstreamId, VmId},
    operator::Intent,
    units::Millis,
};

/// Options of a request or load.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestOptions {
    pub(super) is_service_call: bool,
    pub(super) prompt_tokens: Option<u64>,
    pub(super) output_tokens: Option<u64>,
    pub(super) key: Option<String>,
    /// Name of the request whose ticket is the key.
    pub(super) ticket: Option<String>,
    pub(super) body: Option<u64>,
    pub(super) timeout: Option<Millis>,
}

/// Selects upstreams.
#[derive(Clone, Debug)]
pub(super) enum UpstreamSelector {
    Named(UpstreamId),
    /// Upstreams that have requests of this name in flight.
    Serving(String),
    /// All upstreams of a failure domain.
    AllOf(FailureDomain),
}

/// A fault or repair of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamChange {
    Kill,
    Hang,
    Heal,
    Restart,
    TurnCold,
    Overload,
}

/// A fault or repair of a VM.
#[derive(Clone, Copy, Debug)]
pub(super) enum VmChange {
    Kill,
    Start,
    Pause,
    Resume,
    Stop,
    Isolate,
    Reconnect,
}

/// A statement of a script.
#[derive(Clone, Debug)]
pub(super) enum Statement {
    Request(String, VmId, RequestOptions),
    Load {
        name: String,
        gap: Millis,
        span: Millis,
        options: RequestOptions,
    },
    Ticket(String, VmId),
    Disconnect(String),
    Vm(VmChange, VmId),
    Upstream(UpstreamChange, UpstreamSelector),
    Partition(FailureDomain, bool),
    Store(StoreFault),
    Plan(String, VmId, OperatorName, Intent),
    Confirm(String, VmId, OperatorName),
    Expect(Words),
}

/// A line that describes the fleet; these lines come before the first statement.
#[derive(Clone, Debug)]
pub(super) enum Setup {
    Seed(u64),
    Domain(DomainSpec),
    Defect(Defect),
}

impl Setup {
    pub(super) fn parse(words: &mut Words) -> Result<Self, ScriptError> {
        if words.take_if("seed") {
            return Ok(Self::Seed(words.parse("number")?));
        }
        if words.take_if("switch") {
            return Ok(Self::Defect(words.parse("switch")?));
        }
        words.expect_word("domain")?;
        let name = words.parse("failure domain")?;
        words.expect_word("vms")?;
        let vms_count = words.parse("number")?;
        words.expect_word("engines")?;
        let engines_count = words.parse("number")?;
        words.expect_word("services")?;
        let servers_count = words.parse("number")?;
        Ok(Self::Domain(DomainSpec {
            name,
            vms_count,
            engines_count,
            servers_count,
        }))
    }
}

fn parse_at_vm(words: &mut Words) -> Result<VmId, ScriptError> {
    words.expect_word("at")?;
    words.parse("VM")
}

fn parse_at_vm_by_operator(words: &mut Words) -> Result<(VmId, OperatorName), ScriptError> {
    let vm = parse_at_vm(words)?;
    words.expect_word("by")?;
    Ok((vm, words.parse("operator")?))
}

impl RequestOptions {
    fn parse(words: &mut Words, is_service_call: bool) -> Result<Self, ScriptError> {
        let mut options = Self {
            is_service_call,
            ..Self::default()
        };
        while !words.is_empty() {
            if words.take_if("prompt") {
                options.prompt_tokens = Some(words.parse("number")?);
            } else if words.take_if("tokens") {
                options.output_tokens = Some(words.parse("number")?);
            } else if words.take_if("key") {
                options.key = Some(words.next("key")?);
            } else if words.take_if("ticket") {
                options.ticket = Some(words.next("ticket name")?);
            } else if words.take_if("body") {
                options.body = Some(words.parse("number")?);
            } else {
                words.expect_word("timeout")?;
                options.timeout = Some(words.duration()?);
            }
        }
        Ok(options)
    }
}

impl Statement {
    pub(super) fn parse(words: &mut Words) -> Result<Self, ScriptError> {
        let verb = words.next("statement")?;
        match verb.as_str() {
            "request" | "call" => {
                let name = words.next("name")?;
                let vm = parse_at_vm(words)?;
                Ok(Self::Request(
                    name,
                    vm,
                    RequestOptions::parse(words, verb == "call")?,
                ))
            }
            "load" => Self::parse_load(words),
            "ticket" => Ok(Self::Ticket(words.next("name")?, parse_at_vm(words)?)),
            "leave" => Ok(Self::Disconnect(words.next("name")?)),
            "cut" | "join" => {
                words.expect_word("domain")?;
                Ok(Self::Partition(
                    words.parse("failure domain")?,
                    verb == "cut",
                ))
            }
            "store" => Ok(Self::Store(parse_store(words)?)),
            "plan" => {
                let name = words.next("name")?;
                let (vm, operator) = parse_at_vm_by_operator(words)?;
                Ok(Self::Plan(name, vm, operator, parse_intent(words)?))
            }
            "confirm" => {
                let name = words.next("name")?;
                let (vm, operator) = parse_at_vm_by_operator(words)?;
                Ok(Self::Confirm(name, vm, operator))
            }
            "expect" => Ok(Self::Expect(words.take_rest())),
            _ => parse_change(verb, words),
        }
    }

    fn parse_load(words: &mut Words) -> Result<Self, ScriptError> {
        let name = words.next("name")?;
        let is_service_call = words.take_if("calls");
        words.expect_word("every")?;
        let gap = words.duration()?;
        words.expect_word("for")?;
        let span = words.duration()?;
        Ok(Self::Load {
            name,
            gap,
            span,
            options: RequestOptions::parse(words, is_service_call)?,
        })
    }
}

fn parse_change(verb: String, words: &mut Words) -> Result<Statement, ScriptError> {
    if words.take_if("upstream") {
        let change = match verb.as_str() {
            "kill" => UpstreamChange::Kill,
            "hang" => UpstreamChange::Hang,
            "heal" => UpstreamChange::Heal,
            "restart" => UpstreamChange::Restart,
            "chill" => UpstreamChange::TurnCold,
            "overload" => UpstreamChange::Overload,
            _ => return Err(unknown_statement(verb)),
        };
        let selector = if words.take_if("of") {
            UpstreamSelector::Serving(words.next("name")?)
        } else if words.take_if("in") {
            UpstreamSelector::AllOf(words.parse("failure domain")?)
        } else {
            UpstreamSelector::Named(words.parse("upstream")?)
        };
        return Ok(Statement::Upstream(change, selector));
    }
    let change = match verb.as_str() {
        "kill" => VmChange::Kill,
        "start" => VmChange::Start,
        "pause" => VmChange::Pause,
        "wake" => VmChange::Resume,
        "stop" => VmChange::Stop,
        "silence" => VmChange::Isolate,
        "hear" => VmChange::Reconnect,
        _ => return Err(unknown_statement(verb)),
    };
    words.expect_word("vm")?;
    Ok(Statement::Vm(change, words.parse("VM")?))
}

const fn unknown_statement(word: String) -> ScriptError {
    ScriptError::Word {
        word,
        what: "statement",
    }
}

fn parse_store(words: &mut Words) -> Result<StoreFault, ScriptError> {
    let word = words.next("store state")?;
    match word.as_str() {
        "up" => Ok(StoreFault::None),
        "down" => Ok(StoreFault::Down),
        "slow" => Ok(StoreFault::Slow(words.duration()?)),
        "loses-answers" => Ok(StoreFault::LosesAnswers),
        _ => Err(ScriptError::Word {
            word,
            what: "store state",
        }),
    }
}

fn parse_intent(words: &mut Words) -> Result<Intent, ScriptError> {
    let verb = words.next("intent")?;
    let is_domain = words.take_if("domain");
    if !is_domain {
        words.expect_word("upstream")?;
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
