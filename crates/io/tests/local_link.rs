//! Daemons of one process, joined without sockets.

use persimmon_core::{
    ids::{AttemptId, AttemptNumber, Incarnation, RequestId},
    message::{GrantMessage, Member, PeerMessage},
    Event,
};
use persimmon_io::link::{LocalNetwork, PeerLink};

fn member(vm: &str, port: u16) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation::new(7),
        domain: "a".parse().unwrap(),
        peer_address: ([127, 0, 0, 1], port).into(),
    }
}

fn message() -> PeerMessage {
    PeerMessage::Grant(GrantMessage::Withdraw {
        attempt: AttemptId {
            request: RequestId::new(1),
            number: AttemptNumber::new(0),
        },
    })
}

#[test]
fn messages_arrive_or_come_back_as_unreachable() {
    let network = LocalNetwork::default();
    let (one, two) = (member("vm-1", 1), member("vm-2", 2));
    let ((to_one, at_one), (to_two, at_two)) = (flume::unbounded(), flume::unbounded());
    let link = network.join(&one, to_one);
    let other = network.join(&two, to_two);
    assert_eq!(other.local_address(), two.peer_address);
    link.send(&two.vm, two.peer_address, message());
    let event = Event::Peer {
        from: one.vm.clone(),
        incarnation: one.incarnation,
        message: message(),
    };
    assert_eq!(at_two.try_recv(), Ok(event));
    drop(other);
    link.send(&two.vm, two.peer_address, message());
    let vm = two.vm;
    assert_eq!(at_one.try_recv(), Ok(Event::PeerUnreachable { vm }));
    assert!(at_two.is_empty());
}
