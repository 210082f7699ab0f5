//! Engines of which a node knows only by the reports of other nodes that they have failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use verbenaring_gateway::backend::BackendTable;
use verbenaring_gateway::server::server_hash;
use verbenaring_policy::id::{Digest, ServerId};
use verbenaring_policy::quarantine::{CrashReport, SuspectReport};
use verbenaring_protocol::control::ReportedLoad;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{CentreSpec, DeploymentSpec};
use verbenaring_testbed::{EngineFaults, EngineServer, EngineSettings};

use crate::{client_of, dublin_centre, start, start_dublin, wait_until};

const ANSWER_TOKENS: u32 = 20;
/// Outage that does not end during a test.
const LONG_OUTAGE: Duration = Duration::from_secs(600);

fn engine(outage: Duration) -> EngineSettings {
    EngineSettings {
        slots: 4,
        max_waiting: 4,
        restart_time: outage,
        resume: false,
        ..EngineSettings::default()
    }
}

fn server(index: usize) -> ServerId {
    ServerId::new(&format!("dublin-a-engine-{index}")).unwrap()
}

/// Merges the report of another node that an engine failed `age` ago.
fn report_failure(backends: &Arc<BackendTable>, index: usize, age: Duration) {
    let crash = CrashReport {
        server: server(index),
        age,
        alone: false,
    };
    let report = SuspectReport {
        print: Digest::of(format!("chat at engine {index}").as_bytes()),
        crashes: vec![crash],
        cleared: None,
    };
    backends.merge_suspects(&[report]);
}

async fn chat(client: &TestClient, index: usize) -> TestAnswer {
    let prompt = format!("question {index}");
    client.chat(&prompt, ANSWER_TOKENS, false).await
}

/// Guards against chats for all engines that go to the one that is left, while other nodes
/// report the ends of the others.
#[tokio::test]
async fn slots_of_engines_that_are_reported_to_have_failed_do_not_count() {
    const ENGINES: usize = 6;
    let (deployment, client) = start_dublin(vec![engine(LONG_OUTAGE); ENGINES]).await;
    let engines = &deployment.centres[0].engines;
    let backends = &deployment.node(0).core().backends;
    for (index, engine) in engines.iter().enumerate().skip(1) {
        engine.crash();
        report_failure(backends, index, Duration::ZERO);
    }
    let answers = join_all((0..24).map(|index| chat(&client, index))).await;
    let refused = engines[0].counters().refused;
    assert_eq!(refused, 0);
    assert!(answers.iter().all(|answer| answer.status == 200));
    deployment.stop().await;
}

/// Guards against a node that sends chats to engines that it knows to have ended, and so does
/// not learn that it has lost all of them.
#[tokio::test]
async fn chats_are_forwarded_once_all_engines_have_failed() {
    const ENGINES: usize = 3;
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin_centre(vec![engine(LONG_OUTAGE); ENGINES]), cork],
        ..DeploymentSpec::default()
    };
    let (deployment, _) = start(spec).await;
    let client = client_of(&deployment, 0);
    let engines = &deployment.centres[0].engines;
    let backends = &deployment.node(0).core().backends;
    // Without retries, each chat finds out about one engine at most.
    let refusing = EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    };
    engines
        .iter()
        .for_each(|engine| engine.set_faults(refusing.clone()));
    for index in 0..4 {
        assert_eq!(chat(&client, index).await.status, 503);
    }
    engines.iter().for_each(EngineServer::crash);
    let mut refused = 0;
    for index in 0..20 {
        // The last engine seems to have more load than the others.
        report_failure(backends, ENGINES - 1, Duration::ZERO);
        let loads = [0, 0, 4].into_iter().enumerate();
        let loads = loads.map(|(index, running)| ReportedLoad {
            server: server_hash(&server(index)),
            running,
            waiting: 0,
        });
        backends.record_loads(&loads.collect::<Vec<_>>(), Duration::ZERO);
        refused += usize::from(chat(&client, index).await.status != 200);
    }
    assert!(refused <= ENGINES, "{refused} chats refused");
    deployment.stop().await;
}

/// Guards against an engine that is back but gets no chats, because other nodes repeat what
/// they know of its former process.
#[tokio::test]
async fn engines_that_are_back_are_used_although_nodes_repeat_their_reports() {
    let outage = Duration::from_millis(300);
    let (deployment, client) = start_dublin(vec![engine(outage); 2]).await;
    let engines = &deployment.centres[0].engines;
    let backends = &deployment.node(0).core().backends;
    wait_until(async || {
        engines[0].crash();
        join_all((0..4).map(|index| chat(&client, index))).await;
        !backends.ended_engines().is_empty()
    })
    .await;
    let noticed = Instant::now();
    wait_until(async || backends.ended_engines().is_empty()).await;
    let started = engines[0].counters().started;
    report_failure(backends, 0, noticed.elapsed());
    let answers = join_all((0..8).map(|index| chat(&client, index))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    assert!(engines[0].counters().started > started);
    deployment.stop().await;
}
