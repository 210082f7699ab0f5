//! A complete deployment in one process: store, engines, plain services and
//! entry VMs (nodes).
//!
//! Every socket is bound to a free loopback port. Tests and examples start
//! their deployments with this code, so the tests also cover what the examples
//! show.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use uuid::Uuid;
use verbenaring_gateway::config::{ClusterKey, LimitSettings, NodeSettings, PeerSettings};
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

/// Bearer key that tests and examples put into the contract of their first
/// customer.
pub const CUSTOMER_KEY: &str = "vb-demo-key";
/// Bearer key for the operator interface of every node.
pub const OPERATOR_KEY: &str = "vb-operator-key";
/// Time in which a written configuration must be in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the model lists of the engines.
const MODEL_LISTS_TIMEOUT: Duration = Duration::from_secs(2);

/// Specification of one data centre.
#[derive(Debug, Clone)]
pub struct CentreSpec {
    /// Name of the region that contains the data centre.
    pub region: &'static str,
    /// Name of the data centre.
    pub name: &'static str,
    /// Number of entry VMs.
    pub nodes: usize,
    /// Settings of each engine.
    pub engines: Vec<EngineSettings>,
    /// Names of the plain services; one server is started for each.
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

/// Specification of a deployment.
#[derive(Debug, Clone, Default)]
pub struct DeploymentSpec {
    /// Data centres, in the order of `TestDeployment::centres`.
    pub centres: Vec<CentreSpec>,
    /// Size, time and connection limits of every node.
    pub limits: LimitSettings,
    /// Time during which a stopping node still serves calls but reports that it
    /// is not ready.
    pub drain: Duration,
    /// Mutual TLS between the nodes, with one certificate for all of them;
    /// `None` for plain TCP.
    pub node_tls: Option<NodeTls>,
    /// TLS for the connections of callers; `None` for plain TCP.
    pub caller_tls: Option<CallerTls>,
}

/// Handles of one running data centre.
pub struct RunningCentre {
    /// Region and name.
    pub data_centre: DataCentre,
    /// Entry VMs; the name of each one ends with its index.
    pub nodes: Vec<RunningNode>,
    /// Engines in the order of the specification.
    pub engines: Vec<EngineServer>,
    /// Plain services in the order of the specification.
    pub services: Vec<ServiceServer>,
}

/// Handles of a running deployment.
pub struct TestDeployment {
    /// Stand-in for the platform's store.
    pub store: StoreServer,
    /// Client of the store, of the kind that operators' tools use.
    pub etcd: EtcdStore,
    /// Data centres in the order of the specification.
    pub centres: Vec<RunningCentre>,
}

impl TestDeployment {
    /// Starts all parts, registers the servers in the store and waits until the
    /// registrations are in force on all nodes.
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
            .map(|node| peer_settings(node.settings()))
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

    /// First node of the data centre with this index. Panics if there is none.
    pub fn node(&self, centre: usize) -> &RunningNode {
        &self.centres[centre].nodes[0]
    }

