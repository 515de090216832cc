//! Injects faults and ends them.

use super::{Fault, LinkLoss, ScheduledFault};
use crate::{
    history::{Component, History, Observation},
    testbed::{
        domain, CatalogWriter, Daemon, Deployment, GreyFailure, Link, Misbehavior, Proxy,
        RestartableUpstream, Signal, StoreMode,
    },
};
use persimmon_core::units::RequestsPerSecond;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time for which the link from callers resets connections.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Delay per chunk on a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(60);

/// Time for which a draining upstream keeps serving.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Time for which an upstream stays cold.
const COLD_TIME: Duration = Duration::from_millis(3_000);

/// Rate that an upstream states, in requests a second, and for how long.
const RATE_PER_S: f64 = 0.5;
const RATE_TIME: Duration = Duration::from_millis(9_000);

/// Time for which a daemon has no links to upstreams.
const LINKS_TIME: Duration = Duration::from_millis(7_500);

/// Longest time from the stop signal to the exit of the process.
const STOP_TIMEOUT: Duration = Duration::from_millis(8_500);

/// Injects a fault and returns when it is over.
pub(crate) async fn inject(
    deployment: Arc<Deployment>,
    history: History,
    scheduled: ScheduledFault,
) {
    let injector = Injector {
        deployment,
        history,
    };
    let span = scheduled.span_ms.duration();
    match scheduled.fault {
        Fault::DaemonKill(index) => injector.kill(index),
        Fault::DaemonsKilled => {
            (0..injector.deployment.daemons.len()).for_each(|index| injector.kill(index));
        }
        Fault::DaemonTerminate(index) => injector.terminate(index).await,
        Fault::DaemonPause(index) => injector.pause(index, span).await,
        Fault::DaemonReload(index) => drop(injector.daemon(index).signal(Signal::Reload)),
        Fault::CallersReset(index) => injector.callers_link(index, Link::Reset, RESET_TIME).await,
        Fault::CallersSlow(index) => {
            injector
                .callers_link(index, Link::Slow(SLOW_DELAY), span)
                .await
        }
        Fault::StoreStalled(index) => injector.store_link(index, Link::Stalled, span).await,
        Fault::StoreReset(index) => injector.store_link(index, Link::Reset, span).await,
        Fault::LinksLost(loss, index) => injector.lose_links(index, loss).await,
        fault => injector.disturb_platform(fault, span).await,
    }
}

struct Injector {
    deployment: Arc<Deployment>,
    history: History,
}

impl Injector {
    /// Injects a fault of the store, of upstreams or of the catalog.
    async fn disturb_platform(&self, fault: Fault, span: Duration) {
        match fault {
            Fault::StoreDown => self.disturb_store(StoreMode::Down, span).await,
            Fault::StoreSlow => self.disturb_store(StoreMode::Slow, span).await,
            Fault::StoreLosesAnswers => self.disturb_store(StoreMode::LosesAnswers, span).await,
            Fault::StoreHistoryDropped => self.drop_store_history(),
            Fault::StoreRestored => self.restore_store(span).await,
            Fault::UpstreamLeaves(index) => self.leave(index).await,
            Fault::UpstreamStatesRate(index) => self.state_rate(index).await,
            Fault::UpstreamSheds(index) => self.shed(index, span).await,
            Fault::UpstreamCrash(index) => self.crash(index, span).await,
            Fault::UpstreamDrain(index) => self.drain(index).await,
            Fault::UpstreamStalled(index) => self.upstream_link(index, Link::Stalled, span).await,
            Fault::UpstreamResponsesStalled(index) => {
                self.upstream_link(index, Link::ResponsesStalled, span)
                    .await
            }
            Fault::UpstreamReset(index) => self.upstream_link(index, Link::Reset, span).await,
            Fault::UpstreamSlow(index) => {
                self.upstream_link(index, Link::Slow(SLOW_DELAY), span)
                    .await
            }
            Fault::UpstreamErrors(index) => {
                self.grey_failure(index, GreyFailure::Errors, span).await
            }
            Fault::UpstreamRejects(index) => {
                self.grey_failure(index, GreyFailure::Rejects, span).await
            }
            Fault::UpstreamsFail => self.fail_upstreams(span).await,
            Fault::UpstreamTruncates(index) => {
                self.grey_failure(index, GreyFailure::Truncates, span).await
            }
            Fault::UpstreamRepeatsRefusals(index) => self.repeat_refusals(index, span).await,
            Fault::UpstreamMisbehaves(misbehavior, index) => {
                self.upstream_link(index, Link::Misbehaves(misbehavior), span)
                    .await
            }
            Fault::UpstreamsMisbehave(misbehavior) => {
                self.misbehave_everywhere(misbehavior, span).await
            }
            Fault::UpstreamCold(index) => self.upstream(index).set_cold(COLD_TIME),
            Fault::DomainDrain(index) => self.drain_domain(index, span).await,
            Fault::KeyRotation => self.change_catalog(CatalogWriter::rotate_key),
            Fault::RouteChange => self.change_catalog(CatalogWriter::toggle_route),
            // `inject` handles those of daemons.
            Fault::DaemonKill(_)
            | Fault::DaemonsKilled
            | Fault::DaemonTerminate(_)
            | Fault::DaemonPause(_)
            | Fault::DaemonReload(_)
            | Fault::CallersReset(_)
            | Fault::CallersSlow(_)
            | Fault::StoreStalled(_)
            | Fault::StoreReset(_)
            | Fault::LinksLost(..) => {}
        }
    }

