//! The QUIC link between daemons: delivery, order, and rejection of foreign daemons.

use flume::Receiver;
use persimmon_core::{
    ids::{Generation, Incarnation, VmId},
    message::{ConfigMessage, PeerMessage},
    Event,
};
use persimmon_io::{
    link::PeerLink,
    peer::{Identity, KeyPairPem, QuicLink},
};
use std::{net::UdpSocket, sync::Arc, time::Duration};

/// Time limit for an event to arrive.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn start(name: &str, ca: &KeyPairPem) -> (QuicLink, Receiver<Event>) {
    let (sender, receiver) = flume::unbounded();
    let identity = Identity::new(&vm(name), &ca.new_vm(&vm(name)).unwrap()).unwrap();
    let sink = Arc::new(move |event| drop(sender.send(event)));
    let address = "127.0.0.1:0".parse().unwrap();
    (
        QuicLink::start(address, identity, Incarnation::new(7), sink).unwrap(),
        receiver,
    )
}

fn pull(generation: u64) -> PeerMessage {
    PeerMessage::Config(ConfigMessage::Pull {
        after: Generation::new(generation),
    })
}

#[test]
fn messages_arrive_in_order_with_the_senders_vm() {
    let ca = KeyPairPem::new_ca().unwrap();
    let (a, _) = start("vm-a", &ca);
    let (b, events_at_b) = start("vm-b", &ca);
    for generation in 0..100 {
        a.send(&vm("vm-b"), b.local_address(), pull(generation));
    }
    for generation in 0..100 {
        let expected = Event::Peer {
            from: vm("vm-a"),
            incarnation: Incarnation::new(7),
            message: pull(generation),
        };
        assert_eq!(events_at_b.recv_timeout(EVENT_TIMEOUT).unwrap(), expected);
    }
}

#[test]
fn a_daemon_with_another_ca_is_rejected() {
    let (a, events_at_a) = start("vm-a", &KeyPairPem::new_ca().unwrap());
    let (b, events_at_b) = start("vm-b", &KeyPairPem::new_ca().unwrap());
    a.send(&vm("vm-b"), b.local_address(), pull(1));
    let unreachable = Event::PeerUnreachable { vm: vm("vm-b") };
    assert_eq!(
        events_at_a.recv_timeout(EVENT_TIMEOUT).unwrap(),
        unreachable
    );
    assert!(events_at_b.is_empty());
}

#[test]
fn a_daemon_whose_certificate_names_another_vm_is_rejected() {
    let ca = KeyPairPem::new_ca().unwrap();
    let (a, events_at_a) = start("vm-a", &ca);
    let (b, events_at_b) = start("vm-b", &ca);
    a.send(&vm("vm-c"), b.local_address(), pull(1));
    let unreachable = Event::PeerUnreachable { vm: vm("vm-c") };
    assert_eq!(
        events_at_a.recv_timeout(EVENT_TIMEOUT).unwrap(),
        unreachable
    );
    assert!(events_at_b.is_empty());
}

#[test]
fn a_restarted_peer_is_reached_again() {
    let ca = KeyPairPem::new_ca().unwrap();
    let (a, events_at_a) = start("vm-a", &ca);
    let (b, events_at_b) = start("vm-b", &ca);
    a.send(&vm("vm-b"), b.local_address(), pull(1));
    events_at_b.recv_timeout(EVENT_TIMEOUT).unwrap();
    drop(b);
    let (b, events_at_b) = start("vm-b", &ca);
    b.send(&vm("vm-a"), a.local_address(), pull(2));
    events_at_a.recv_timeout(EVENT_TIMEOUT).unwrap();
    a.send(&vm("vm-b"), b.local_address(), pull(3));
    let arrived = events_at_b.recv_timeout(EVENT_TIMEOUT).unwrap();
    assert!(matches!(arrived, Event::Peer { message, .. } if message == pull(3)));
}

#[test]
fn a_peer_restarted_at_another_address_is_reached_without_waiting_for_the_old_one() {
    let ca = KeyPairPem::new_ca().unwrap();
    let (a, events_at_a) = start("vm-a", &ca);
    let silent_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    a.send(&vm("vm-b"), silent_socket.local_addr().unwrap(), pull(1));
    silent_socket.recv_from(&mut [0; 2048]).unwrap();
    let (b, events_at_b) = start("vm-b", &ca);
    b.send(&vm("vm-a"), a.local_address(), pull(2));
    events_at_a.recv_timeout(EVENT_TIMEOUT).unwrap();
    a.send(&vm("vm-b"), b.local_address(), pull(3));
    for expected in [pull(1), pull(3)] {
        let arrived = events_at_b.recv_timeout(EVENT_TIMEOUT).unwrap();
        assert!(matches!(arrived, Event::Peer { message, .. } if message == expected));
    }
    assert!(
        events_at_a.is_empty(),
        "the dial of the old address was waited for"
    );
}

#[test]
fn keys_of_another_vm_are_rejected() {
    let ca = KeyPairPem::new_ca().unwrap();
    let keys = ca.new_vm(&vm("vm-a")).unwrap();
    let error = Identity::new(&vm("vm-b"), &keys).unwrap_err();
    insta::assert_snapshot!(
        error,
        @"the certificate names VM vm-a, the settings vm-b: use the keys of vm-b"
    );
}
