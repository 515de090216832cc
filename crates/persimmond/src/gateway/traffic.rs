//! The traffic thread: one event loop for connections of callers, upstreams, the store and peers.

use super::{
    peers::{self, JoinedMesh, MeshRelays, MeshSinks},
    Adapter, GatewayError,
};
use flume::Receiver;
use http::StatusCode;
use persimmon_core::{
    dispatch::{DispatchEvent, DispatchMessage, ReserveOrder},
    ids::VmId,
    units::{ByteCount, Millis},
    watch::{StoreError, WatchCall},
};
use persimmon_io::{
    http::MetricsPage,
    settings::GatewaySettings,
    telemetry::{Metric, Telemetry},
    transport::{
        listen, send_order, serve_pages, serve_relay, CallerListener, Connector, Dialect,
        DrainState, Hub, Memory, MetadataStore, Pool, SharedLimits, Target,
    },
};
use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{watch, Notify},
    task::{spawn_local, LocalSet},
    time::{interval, sleep, timeout, timeout_at, Instant},
};

/// Interval at which idle connections are evicted from the pool.
const IDLE_EVICTION_INTERVAL: Duration = Duration::from_millis(500);

/// Longest read buffer of a connection to an upstream.
const UPSTREAM_BUFFER_MAX_BYTES: usize = 32 << 10;

/// Interval at which the gauges of the memory budget are updated.
const MEMORY_GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the grace period that is left for the process to exit: a VM with little CPU time needs most of a second.
const EXIT_TIME: Duration = Duration::from_millis(1_200);

/// Time for the close messages to peers to leave the process before the event loop ends.
const PEER_CLOSE_FLUSH_TIME: Duration = Duration::from_millis(30);

/// Job of the traffic thread that belongs to no call.
#[derive(Debug)]
pub(super) enum Job {
    /// Read rows or changes of the store.
    ReadStore(WatchCall),
    /// Send an order to an engine.
    Order(ReserveOrder),
    /// Close idle connections to these addresses.
    DiscardIdle {
        /// The addresses.
        addresses: Vec<SocketAddr>,
        /// Time for which a connection must have been idle.
        idle_for_ms: Millis,
    },
    /// Check whether an upstream accepts connections.
    CheckUpstream(Target),
    /// Close the connections by way of a peer that is about to stop.
    DiscardRelayed {
        /// The peer.
        peer: VmId,
    },
    /// Send a message about dispatched work to peers.
    Notify {
        /// The receiver; none for all peers.
        to: Option<VmId>,
        /// The message.
        message: DispatchMessage,
    },
    /// Write this daemon's entry to the store again.
    Register {
        /// Time to wait before.
        after_ms: Millis,
    },
    /// Set the drain state of callers' connections.
    Drain(DrainState),
    /// End the event loop.
    Exit,
}

/// Inputs of the traffic thread.
pub(super) struct Traffic {
    pub(super) settings: GatewaySettings,
    pub(super) adapter: Adapter,
    pub(super) hub: Arc<Hub>,
    pub(super) jobs: Receiver<Job>,
    pub(super) limits: SharedLimits,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) telemetry: Arc<Telemetry>,
}

/// What jobs work with.
struct Links {
    hub: Arc<Hub>,
    pool: Rc<Pool>,
    store: Rc<dyn MetadataStore>,
    dialect: Rc<dyn Dialect>,
    mesh: JoinedMesh,
    /// Notified when the store may have lost this daemon's entry.
    lost_entry: Rc<Notify>,
    drain: watch::Sender<DrainState>,
}

impl Links {
    /// Starts a job.
    fn start(&self, job: Job) {
        let (pool, hub) = (Rc::clone(&self.pool), Arc::clone(&self.hub));
        match job {
            Job::ReadStore(call) => {
                spawn_local(read_store(Rc::clone(&self.store), hub, call));
            }
            Job::Order(order) => {
                spawn_local(send_order(pool, Rc::clone(&self.dialect), hub, order));
            }
            Job::CheckUpstream(target) => {
                spawn_local(check_upstream(pool, hub, target));
            }
            Job::DiscardRelayed { peer } => pool.discard_relayed(&peer),
            Job::DiscardIdle {
                addresses,
                idle_for_ms,
            } => pool.discard_idle(&addresses, idle_for_ms.duration()),
            Job::Notify { to, message } => {
                if let Some(mesh) = &*self.mesh.borrow() {
                    mesh.send(to.as_ref(), &message);
                }
            }
            Job::Register { after_ms } => {
                spawn_local(notify_after(after_ms, Rc::clone(&self.lost_entry)));
            }
            Job::Drain(state) => {
                self.drain.send_replace(state);
            }
            // The loop that starts jobs ends instead.
            Job::Exit => {}
        }
    }
}