    fn daemon(&self, index: usize) -> Arc<Daemon> {
        Arc::clone(&self.deployment.daemons[index % self.deployment.daemons.len()])
    }

    fn upstream(&self, index: usize) -> Arc<RestartableUpstream> {
        Arc::clone(&self.deployment.upstreams[index % self.deployment.upstreams.len()])
    }

    fn record_fault(&self, component: &Component, started: bool) {
        let component = component.clone();
        self.history.record(if started {
            Observation::FaultStarted(component)
        } else {
            Observation::FaultEnded(component)
        });
    }

    fn kill(&self, index: usize) {
        let daemon = self.daemon(index);
        let component = Component::Daemon(daemon.index);
        self.record_fault(&component, true);
        daemon.signal(Signal::Kill);
        self.record_fault(&component, false);
    }

    async fn terminate(&self, index: usize) {
        let daemon = self.daemon(index);
        let component = Component::Restart(daemon.index);
        self.record_fault(&component, true);
        self.history.record(Observation::DaemonStopping {
            daemon: daemon.index,
        });
        daemon.signal(Signal::Terminate);
        sleep(STOP_TIMEOUT).await;
        self.record_fault(&component, false);
    }

    async fn pause(&self, index: usize, span: Duration) {
        let daemon = self.daemon(index);
        let component = Component::Daemon(daemon.index);
        self.record_fault(&component, true);
        daemon.signal(Signal::Pause);
        sleep(span).await;
        daemon.signal(Signal::Resume);
        self.record_fault(&component, false);
    }

    async fn disturb_link(&self, proxy: &Proxy, link: Link, component: Component, span: Duration) {
        self.record_fault(&component, true);
        proxy.set_link(link);
        sleep(span).await;
        proxy.set_link(Link::Open);
        self.record_fault(&component, false);
    }

    async fn callers_link(&self, index: usize, link: Link, span: Duration) {
        let daemon = self.daemon(index);
        let component = Component::Daemon(daemon.index);
        self.disturb_link(&daemon.callers, link, component, span)
            .await;
    }

    async fn store_link(&self, index: usize, link: Link, span: Duration) {
        let daemon = self.daemon(index);
        let component = Component::StoreLink(daemon.index);
        self.disturb_link(&daemon.store, link, component, span)
            .await;
    }

    async fn upstream_link(&self, index: usize, link: Link, span: Duration) {
        let upstream = self.upstream(index);
        let component = Component::from(&upstream.id());
        self.disturb_link(&upstream.proxy, link, component, span)
            .await;
    }

    async fn lose_links(&self, index: usize, loss: LinkLoss) {
        let link = match loss {
            LinkLoss::Hang => Link::Hanging,
            LinkLoss::Refuse => Link::Refused,
            LinkLoss::RefuseNew => Link::NewRefused,
        };
        let daemon = self.daemon(index);
        let component = Component::UpstreamLinks(daemon.index);
        self.record_fault(&component, true);
        daemon.set_upstream_links(link);
        sleep(LINKS_TIME).await;
        daemon.set_upstream_links(Link::Open);
        self.record_fault(&component, false);
    }

    async fn disturb_store(&self, mode: StoreMode, span: Duration) {
        self.record_fault(&Component::Store, true);
        self.deployment.store.set_mode(mode);
        sleep(span).await;
        self.deployment.store.set_mode(StoreMode::Up);
        self.record_fault(&Component::Store, false);
    }

