//! The mesh of daemons over loopback: connections, message order, and rejection of foreign daemons.

mod common;

use common::{node, run};
use persimmon_core::{
    catalog::{ApiKey, CallKind, CallerLimits, KeyHolder, RawCatalog, Route, Service, Target},
    dispatch::{DispatchEvent, DispatchMessage, OperatorChange},
    ids::{CatalogVersion, SendId},
    units::Millis,
};
use persimmon_io::peer::{Identity, KeyPairPem};
use std::time::Duration;
use tokio::time::sleep;

fn catalog() -> RawCatalog {
    RawCatalog {
        version: CatalogVersion::new(41),
        routes: vec![Route {
            name: "alarm".into(),
            host: "cells.example".into(),
            prefix: "/alarm/".into(),
            kind: CallKind::Streaming {
                resumable: true,
                pause_target_ms: Millis::new(250),
            },
            timeout_ms: Millis::new(10_000),
            target_latency_ms: Millis::new(300),
            priority: 1,
            targets: vec![Target {
                service: "advisor".parse().unwrap(),
                weight_ratio: 90,
            }],
            max_attempts: 2,
            is_public: false,
        }],
        services: vec![Service {
            name: "advisor".parse().unwrap(),
            connections_max_len: 200,
            cold_start_ms: Millis::new(3_000),
            cold_per_s: 12.5,
            engine: None,
        }],
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            head_timeout_ms: Millis::new(3_000),
            idle_timeout_ms: Millis::new(15_000),
        },
        keys: Some(vec![(
            ApiKey::from("key-1"),
            KeyHolder {
                workspace: "line-1".parse().unwrap(),
                priority: Some(1),
            },
        )]),
    }
}

#[test]
fn messages_arrive_in_order_and_connection_changes_are_reported() {
    run(async {
        let ca = KeyPairPem::new_ca().unwrap();
        let (one, two) = (node(&ca, "vm-1"), node(&ca, "vm-2"));
        one.mesh
            .update_members(vec![one.member.clone(), two.member.clone()]);
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { vm } if vm == two.member.vm));
        assert!(matches!(two.event().await, DispatchEvent::PeerUp { vm } if vm == one.member.vm));
        for send in 1..=50 {
            one.mesh
                .send(None, &DispatchMessage::Ended(SendId::new(send)));
        }
        for send in 1..=50 {
            match two.event().await {
                DispatchEvent::PeerMessage { vm, message } => {
                    assert_eq!(vm, one.member.vm);
                    assert_eq!(message, DispatchMessage::Ended(SendId::new(send)));
                }
                other => panic!("{other:?}"),
            }
        }
        two.mesh.close();
        match one.event().await {
            DispatchEvent::PeerDown { vm } => assert_eq!(vm, two.member.vm),
            other => panic!("{other:?}"),
        }
    });
}

/// A process that was killed and started again connects before the link to its predecessor is noticed to be lost.
/// What was known of the predecessor was kept for the new process (review case 1, rule CONFIG).
#[test]
fn a_process_that_starts_again_replaces_its_predecessor() {
    run(async {
        let ca = KeyPairPem::new_ca().unwrap();
        let (one, killed) = (node(&ca, "vm-1"), node(&ca, "vm-2"));
        one.mesh.update_members(vec![killed.member.clone()]);
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { .. }));
        assert!(matches!(killed.event().await, DispatchEvent::PeerUp { .. }));
        let started = node(&ca, "vm-2");
        started.mesh.update_members(vec![one.member.clone()]);
        assert!(matches!(
            started.event().await,
            DispatchEvent::PeerUp { .. }
        ));
        let vm_two = &started.member.vm;
        assert!(matches!(one.event().await, DispatchEvent::PeerDown { vm } if vm == *vm_two));
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { vm } if vm == *vm_two));
        let message = DispatchMessage::Ended(SendId::new(1));
        killed.mesh.send(None, &message);
        one.mesh.send(Some(vm_two), &message);
        assert!(matches!(
            started.event().await,
            DispatchEvent::PeerMessage { .. }
        ));
        assert!(matches!(
            killed.event().await,
            DispatchEvent::PeerDown { .. }
        ));
        assert!(one.events.is_empty());
        assert_eq!(one.mesh.connections_len(), 1);
    });
}

