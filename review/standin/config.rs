//! The operator's configuration.

use crate::{record::Record, store::Store};

pub struct Config {
    /// Names of tenants and their keys.
    pub tenants: Vec<(String, Vec<String>)>,
    /// Number of routes that get no requests.
    pub spare_routes_len: usize,
    /// Requests a second that a cold server takes; 0 if servers are never cold.
    pub cold_per_s: u32,
    pub version: u64,
}

impl Config {
    pub fn write(&mut self, store: &Store, record: &Record, why: &str) {
        self.version += 7;
        store.put("op", "config", &self.text());
        record.line(&format!(
            "configuration {} is acknowledged: {why}",
            self.version
        ));
    }

    /// Writes the same version once more.
    pub fn write_again(&self, store: &Store, record: &Record) {
        store.put("op", "config", &self.text());
        record.line(&format!("configuration {} is written again", self.version));
    }

    fn text(&self) -> String {
        let route = |name: &str, kind: &str| {
            // Routes for larger requests and answers have more time.
            let timeout_ms = if matches!(name, "file" | "export") {
                15_000
            } else {
                2_500
            };
            format!(
                "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
                 \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"orders\",\
                 \"maxAttempts\":{},\"public\":false}}",
                if kind == "idempotent" { 2 } else { 1 }
            )
        };
        let mut routes = vec![
            route("release", "non_idempotent"),
            route("status", "idempotent"),
        ];
        routes.extend([
            route("file", "non_idempotent"),
            route("export", "idempotent"),
        ]);
        for index in 0..self.spare_routes_len {
            routes.push(route(&format!("spare{index}"), "idempotent"));
        }
        let tenants = self.tenants.iter().map(|(name, keys)| {
            let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[{}],\"priority\":1}}",
                keys.join(",")
            )
        });
        let tenants: Vec<_> = tenants.collect();
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"orders\",\"healthPath\":\"/health\",\
             \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{}.0}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
            self.version,
            routes.join(","),
            self.cold_per_s,
            tenants.join(",")
        )
    }
}
