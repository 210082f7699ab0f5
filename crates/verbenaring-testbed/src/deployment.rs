//! A whole deployment in one process: store, engines, plain services, nodes.
//!
//! Every socket is bound to a free loopback port. Tests and examples use the
//! same code, so what an example shows is what the tests check.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use uuid::Uuid;
use verbenaring_gateway::config::{ClusterKey, GuardSettings, NodeSettings, PeerSettings};
use verbenaring_gateway::etcd::EtcdStore;
use verbenaring_gateway::node::{BoundNode, RunningNode};
use verbenaring_gateway::store::{PlatformStore, SwapCondition, SwapOutcome, SwapRequest};
use verbenaring_gateway::tls::{CallerTls, NodeTls};
use verbenaring_policy::id::{CentreName, ChangeId, DataCentre, Digest, RegionName, VmId};

use verbenaring_protocol::stored::StoredEntry;

use crate::engine::{EngineServer, EngineSettings};
use crate::error::Result;
use crate::service::{ServiceServer, ServiceSettings};
use crate::store::{StoreServer, StoreSettings};

/// Bearer key of the first customer of every deployment.
pub const CUSTOMER_KEY: &str = "vb-demo-key";
/// Bearer key of operators.
pub const OPERATOR_KEY: &str = "vb-operator-key";
/// Longest wait for a configuration to come into force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for the model lists of engines.
const LISTED_LIMIT: Duration = Duration::from_secs(2);

/// One data centre of a deployment.
#[derive(Debug, Clone)]
pub struct CentreSpec {
    /// Region of the data centre.
    pub region: &'static str,
    /// Name of the data centre.
    pub name: &'static str,
    /// Entry VMs.
    pub nodes: usize,
    /// Engines, one entry per engine.
    pub engines: Vec<EngineSettings>,
    /// Plain services by name.
    pub services: Vec<&'static str>,
}

impl Default for CentreSpec {
    fn default() -> Self {
        Self {
            region: "dublin",
            name: "dublin-a",
            nodes: 1,
            engines: vec![EngineSettings::default()],
            services: Vec::new(),
        }
    }
}

/// Shape of a deployment.
#[derive(Debug, Clone, Default)]
pub struct DeploymentSpec {
    /// Data centres.
    pub centres: Vec<CentreSpec>,
    /// Memory limits of the nodes.
    pub guards: GuardSettings,
    /// Time on a stop during which nodes report not ready and still serve.
    pub drain: Duration,
    /// Mutual TLS between the nodes, one certificate for all.
    pub node_tls: Option<NodeTls>,
    /// TLS towards callers.
    pub caller_tls: Option<CallerTls>,
}

/// Running data centre.
pub struct RunningCentre {
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Running entry VMs.
    pub nodes: Vec<RunningNode>,
    /// Running engines.
    pub engines: Vec<EngineServer>,
    /// Running plain services.
    pub services: Vec<ServiceServer>,
}

/// Running deployment.
pub struct TestDeployment {
    /// Store stand-in.
    pub store: StoreServer,
    /// Client of the store, as operators use it.
    pub etcd: EtcdStore,
    /// Data centres in the order of the specification.
    pub centres: Vec<RunningCentre>,
}

impl TestDeployment {
    /// Starts everything and waits until all nodes know the configuration.
    pub async fn start(spec: &DeploymentSpec) -> Result<Self> {
        let store = StoreServer::start(StoreSettings::default()).await?;
        let etcd = EtcdStore::new(&[store.address()], Duration::from_secs(2));
        let mut bound = Vec::new();
        for centre in &spec.centres {
            bound.push(bind_nodes(centre, spec, store.address()).await);
        }
        let peers: Vec<PeerSettings> = bound
            .iter()
            .flatten()
            .map(|node| peer_of(node.settings()))
            .collect();
        let mut centres = Vec::new();
        for (centre, nodes) in spec.centres.iter().zip(bound) {
            centres.push(start_centre(centre, nodes, &peers).await?);
        }
        let deployment = Self {
            store,
            etcd,
            centres,
        };
        for centre in &deployment.centres {
            deployment.register_servers(centre, spec).await;
        }
        Ok(deployment)
    }

    /// First node of a data centre.
    pub fn node(&self, centre: usize) -> &RunningNode {
        &self.centres[centre].nodes[0]
    }

    /// Writes a configuration document and waits until it is in force.
    pub async fn write(&self, key: &str, document: &Value) -> u64 {
        let current = self.etcd.get(key).await.expect("store is up");
        let base = current.as_ref().map_or(0, |value| value.revision);
        let change = ChangeId(Uuid::new_v4());
        let entry = StoredEntry::wrap(change, base, Some(&document.to_string()))
            .expect("a JSON value is a document");
        let request = SwapRequest {
            key: key.to_owned(),
            condition: current.map_or(SwapCondition::Absent, |value| {
                SwapCondition::Revision(value.revision)
            }),
            value: Some(entry.to_value()),
            lease: 0,
        };
        match self
            .etcd
            .swap(&[request])
            .await
            .expect("store is up")
            .remove(0)
        {
            SwapOutcome::Written(revision) => {
                self.wait_in_force(revision).await;
                revision
            }
            SwapOutcome::Conflict(found) => panic!("concurrent write of {key}: {found:?}"),
        }
    }