    fn drop_store_history(&self) {
        self.record_fault(&Component::Store, true);
        self.deployment.store.drop_history();
        self.record_fault(&Component::Store, false);
    }

    async fn restore_store(&self, age: Duration) {
        let copy = self.deployment.store.copy();
        sleep(age).await;
        self.record_fault(&Component::Store, true);
        self.history.record(Observation::StoreRestored);
        self.log_failure(self.deployment.restore_store(&copy).await);
        self.record_fault(&Component::Store, false);
    }

    /// Stating a rate is no fault of the upstream: it excuses nothing.
    async fn state_rate(&self, index: usize) {
        let upstream = self.upstream(index);
        let per_s = RequestsPerSecond::try_from(RATE_PER_S);
        upstream.set_rate_limit(per_s.ok());
        sleep(RATE_TIME).await;
        upstream.set_rate_limit(None);
    }

    /// Shedding is no fault of the upstream: it excuses nothing.
    async fn shed(&self, index: usize, span: Duration) {
        let upstream = self.upstream(index);
        upstream.set_grey_failure(GreyFailure::Sheds);
        sleep(span).await;
        upstream.set_grey_failure(GreyFailure::Off);
    }

    async fn leave(&self, index: usize) {
        let upstream = self.upstream(index);
        self.log_failure(upstream.leave(DRAIN_TIME).await);
    }

    async fn crash(&self, index: usize, span: Duration) {
        let upstream = self.upstream(index);
        let component = Component::from(&upstream.id());
        self.record_fault(&component, true);
        self.log_failure(upstream.crash(span).await);
        self.record_fault(&component, false);
    }

    async fn drain(&self, index: usize) {
        let upstream = self.upstream(index);
        self.log_failure(upstream.drain(DRAIN_TIME).await);
    }

    async fn grey_failure(&self, index: usize, failure: GreyFailure, span: Duration) {
        let upstream = self.upstream(index);
        let component = Component::from(&upstream.id());
        self.record_fault(&component, true);
        upstream.set_grey_failure(failure);
        sleep(span).await;
        upstream.set_grey_failure(GreyFailure::Off);
        self.record_fault(&component, false);
    }

    async fn fail_upstreams(&self, span: Duration) {
        let failing = |failure: GreyFailure, started| {
            for upstream in &self.deployment.upstreams {
                self.record_fault(&Component::from(&upstream.id()), started);
                upstream.set_grey_failure(failure);
            }
        };
        failing(GreyFailure::Fails, true);
        sleep(span).await;
        failing(GreyFailure::Off, false);
    }

    async fn misbehave_everywhere(&self, misbehavior: Misbehavior, span: Duration) {
        let upstreams = &self.deployment.upstreams;
        let ids = upstreams.iter().map(|upstream| upstream.id());
        let components: Vec<_> = ids.map(|id| Component::from(&id)).collect();
        let set_links = |link: Link, started| {
            for (upstream, component) in upstreams.iter().zip(&components) {
                self.record_fault(component, started);
                upstream.proxy.set_link(link);
            }
        };
        set_links(Link::Misbehaves(misbehavior), true);
        sleep(span).await;
        set_links(Link::Open, false);
    }

    async fn repeat_refusals(&self, index: usize, span: Duration) {
        let upstream = self.upstream(index);
        upstream.proxy.set_link(Link::RefusalsRepeated);
        self.grey_failure(index, GreyFailure::Rejects, span).await;
        upstream.proxy.set_link(Link::Open);
    }

    async fn drain_domain(&self, index: usize, span: Duration) {
        let domain = match domain(index) {
            Ok(domain) => domain,
            Err(error) => return self.log_failure(Err(error)),
        };
        self.deployment.set_domain_drained(&domain, true);
        self.history.record(Observation::DomainDrained {
            domain: domain.clone(),
        });
        sleep(span * 2).await;
        self.history.record(Observation::DomainReturned {
            domain: domain.clone(),
        });
        self.deployment.set_domain_drained(&domain, false);
    }

    fn change_catalog<E: std::error::Error + Send + Sync + 'static>(
        &self,
        change: impl Fn(&CatalogWriter) -> Result<(), E>,
    ) {
        self.log_failure(change(&self.deployment.catalog).map_err(std::io::Error::other));
    }

    fn log_failure(&self, result: std::io::Result<()>) {
        if let Err(error) = result {
            eprintln!("fault injection failed: {error}");
        }
    }
}
