//! Admission checks on new requests.

use super::{open_request::OpenRequest, Entry};
use crate::{
    context::View,
    ids::Generation,
    request::{CallTarget, Refusal, RefusalCode},
    units::Time,
};

impl Entry {
    /// The refusal of a request that is not admitted, or none.
    pub(super) fn admission_refusal(
        &self,
        now: Time,
        view: &View<'_>,
        request: &OpenRequest,
    ) -> Option<Refusal> {
        let not_run = |code, text| Some(Refusal::not_run(code, text));
        let retry_after = |code, text: &str| {
            let refusal = Refusal::not_run(code, text);
            Some(refusal.retry_after(self.settings.max_pause))
        };
        let stops = self.accepts_until.is_some_and(|until| until <= now);
        if stops || view.config.generation == Generation::default() {
            let text = "this daemon is stopping or has no configuration yet: ask another one";
            return retry_after(RefusalCode::NotReady, text);
        }
        if self.open.len() >= self.settings.max_open_requests as usize {
            let text = "too many requests are open at this daemon: come back or ask another one";
            return retry_after(RefusalCode::TooManyRequests, text);
        }
        if !view.config.workspaces.contains_key(&request.spec.workspace) {
            let text = "no such workspace: check X-Workspace";
            return not_run(RefusalCode::UnknownWorkspace, text);
        }
        if request.refuse_by <= now {
            let text = "no time was given: raise X-Request-Timeout-Ms";
            return not_run(RefusalCode::DeadlineExceeded, text);
        }
        match &request.spec.target {
            CallTarget::Service(call) if !view.config.services.contains_key(&call.service) => {
                not_run(
                    RefusalCode::UnknownService,
                    "no such service: check the path",
                )
            }
            _ => None,
        }
    }
}