    /// Waits until every node has at least `revision` in force.
    pub async fn wait_in_force(&self, revision: u64) {
        let wait = async {
            for node in self.centres.iter().flat_map(|centre| &centre.nodes) {
                let core = node.core();
                while core.catalog.load().revision() < revision || !core.replica.is_loaded() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        };
        tokio::time::timeout(IN_FORCE_LIMIT, wait)
            .await
            .expect("configuration is in force");
        // An engine that is down is never listed, so this wait is bounded only.
        let _ = tokio::time::timeout(LISTED_LIMIT, self.wait_listed()).await;
    }

    /// Waits until every node knows which models the engines have loaded.
    async fn wait_listed(&self) {
        for node in self.centres.iter().flat_map(|centre| &centre.nodes) {
            let catalog = node.core().catalog.load_full();
            for terms in catalog.servers() {
                let local = terms.data_centre == node.core().settings.data_centre;
                while local && node.core().backends.lacks_model(terms) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    async fn register_servers(&self, centre: &RunningCentre, spec: &DeploymentSpec) {
        let place = &centre.data_centre;
        let shape = spec
            .centres
            .iter()
            .find(|shape| shape.name == place.name.as_str());
        let shape = shape.expect("a running data centre is in the specification");
        for (index, (engine, settings)) in centre.engines.iter().zip(&shape.engines).enumerate() {
            let server = format!("{}-engine-{index}", place.name);
            let document = json!({
                "server": server, "region": place.region, "data_centre": place.name,
                "address": engine.address().to_string(), "kind": "engine",
                "models": settings.model_names, "slots": settings.slots,
                "tokens_per_s": settings.tokens_per_s, "resumes": settings.resume,
                "checks_fencing": settings.check_fencing,
            });
            self.write(&format!("config/server/{}/{server}", place.name), &document)
                .await;
        }
        for (index, (service, name)) in centre.services.iter().zip(&shape.services).enumerate() {
            let server = format!("{}-service-{index}", place.name);
            let document = json!({
                "server": server, "region": place.region, "data_centre": place.name,
                "address": service.address().to_string(), "kind": "service", "services": [name],
            });
            self.write(&format!("config/server/{}/{server}", place.name), &document)
                .await;
        }
    }

    /// Stops every node gracefully.
    pub async fn stop(self) {
        let nodes = self.centres.into_iter().flat_map(|centre| centre.nodes);
        futures::future::join_all(nodes.map(RunningNode::stop)).await;
    }
}

/// Contract document of a customer with room for tests.
pub fn contract_document(customer: &str, key: &str, home: &str, allowed: &[&str]) -> Value {
    json!({
        "customer": customer,
        "member": "awning",
        "keys": [Digest::of(key.as_bytes()).to_string()],
        "residency": { "home": home, "allowed": allowed },
        "limits": {
            "requests_per_s": 1000.0, "tokens_per_s": 1_000_000.0,
            "concurrent": 1000, "deadline_ms": 30_000,
        },
        "priority": "interactive",
        "models": ["standin"],
        "services": [{ "service": "jobs", "calls": [
            { "method": "POST", "path": "/bookings", "repeatable": false },
            { "method": "GET", "path": "/", "repeatable": true },
        ]}],
    })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn bind_nodes(
    centre: &CentreSpec,
    spec: &DeploymentSpec,
    store: SocketAddr,
) -> Vec<BoundNode> {
    let mut nodes = Vec::new();
    for index in 0..centre.nodes {
        let settings = NodeSettings {
            vm: VmId::new(&format!("{}-vm-{index}", centre.name)).expect("valid name"),
            data_centre: place_of(centre),
            caller_address: loopback(),
            peer_address: loopback(),
            control_address: loopback(),
            operator_address: loopback(),
            operator_key: Some(Digest::of(OPERATOR_KEY.as_bytes())),
            store_addresses: vec![store],
            store_timeout: Duration::from_secs(2),
            peers: Vec::new(),
            cluster_keys: vec![ClusterKey {
                id: "k1".into(),
                secret: [7; 32],
            }],
            guards: spec.guards,
            drain: spec.drain,
            node_tls: spec.node_tls.clone(),
            caller_tls: spec.caller_tls.clone(),
            log_level: log::LevelFilter::Info,
        };
        nodes.push(
            BoundNode::bind(settings)
                .await
                .expect("loopback ports are free"),
        );
    }
    nodes
}

async fn start_centre(
    centre: &CentreSpec,
    nodes: Vec<BoundNode>,
    peers: &[PeerSettings],
) -> Result<RunningCentre> {
    let mut engines = Vec::new();
    for settings in &centre.engines {
        engines.push(EngineServer::start(settings.clone()).await?);
    }
    let mut services = Vec::new();
    for _ in &centre.services {
        services.push(ServiceServer::start(ServiceSettings::default()).await?);
    }
    let start = |mut node: BoundNode| {
        let vm = node.settings().vm.clone();
        node.settings_mut().peers = peers.iter().filter(|peer| peer.vm != vm).cloned().collect();
        node.start()
    };
    let nodes = nodes.into_iter().map(start).collect();
    Ok(RunningCentre {
        data_centre: place_of(centre),
        nodes,
        engines,
        services,
    })
}

fn place_of(centre: &CentreSpec) -> DataCentre {
    DataCentre {
        region: RegionName::new(centre.region).expect("valid name"),
        name: CentreName::new(centre.name).expect("valid name"),
    }
}

fn peer_of(settings: &NodeSettings) -> PeerSettings {
    PeerSettings {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        control_address: settings.control_address,
    }
}