#[test]
fn a_catalog_that_is_passed_on_arrives_unchanged() {
    run(async {
        let ca = KeyPairPem::new_ca().unwrap();
        let (one, two) = (node(&ca, "vm-1"), node(&ca, "vm-2"));
        one.mesh.update_members(vec![two.member.clone()]);
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { .. }));
        assert!(matches!(two.event().await, DispatchEvent::PeerUp { .. }));
        let sent = DispatchMessage::OperatorChanges {
            after: "3.7".parse().unwrap(),
            position: "3.9".parse().unwrap(),
            changes: vec![OperatorChange::Catalog(Box::new(catalog()))],
        };
        one.mesh.send(None, &sent);
        match two.event().await {
            DispatchEvent::PeerMessage { message, .. } => assert_eq!(message, sent),
            other => panic!("{other:?}"),
        }
    });
}

#[test]
fn daemons_that_learn_of_each_other_at_once_connect_once_per_pair() {
    run(async {
        let ca = KeyPairPem::new_ca().unwrap();
        let nodes = ["vm-1", "vm-2", "vm-3"].map(|name| node(&ca, name));
        for node in &nodes {
            node.mesh
                .update_members(nodes.iter().map(|n| n.member.clone()).collect());
        }
        for node in &nodes {
            for _ in 1..nodes.len() {
                assert!(matches!(node.event().await, DispatchEvent::PeerUp { .. }));
            }
        }
        sleep(Duration::from_millis(300)).await;
        let connections = nodes.each_ref().map(|node| node.mesh.connections_len());
        assert_eq!(connections, [2, 2, 2]);
    });
}

#[test]
fn the_daemon_with_the_greater_name_dials_a_peer_that_does_not() {
    run(async {
        let ca = KeyPairPem::new_ca().unwrap();
        let (one, two) = (node(&ca, "vm-1"), node(&ca, "vm-2"));
        two.mesh.update_members(vec![one.member.clone()]);
        assert!(matches!(two.event().await, DispatchEvent::PeerUp { vm } if vm == one.member.vm));
    });
}

/// A daemon that started when the store had lost the authority has stored another one: the others use
/// that for new connections and keep those that they have.
#[test]
fn a_daemon_that_adopts_another_ca_connects_under_it_and_keeps_its_connections() {
    run(async {
        let (old_ca, new_ca) = (KeyPairPem::new_ca().unwrap(), KeyPairPem::new_ca().unwrap());
        let (one, two) = (node(&old_ca, "vm-1"), node(&old_ca, "vm-2"));
        one.mesh.update_members(vec![two.member.clone()]);
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { .. }));
        assert!(matches!(two.event().await, DispatchEvent::PeerUp { .. }));
        let later = node(&new_ca, "vm-3");
        later.mesh.update_members(vec![one.member.clone()]);
        sleep(Duration::from_millis(2_500)).await;
        assert!(later.events.is_empty());
        let vm = &one.member.vm;
        let identity = Identity::for_mesh(vm, &new_ca.new_vm(vm).unwrap()).unwrap();
        one.mesh.set_identity(&identity);
        assert!(matches!(later.event().await, DispatchEvent::PeerUp { vm } if vm == one.member.vm));
        assert!(matches!(one.event().await, DispatchEvent::PeerUp { vm } if vm == later.member.vm));
        assert!(two.events.is_empty());
        let message = DispatchMessage::Ended(SendId::new(1));
        one.mesh.send(Some(&two.member.vm), &message);
        assert!(matches!(
            two.event().await,
            DispatchEvent::PeerMessage { .. }
        ));
    });
}

#[test]
fn daemons_with_another_ca_are_rejected() {
    run(async {
        let one = node(&KeyPairPem::new_ca().unwrap(), "vm-1");
        let foreign = node(&KeyPairPem::new_ca().unwrap(), "vm-2");
        foreign.mesh.update_members(vec![one.member.clone()]);
        sleep(Duration::from_millis(2_500)).await;
        assert!(one.events.is_empty() && foreign.events.is_empty());
    });
}
