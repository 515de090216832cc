//! What a script lets happen.

use super::{
    line::{Asked, Statement, UpstreamChange, VmChange, WhichUpstream},
    runner::{Load, Runner},
    ScriptError,
};
use crate::{UpstreamFault, MODEL, SERVICE};
use persimmon_core::{
    ids::{BodyHash, RequestId, UpstreamId, VmId},
    operator::OperatorCommand,
    request::{CallTarget, ModelCall, RequestSpec, ServiceCall},
    units::{Millis, Tokens},
    Event,
};

const TIMEOUT_MS: Millis = Millis::new(20_000);
const PROMPT_TOKENS: u64 = 1_000;
const OUTPUT_TOKENS: u64 = 30;

impl Runner {
    pub(super) fn act(&mut self, statement: Statement) -> Result<(), ScriptError> {
        match statement {
            Statement::Request(name, vm, asked) => {
                let vm = self.vm(vm)?;
                let number = self.name(&name, 1);
                let spec = self.spec(number, &asked)?;
                self.fleet.request(&vm, spec);
            }
            Statement::Load {
                name,
                gap,
                span,
                asked,
            } => {
                self.name(&name, 0);
                let now = self.fleet.now;
                self.loads.push(Load {
                    name,
                    next_at: now,
                    until: now + span,
                    gap,
                    asked,
                });
            }
            Statement::Ticket(name, vm) => {
                let vm = self.vm(vm)?;
                let request = RequestId::new(self.name(&name, 0));
                self.fleet
                    .send_core(&vm, Event::TicketRequested { request });
            }
            Statement::Leave(name) => {
                for request in self.ids(&name)? {
                    self.fleet.leave(request);
                }
            }
            Statement::Vm(change, vm) => self.change_vm(change, vm)?,
            Statement::Upstream(change, which) => {
                for upstream in self.which(which)? {
                    self.change_upstream(change, &upstream)?;
                }
            }
            Statement::Cut(domain, is_cut) => self.fleet.cut_domain(&domain, is_cut),
            Statement::Store(fault) => self.fleet.store.fault = fault,
            Statement::Plan(name, vm, who, intent) => {
                let command = OperatorCommand::Plan {
                    intent,
                    force: true,
                };
                let call = self.fleet.operate(&vm, who, command);
                self.plans.insert(name, call);
            }
            Statement::Confirm(name, vm, who) => {
                let command = OperatorCommand::Confirm(self.plan(&name)?);
                let call = self.fleet.operate(&vm, who, command);
                self.confirms.insert(name, call);
            }
            Statement::Expect(_) => {}
        }
        Ok(())
    }

    fn vm(&self, vm: VmId) -> Result<VmId, ScriptError> {
        if self.fleet.vms.contains_key(&vm) {
            return Ok(vm);
        }
        let name = vm.to_string();
        Err(ScriptError::Unknown { what: "VM", name })
    }

    fn change_vm(&mut self, change: VmChange, vm: VmId) -> Result<(), ScriptError> {
        let vm = self.vm(vm)?;
        match change {
            VmChange::Kill => self.fleet.kill_vm(&vm),
            VmChange::Start => {
                let member = self.fleet.vms.get(&vm).map(|state| state.member.clone());
                member
                    .into_iter()
                    .for_each(|member| self.fleet.start_vm(member));
            }
            VmChange::Pause => self.fleet.pause_vm(&vm),
            VmChange::Wake => self.fleet.wake_vm(&vm),
            VmChange::Stop => self.fleet.send_core(&vm, Event::Shutdown),
            VmChange::Silence => self.fleet.network.silence(&vm, true),
            VmChange::Hear => self.fleet.network.silence(&vm, false),
        }
        Ok(())
    }

    fn which(&self, which: WhichUpstream) -> Result<Vec<UpstreamId>, ScriptError> {
        let all = self.fleet.upstreams.iter();
        let (found, name): (Vec<UpstreamId>, String) = match which {
            WhichUpstream::Named(name) => {
                let known = self.fleet.upstreams.contains_key(&name);
                let text = name.to_string();
                (known.then_some(name).into_iter().collect(), text)
            }
            WhichUpstream::Running(name) => {
                let ids = self.ids(&name)?;
                let runs = all.filter(|(_, u)| ids.iter().any(|id| u.held.contains_key(id)));
                (runs.map(|(name, _)| name.clone()).collect(), name)
            }
            WhichUpstream::AllOf(domain) => {
                let inside = all.filter(|(_, u)| u.config.domain == domain);
                let text = domain.to_string();
                (inside.map(|(name, _)| name.clone()).collect(), text)
            }
        };
        if found.is_empty() {
            let what = "upstream";
            return Err(ScriptError::Unknown { what, name });
        }
        Ok(found)
    }

    fn change_upstream(
        &mut self,
        change: UpstreamChange,
        upstream: &UpstreamId,
    ) -> Result<(), ScriptError> {
        match change {
            UpstreamChange::Kill => self.fleet.kill_upstream(upstream),
            UpstreamChange::Restart => self.fleet.restart_upstream(upstream),
            UpstreamChange::Chill => self.fleet.chill_upstream(upstream),
            _ => {}
        }
        let state = self.fleet.upstreams.get_mut(upstream);
        let state = state.ok_or_else(|| ScriptError::Unknown {
            what: "upstream",
            name: upstream.to_string(),
        })?;
        match change {
            UpstreamChange::Hang => state.fault = UpstreamFault::Hangs,
            UpstreamChange::Heal => state.fault = UpstreamFault::None,
            UpstreamChange::Overload => state.fault = UpstreamFault::Overloaded,
            _ => {}
        }
        Ok(())
    }

    pub(super) fn spec(&self, number: u128, asked: &Asked) -> Result<RequestSpec, ScriptError> {
        let target = if asked.is_call {
            self.service_call(asked)?
        } else {
            let model = MODEL.split('@').next().unwrap_or_default();
            CallTarget::Model(ModelCall {
                model: name(model, "model")?,
                adapter: None,
                prompt_tokens: Tokens::new(asked.prompt_tokens.unwrap_or(PROMPT_TOKENS)),
                max_output_tokens: Tokens::new(asked.output_tokens.unwrap_or(OUTPUT_TOKENS)),
                prefix_blocks: Vec::new(),
                stream: true,
            })
        };
        Ok(RequestSpec {
            id: RequestId::new(number),
            workspace: self.workspace.clone(),
            target,
            timeout_ms: asked.timeout.unwrap_or(TIMEOUT_MS),
        })
    }

    fn service_call(&self, asked: &Asked) -> Result<CallTarget, ScriptError> {
        let mut key = match &asked.key {
            Some(key) => Some(name(key, "key")?),
            None => None,
        };
        if let Some(ticket) = &asked.ticket {
            let wanted = self.names.get(ticket).map(|ids| RequestId::new(ids.first));
            let issued = wanted.and_then(|request| self.fleet.tickets.get(&request));
            key = Some(issued.cloned().ok_or_else(|| ScriptError::Unknown {
                what: "ticket",
                name: ticket.clone(),
            })?);
        }
        Ok(CallTarget::Service(ServiceCall {
            service: name(SERVICE, "service")?,
            idempotent: false,
            key,
            body_hash: BodyHash::new(asked.body.unwrap_or(1)),
        }))
    }
}

fn name<T: std::str::FromStr>(text: &str, what: &'static str) -> Result<T, ScriptError> {
    text.parse().map_err(|_| ScriptError::Word {
        word: text.to_owned(),
        what,
    })
}
