//! The in-process link between daemons, which uses no sockets.

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
fn messages_arrive_or_are_reported_as_unreachable() {
    let network = LocalNetwork::default();
    let (one, two) = (member("vm-1", 1), member("vm-2", 2));
    let ((inbox_one, events_one), (inbox_two, events_two)) =
        (flume::unbounded(), flume::unbounded());
    let link = network.join(&one, inbox_one);
    let other = network.join(&two, inbox_two);
    assert_eq!(other.local_address(), two.peer_address);
    link.send(&two.vm, two.peer_address, message());
    let event = Event::Peer {
        from: one.vm.clone(),
        incarnation: one.incarnation,
        message: message(),
    };
    assert_eq!(events_two.try_recv(), Ok(event));
    drop(other);
    link.send(&two.vm, two.peer_address, message());
    let vm = two.vm;
    assert_eq!(events_one.try_recv(), Ok(Event::PeerUnreachable { vm }));
    assert!(events_two.is_empty());
}
