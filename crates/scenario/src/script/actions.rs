//! Executes the statements of a script.

use super::{
    runner::{Load, Runner},
    statement::{RequestOptions, Statement, UpstreamChange, UpstreamSelector, VmChange},
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

const DEFAULT_TIMEOUT_MS: Millis = Millis::new(20_000);
const DEFAULT_PROMPT_TOKENS: u64 = 1_000;
const DEFAULT_OUTPUT_TOKENS: u64 = 30;

impl Runner {
    pub(super) fn execute(&mut self, statement: Statement) -> Result<(), ScriptError> {
        match statement {
            Statement::Request(name, vm, options) => {
                let vm = self.known_vm(vm)?;
                let number = self.allocate_ids(&name, 1);
                let spec = self.spec(number, &options)?;
                self.fleet.request(&vm, spec);
            }
            Statement::Load {
                name,
                gap,
                span,
                options,
            } => {
                self.allocate_ids(&name, 0);
                let now = self.fleet.now;
                self.loads.push(Load {
                    name,
                    next_at: now,
                    until: now + span,
                    gap,
                    options,
                });
            }
            Statement::Ticket(name, vm) => {
                let vm = self.known_vm(vm)?;
                let request = RequestId::new(self.allocate_ids(&name, 0));
                self.fleet
                    .send_core(&vm, Event::TicketRequested { request });
            }
            Statement::Disconnect(name) => {
                for request in self.request_ids(&name)? {
                    self.fleet.disconnect_caller(request);
                }
            }
            Statement::Vm(change, vm) => self.change_vm(change, vm)?,
            Statement::Upstream(change, selector) => {
                for upstream in self.select_upstreams(selector)? {
                    self.change_upstream(change, &upstream)?;
                }
            }
            Statement::Partition(domain, is_partitioned) => {
                self.fleet.set_domain_partitioned(&domain, is_partitioned)
            }
            Statement::Store(fault) => self.fleet.store.fault = fault,
            Statement::Plan(name, vm, who, intent) => {
                let command = OperatorCommand::Plan {
                    intent,
                    force: true,
                };
                let call = self.fleet.send_command(&vm, who, command);
                self.plans.insert(name, call);
            }
            Statement::Confirm(name, vm, who) => {
                let command = OperatorCommand::Confirm(self.plan_id(&name)?);
                let call = self.fleet.send_command(&vm, who, command);
                self.confirms.insert(name, call);
            }
            Statement::Expect(_) => {}
        }
        Ok(())
    }

    fn known_vm(&self, vm: VmId) -> Result<VmId, ScriptError> {
        if self.fleet.vms.contains_key(&vm) {
            return Ok(vm);
        }
        let name = vm.to_string();
        Err(ScriptError::Unknown { what: "VM", name })
    }

    fn change_vm(&mut self, change: VmChange, vm: VmId) -> Result<(), ScriptError> {
        let vm = self.known_vm(vm)?;
        match change {
            VmChange::Kill => self.fleet.kill_vm(&vm),
            VmChange::Start => {
                let member = self.fleet.vms.get(&vm).map(|state| state.member.clone());
                member
                    .into_iter()
                    .for_each(|member| self.fleet.start_vm(member));
            }
            VmChange::Pause => self.fleet.pause_vm(&vm),
            VmChange::Resume => self.fleet.resume_vm(&vm),
            VmChange::Stop => self.fleet.send_core(&vm, Event::Shutdown),
            VmChange::Isolate => self.fleet.network.set_isolated(&vm, true),
            VmChange::Reconnect => self.fleet.network.set_isolated(&vm, false),
        }
        Ok(())
    }

    fn select_upstreams(&self, selector: UpstreamSelector) -> Result<Vec<UpstreamId>, ScriptError> {
        let all = self.fleet.upstreams.iter();
        let (found, name): (Vec<UpstreamId>, String) = match selector {
            UpstreamSelector::Named(name) => {
                let known = self.fleet.upstreams.contains_key(&name);
                let text = name.to_string();
                (known.then_some(name).into_iter().collect(), text)
            }
            UpstreamSelector::Serving(name) => {
                let ids = self.request_ids(&name)?;
                let runs = all.filter(|(_, u)| ids.iter().any(|id| u.in_flight.contains_key(id)));
                (runs.map(|(name, _)| name.clone()).collect(), name)
            }
            UpstreamSelector::AllOf(domain) => {
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
            UpstreamChange::TurnCold => self.fleet.turn_upstream_cold(upstream),
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

    pub(super) fn spec(
        &self,
        number: u128,
        options: &RequestOptions,
    ) -> Result<RequestSpec, ScriptError> {
        let target = if options.is_service_call {
            self.service_call(options)?
        } else {
            let model = MODEL.split('@').next().unwrap_or_default();
            CallTarget::Model(ModelCall {
                model: parse_name(model, "model")?,
                adapter: None,
                prompt_tokens: Tokens::new(options.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS)),
                max_output_tokens: Tokens::new(
                    options.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
                ),
                prefix_blocks: Vec::new(),
                stream: true,
            })
        };
        Ok(RequestSpec {
            id: RequestId::new(number),
            workspace: self.workspace.clone(),
            target,
            timeout_ms: options.timeout.unwrap_or(DEFAULT_TIMEOUT_MS),
        })
    }

    fn service_call(&self, options: &RequestOptions) -> Result<CallTarget, ScriptError> {
        let mut key = match &options.key {
            Some(key) => Some(parse_name(key, "key")?),
            None => None,
        };
        if let Some(ticket) = &options.ticket {
            let wanted = self.names.get(ticket).map(|ids| RequestId::new(ids.first));
            let issued = wanted.and_then(|request| self.fleet.tickets.get(&request));
            key = Some(issued.cloned().ok_or_else(|| ScriptError::Unknown {
                what: "ticket",
                name: ticket.clone(),
            })?);
        }
        Ok(CallTarget::Service(ServiceCall {
            service: parse_name(SERVICE, "service")?,
            idempotent: false,
            key,
            body_hash: BodyHash::new(options.body.unwrap_or(1)),
        }))
    }
}

fn parse_name<T: std::str::FromStr>(text: &str, what: &'static str) -> Result<T, ScriptError> {
    text.parse().map_err(|_| ScriptError::Word {
        word: text.to_owned(),
        what,
    })
}
