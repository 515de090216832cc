//! Brings faults about and ends them.

use super::{Fault, Moment};
use crate::{
    history::{History, Observation, Part},
    world::{
        domain, CatalogDesk, Daemon, Deployment, Grey, Link, Proxy, Signal, StoreMode, Upstream,
    },
};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Time for which a link that breaks stays so.
const RESET: Duration = Duration::from_millis(50);

/// Delay of a slow link.
const SLOW: Duration = Duration::from_millis(60);

/// Time for which an upstream serves on after it said that it leaves.
const SERVES_ON: Duration = Duration::from_millis(3_500);

/// Time for which an upstream stays cold.
const COLD: Duration = Duration::from_millis(3_000);

/// Time from a request to stop to the end of the process, at most.
const STOP: Duration = Duration::from_millis(8_500);

/// Brings a fault about and returns when it is over.
pub(crate) async fn inject(world: Arc<Deployment>, history: History, moment: Moment) {
    let scene = Scene { world, history };
    let span = moment.span_ms.duration();
    match moment.fault {
        Fault::Kill(index) => scene.kill(index),
        Fault::Terminate(index) => scene.terminate(index).await,
        Fault::Pause(index) => scene.pause(index, span).await,
        Fault::Reload(index) => drop(scene.daemon(index).signal(Signal::Reload)),
        Fault::CallersReset(index) => scene.callers_link(index, Link::Reset, RESET).await,
        Fault::CallersSlow(index) => scene.callers_link(index, Link::Slow(SLOW), span).await,
        Fault::StoreSilent(index) => scene.store_link(index, Link::Silent, span).await,
        Fault::StoreReset(index) => scene.store_link(index, Link::Reset, span).await,
        Fault::StoreDown => scene.store(StoreMode::Down, span).await,
        Fault::StoreSlow => scene.store(StoreMode::Slow, span).await,
        Fault::StoreLosesAnswers => scene.store(StoreMode::LosesAnswers, span).await,
        Fault::StoreForgets => scene.forget(),
        Fault::Crash(index) => scene.crash(index, span).await,
        Fault::Leave(index) => scene.leave(index).await,
        Fault::Silent(index) => scene.upstream_link(index, Link::Silent, span).await,
        Fault::OneWay(index) => scene.upstream_link(index, Link::OneWay, span).await,
        Fault::Reset(index) => scene.upstream_link(index, Link::Reset, span).await,
        Fault::Slow(index) => scene.upstream_link(index, Link::Slow(SLOW), span).await,
        Fault::Fails(index) => scene.grey(index, Grey::Fails, span).await,
        Fault::Sheds(index) => scene.grey(index, Grey::Sheds, span).await,
        Fault::Breaks(index) => scene.grey(index, Grey::Breaks, span).await,
        Fault::Chill(index) => scene.upstream(index).chill(COLD),
        Fault::DomainOut(index) => scene.domain_out(index, span).await,
        Fault::KeyGone => scene.change(CatalogDesk::change_key),
        Fault::RouteChange => scene.change(CatalogDesk::change_route),
    }
}

struct Scene {
    world: Arc<Deployment>,
    history: History,
}

impl Scene {
    fn daemon(&self, index: usize) -> Arc<Daemon> {
        Arc::clone(&self.world.daemons[index % self.world.daemons.len()])
    }

    fn upstream(&self, index: usize) -> Arc<Upstream> {
        Arc::clone(&self.world.upstreams[index % self.world.upstreams.len()])
    }

    fn disturb(&self, part: &Part, disturbed: bool) {
        let part = part.clone();
        self.history.note(if disturbed {
            Observation::Disturbed(part)
        } else {
            Observation::Calm(part)
        });
    }

    fn kill(&self, index: usize) {
        let daemon = self.daemon(index);
        let part = Part::Daemon(daemon.index);
        self.disturb(&part, true);
        daemon.signal(Signal::Kill);
        self.disturb(&part, false);
    }

    async fn terminate(&self, index: usize) {
        let daemon = self.daemon(index);
        let part = Part::Restart(daemon.index);
        self.disturb(&part, true);
        self.history.note(Observation::Stopping {
            daemon: daemon.index,
        });
        daemon.signal(Signal::Terminate);
        sleep(STOP).await;
        self.disturb(&part, false);
    }

    async fn pause(&self, index: usize, span: Duration) {
        let daemon = self.daemon(index);
        let part = Part::Daemon(daemon.index);
        self.disturb(&part, true);
        daemon.signal(Signal::Pause);
        sleep(span).await;
        daemon.signal(Signal::Resume);
        self.disturb(&part, false);
    }

    async fn link(&self, proxy: &Proxy, link: Link, part: Part, span: Duration) {
        self.disturb(&part, true);
        proxy.set(link);
        sleep(span).await;
        proxy.set(Link::Open);
        self.disturb(&part, false);
    }

    async fn callers_link(&self, index: usize, link: Link, span: Duration) {
        let daemon = self.daemon(index);
        let part = Part::Daemon(daemon.index);
        self.link(&daemon.callers, link, part, span).await;
    }

    async fn store_link(&self, index: usize, link: Link, span: Duration) {
        let daemon = self.daemon(index);
        let part = Part::StoreOf(daemon.index);
        self.link(&daemon.store, link, part, span).await;
    }

    async fn upstream_link(&self, index: usize, link: Link, span: Duration) {
        let upstream = self.upstream(index);
        let part = Part::from(&upstream.id());
        self.link(&upstream.proxy, link, part, span).await;
    }

    async fn store(&self, mode: StoreMode, span: Duration) {
        self.disturb(&Part::Store, true);
        self.world.store.set(mode);
        sleep(span).await;
        self.world.store.set(StoreMode::Up);
        self.disturb(&Part::Store, false);
    }

    fn forget(&self) {
        self.disturb(&Part::Store, true);
        self.world.store.forget();
        self.disturb(&Part::Store, false);
    }

    async fn crash(&self, index: usize, span: Duration) {
        let upstream = self.upstream(index);
        let part = Part::from(&upstream.id());
        self.disturb(&part, true);
        self.log(upstream.crash(span).await);
        self.disturb(&part, false);
    }

    async fn leave(&self, index: usize) {
        let upstream = self.upstream(index);
        self.log(upstream.leave(SERVES_ON).await);
    }

    async fn grey(&self, index: usize, grey: Grey, span: Duration) {
        let upstream = self.upstream(index);
        let part = Part::from(&upstream.id());
        self.disturb(&part, true);
        upstream.set_grey(grey);
        sleep(span).await;
        upstream.set_grey(Grey::No);
        self.disturb(&part, false);
    }

    async fn domain_out(&self, index: usize, span: Duration) {
        let domain = match domain(index) {
            Ok(domain) => domain,
            Err(error) => return self.log(Err(error)),
        };
        self.world.take_out(&domain, true);
        self.history.note(Observation::DomainOut {
            domain: domain.clone(),
        });
        sleep(span * 2).await;
        self.history.note(Observation::DomainBack {
            domain: domain.clone(),
        });
        self.world.take_out(&domain, false);
    }

    fn change<E: std::error::Error + Send + Sync + 'static>(
        &self,
        change: impl Fn(&CatalogDesk) -> Result<(), E>,
    ) {
        self.log(change(&self.world.desk).map_err(std::io::Error::other));
    }

    fn log(&self, done: std::io::Result<()>) {
        if let Err(error) = done {
            eprintln!("a fault can't be brought about: {error}");
        }
    }
}