    /// Writes a configuration document, waits until it is in force and returns
    /// its store revision. Panics if the key is changed concurrently.
    pub async fn write(&self, key: &str, document: &Value) -> u64 {
        let current = self.etcd.get(key).await.expect("store is up");
        let base = current.as_ref().map_or(0, |value| value.revision);
        let change = ChangeId(Uuid::new_v4());
        let entry = StoredEntry::new(change, base, Some(&document.to_string()))
            .expect("every JSON value is a valid document");
        let request = SwapRequest {
            key: key.to_owned(),
            condition: current.map_or(SwapCondition::Absent, |value| {
                SwapCondition::Revision(value.revision)
            }),
            value: Some(entry.to_bytes()),
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

    /// Waits until every node has at least `revision` in force, and for a limited
    /// time until it knows the models of its engines.
    pub async fn wait_in_force(&self, revision: u64) {
        let wait = async {
            for node in self.centres.iter().flat_map(|centre| &centre.nodes) {
                let core = node.core();
                while core.catalog.load().revision() < revision || !core.replica.is_loaded() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        };
        tokio::time::timeout(IN_FORCE_TIMEOUT, wait)
            .await
            .expect("the configuration comes into force in time");
        // An engine that is down never sends its model list, so this wait may
        // time out.
        let _ = tokio::time::timeout(MODEL_LISTS_TIMEOUT, self.wait_for_model_lists()).await;
    }

    /// Waits until every node knows the models of the engines in its data centre.
    async fn wait_for_model_lists(&self) {
        for node in self.centres.iter().flat_map(|centre| &centre.nodes) {
            let catalog = node.core().catalog.load_full();
            for server in catalog.servers() {
                let local = server.data_centre == node.core().settings.data_centre;
                while local && node.core().backends.lacks_model(server) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Writes the configuration documents of all servers of a data centre.
    async fn register_servers(&self, centre: &RunningCentre, spec: &DeploymentSpec) {
        let data_centre = &centre.data_centre;
        let centre_spec = spec
            .centres
            .iter()
            .find(|spec| spec.name == data_centre.name.as_str());
        let centre_spec = centre_spec.expect("a running data centre is in the specification");
        for (index, (engine, settings)) in
            centre.engines.iter().zip(&centre_spec.engines).enumerate()
        {
            let server = format!("{}-engine-{index}", data_centre.name);
            let document = json!({
                "server": server, "region": data_centre.region, "data_centre": data_centre.name,
                "address": engine.address().to_string(), "kind": "engine",
                "models": settings.model_names, "slots": settings.slots,
                "tokens_per_s": settings.tokens_per_s, "resumes": settings.resume,
                "checks_fencing": settings.check_fencing,
            });
            self.write(
                &format!("config/server/{}/{server}", data_centre.name),
                &document,
            )
            .await;
        }
        for (index, (service, name)) in centre
            .services
            .iter()
            .zip(&centre_spec.services)
            .enumerate()
        {
            let server = format!("{}-service-{index}", data_centre.name);
            let document = json!({
                "server": server, "region": data_centre.region, "data_centre": data_centre.name,
                "address": service.address().to_string(), "kind": "service", "services": [name],
            });
            self.write(
                &format!("config/server/{}/{server}", data_centre.name),
                &document,
            )
            .await;
        }
    }

    /// Shuts down every node gracefully. Engines and plain services stop at once,
    /// without waiting for the nodes.
    pub async fn stop(self) {
        let nodes = self.centres.into_iter().flat_map(|centre| centre.nodes);
        futures::future::join_all(nodes.map(RunningNode::stop)).await;
    }
}

/// Contract document of a customer, with limits high enough for tests.
///
/// `key` is the bearer key, `home` the home region and `allowed` the regions
/// whose servers may run the calls. The contract covers the model `standin` and
/// the service `jobs`, whose bookings must not be repeated.
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

/// Binds the sockets of the nodes, whose addresses the peers need before any
/// node starts.
async fn bind_nodes(
    centre: &CentreSpec,
    spec: &DeploymentSpec,
    store: SocketAddr,
) -> Vec<BoundNode> {
    let mut nodes = Vec::new();
    for index in 0..centre.nodes {
        let settings = NodeSettings {
            vm: VmId::new(&format!("{}-vm-{index}", centre.name)).expect("valid name"),
            data_centre: data_centre_of(centre),
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
            limits: spec.limits,
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

/// Starts the servers and the bound nodes of a data centre.
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
        data_centre: data_centre_of(centre),
        nodes,
        engines,
        services,
    })
}

fn data_centre_of(centre: &CentreSpec) -> DataCentre {
    DataCentre {
        region: RegionName::new(centre.region).expect("valid name"),
        name: CentreName::new(centre.name).expect("valid name"),
    }
}

fn peer_settings(settings: &NodeSettings) -> PeerSettings {
    PeerSettings {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        control_address: settings.control_address,
    }
}
