//! Daemons that are connected over loopback.

#![allow(dead_code, reason = "each test file uses a part")]

use flume::Receiver;
use persimmon_core::{
    dispatch::DispatchEvent,
    ids::{Incarnation, VmId},
    message::Member,
};
use persimmon_io::peer::{Identity, KeyPairPem, Mesh, RelaySink};
use socket2::{Domain, Socket, Type};
use std::{
    net::{SocketAddr, TcpStream, UdpSocket},
    rc::Rc,
    time::Duration,
};
use tokio::{runtime::Builder, task::LocalSet, time::timeout};

/// Time limit of each step of a test.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon of a mesh, without anything else.
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) mesh: Rc<Mesh>,
    pub(crate) events: Receiver<DispatchEvent>,
}

pub(crate) fn node(ca: &KeyPairPem, name: &str) -> Node {
    relaying_node(ca, name, Rc::new(drop))
}

/// A daemon that handles the connections that its peers ask for.
pub(crate) fn relaying_node(ca: &KeyPairPem, name: &str, relays: RelaySink) -> Node {
    let vm: VmId = name.parse().unwrap();
    let identity = Identity::for_mesh(&vm, &ca.new_vm(&vm).unwrap()).unwrap();
    let free_address = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (sender, events) = flume::unbounded();
    let sink = Rc::new(move |event| sender.send(event).unwrap());
    let member = Member {
        vm: vm.clone(),
        incarnation: Incarnation::new(1),
        domain: "a".parse().unwrap(),
        peer_address: free_address,
    };
    Node {
        member,
        mesh: Mesh::start(vm, free_address, &identity, sink, relays).unwrap(),
        events,
    }
}

impl Node {
    pub(crate) async fn event(&self) -> DispatchEvent {
        timeout(STEP_TIMEOUT, self.events.recv_async())
            .await
            .unwrap()
            .unwrap()
    }
}

pub(crate) fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A listener whose queue is full, so that connections to it hang.
pub(crate) fn hanging() -> (Socket, Vec<TcpStream>, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let limit = Duration::from_millis(50);
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, limit) {
        waiting.push(stream);
    }
    (socket, waiting, address)
}