impl Traffic {
    /// Runs until the control thread sends `Job::Exit`.
    pub(super) fn run(self) -> Result<(), GatewayError> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(GatewayError::Thread)?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<(), GatewayError> {
        let (drain, drain_state) = watch::channel(DrainState::default());
        let mesh = JoinedMesh::default();
        let hub = Arc::clone(&self.hub);
        let on_report = move |report| hub.send_event(DispatchEvent::PathsTried(report));
        let relays = Rc::new(MeshRelays(Rc::clone(&mesh)));
        let source = self.settings.upstream_source;
        let connector = Connector::new(source, relays, Rc::new(on_report));
        let memory = Memory::new(self.settings.dispatch.memory.unwrap_or_default());
        let pool = Rc::new(Pool::new(connector).with_buffer_max(UPSTREAM_BUFFER_MAX_BYTES));
        let store = (self.adapter.store)(Rc::clone(&pool), self.settings.store);
        let dialect = (self.adapter.dialect)();
        let callers = CallerListener::new(
            Arc::clone(&self.hub),
            Rc::clone(&pool),
            Rc::clone(&dialect),
            Arc::clone(&self.limits),
            self.settings.connections_max_len,
            drain_state,
        );
        let callers = callers.with_memory(Some(Arc::clone(&memory)));
        let listen = self.settings.listen;
        let socket = listen_at("listen.callers", listen.callers)?;
        spawn_local(Rc::new(callers).accept(socket));
        self.serve_pages()?;
        spawn_local(evict_idle_connections(Rc::clone(&pool)));
        let lost_entry = Rc::new(Notify::new());
        self.spawn_join(&store, &lost_entry, &mesh, Arc::clone(&memory));
        let telemetry = Arc::clone(&self.telemetry);
        spawn_local(update_memory_gauges(telemetry, Arc::clone(&memory)));
        let links = Links {
            hub: Arc::clone(&self.hub),
            pool,
            store,
            dialect,
            mesh,
            lost_entry,
            drain,
        };
        let mut draining_since = None;
        while let Ok(job) = self.jobs.recv_async().await {
            match job {
                Job::Exit => break,
                Job::Drain(_) => draining_since = draining_since.or_else(|| Some(Instant::now())),
                _ => {}
            }
            links.start(job);
        }
        links.hub.stop();
        if let Some(since) = draining_since {
            // Responses that are complete but not read yet are held here, and no call is open for them.
            let grace = self.settings.dispatch.grace_ms.duration();
            let until = since + grace.saturating_sub(EXIT_TIME);
            let _ = timeout_at(until, memory.responses_sent()).await;
        }
        if let Some(mesh) = links.mesh.take() {
            mesh.close();
            sleep(PEER_CLOSE_FLUSH_TIME).await;
        }
        Ok(())
    }

    fn spawn_join(
        &self,
        store: &Rc<dyn MetadataStore>,
        lost_entry: &Rc<Notify>,
        mesh: &JoinedMesh,
        memory: Arc<Memory>,
    ) {
        let hub = Arc::clone(&self.hub);
        let on_event = move |event| hub.send_event(event);
        let hub = Arc::clone(&self.hub);
        let source = self.settings.upstream_source;
        let on_relay = move |request| {
            spawn_local(serve_relay(
                Arc::clone(&hub),
                source,
                Some(Arc::clone(&memory)),
                request,
            ));
        };
        let sinks = MeshSinks {
            events: Rc::new(on_event),
            relays: Rc::new(on_relay),
        };
        spawn_local(peers::join(
            self.settings.clone(),
            Rc::clone(store),
            sinks,
            Rc::clone(mesh),
            Rc::clone(lost_entry),
        ));
    }

    fn serve_pages(&self) -> Result<(), GatewayError> {
        let listen = self.settings.listen;
        let ready = Arc::clone(&self.ready);
        let readiness = move |_: &str| {
            if ready.load(Ordering::Relaxed) {
                (StatusCode::OK, "ready\n".to_owned())
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
            }
        };
        let socket = listen_at("listen.readiness", listen.readiness)?;
        spawn_local(serve_pages(socket, Rc::new(readiness)));
        let telemetry = Arc::clone(&self.telemetry);
        let metrics = move |_: &str| (StatusCode::OK, telemetry.render());
        let socket = listen_at("listen.metrics", listen.metrics)?;
        spawn_local(serve_pages(socket, Rc::new(metrics)));
        Ok(())
    }
}

fn listen_at(key: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    listen(address).map_err(|reason| GatewayError::Listen {
        key,
        address,
        reason,
    })
}

async fn read_store(store: Rc<dyn MetadataStore>, hub: Arc<Hub>, call: WatchCall) {
    let answer = timeout(call.timeout_ms.duration(), store.watch(call)).await;
    let answer = answer.unwrap_or_else(|_| {
        Err(StoreError::Lost {
            reason: "the call timed out".to_owned(),
        })
    });
    hub.send_event(DispatchEvent::StoreAnswered {
        topic: call.topic,
        answer: answer.map(Box::new),
    });
}

async fn check_upstream(pool: Rc<Pool>, hub: Arc<Hub>, target: Target) {
    let attempts = pool.check(&target).await;
    if let Some(upstream) = target.upstream {
        hub.send_event(DispatchEvent::UpstreamChecked { upstream, attempts });
    }
}

async fn notify_after(after_ms: Millis, notify: Rc<Notify>) {
    sleep(after_ms.duration()).await;
    notify.notify_one();
}

async fn evict_idle_connections(pool: Rc<Pool>) {
    let mut ticks = interval(IDLE_EVICTION_INTERVAL);
    loop {
        ticks.tick().await;
        pool.evict_idle();
    }
}

async fn update_memory_gauges(telemetry: Arc<Telemetry>, memory: Arc<Memory>) {
    let mut ticks = interval(MEMORY_GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        let usage = memory.usage();
        let set = |metric, labels: &[(&'static str, &str)], bytes: ByteCount| {
            telemetry.gauge(metric, labels).set(bytes.get() as f64);
        };
        for (memory_use, bytes) in usage.by_use {
            set(Metric::MEMORY_HELD, &[("use", memory_use.name())], bytes);
        }
        set(Metric::MEMORY_HELD, &[("use", "sockets")], usage.sockets);
        set(Metric::MEMORY_PEAK, &[], usage.peak);
        set(Metric::MEMORY_BUDGET, &[], usage.budget);
    }
}
