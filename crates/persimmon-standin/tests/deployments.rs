//! The example deployments, and invalid settings.

use persimmon_core::config::UpstreamKind;
use persimmon_standin::{
    demo::{Deployment, DeploymentFields},
    engine::EngineFields,
    platform::PlatformFields,
    read_settings, EngineSettings, PlatformSettings,
};
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

fn example(name: &str) -> Deployment {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    read_settings::<DeploymentFields, _>(&root.join(name)).unwrap()
}

fn sizes(name: &str) -> String {
    let deployment = example(name);
    let upstreams = deployment.upstreams().unwrap();
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let addresses: BTreeMap<_, _> = upstreams
        .iter()
        .map(|slot| (slot.upstream.clone(), address))
        .collect();
    let config = deployment.configuration(&addresses).unwrap();
    let engines = config.upstreams.values();
    let engines = engines.filter(|u| matches!(u.kind, UpstreamKind::Engine(_)));
    format!(
        "{} domains, {} VMs, {} engines, {} upstreams, {} workspaces, generation {}",
        config.domains.len(),
        deployment.vms().unwrap().len(),
        engines.count(),
        config.upstreams.len(),
        config.workspaces.len(),
        config.generation,
    )
}

#[test]
fn examples_have_the_expected_sizes() {
    insta::assert_snapshot!(sizes("jadeleaf.json"));
    insta::assert_snapshot!(sizes("kadikoy.json"));
}

#[test]
fn configuration_names_an_upstream_without_address() {
    let error = example("jadeleaf.json").configuration(&BTreeMap::new());
    insta::assert_snapshot!(error.unwrap_err());
}

#[test]
fn invalid_settings_are_refused() {
    let engine = |text: &str| {
        let fields = serde_json::from_str::<EngineFields>(text);
        let fields = fields.map_err(|error| error.to_string())?;
        EngineSettings::try_from(fields).map_err(|error| error.to_string())
    };
    let platform = PlatformSettings::try_from(PlatformFields {
        writes_per_s: f64::NAN,
        ..PlatformFields::default()
    });
    let errors = [
        engine(r#"{"wheels": 4}"#).unwrap_err(),
        engine(r#"{"kv_bytes": 0}"#).unwrap_err(),
        engine(r#"{"max_in_flight_requests": 0}"#).unwrap_err(),
        engine(r#"{"decode_tokens_per_s": -1}"#).unwrap_err(),
        engine(r#"{"cold_rate_ratio": 2}"#).unwrap_err(),
        platform.unwrap_err().to_string(),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}
