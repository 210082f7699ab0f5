// What several cases have in common: one region with model servers, and what counts there.

/// Loopback addresses 127.0.`net`.1 and following.
fn addresses(net: u8, count: u8) -> Vec<String> {
    (1..=count).map(|n| format!("127.0.{net}.{n}")).collect()
}

/// Starts model servers that stream so many events with this pause; each answer whose number
/// is a multiple of `unframed` has neither a length nor chunks (0: none).
fn start_servers(setting: &Setting, count: u32, events: u32, pause_ms: u32, unframed: u32) -> Vec<ServerProcess> {
    let start = |n| ServerProcess::start(&format!("i-{n}"), "north-a", events, pause_ms, unframed, &setting.store, &setting.record);
    (1..=count).map(start).collect()
}

/// Starts VMs of one data centre; `None` if they do not become ready.
fn start_vms(setting: &Setting, ips: &[String], ports: Ports) -> Option<Vec<Vm>> {
    const ZONES: &str = r#"{"north-a":"north"}"#;
    let new = |(n, ip): (usize, &String)| {
        Vm::new(&format!("north-{}", n + 1), ip, ZONES, "north-a", ips, ports, &setting.store, &setting.folder)
    };
    let vms: Vec<Vm> = ips.iter().enumerate().map(new).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, &setting.record);
    }
    wait_ready(&vms, ports, &setting.record).then_some(vms)
}

/// Headers of a call for a stream of at most 210 or 280 tokens.
const TOKENS_210: &str = "Model: m\r\nToken-Count: 1460,210\r\n";
const TOKENS_280: &str = "Model: m\r\nToken-Count: 1460,280\r\n";

/// Call for a stream.
fn prompt(path: &'static str, headers: &'static str, limit_ms: u64) -> Call<'static> {
    Call { method: "POST", path, headers, limit: ms(limit_ms), body: b"a prompt", rate: None }
}

/// TWICE, model servers: how many requests went on at another server while the server before
/// still worked on them 400 ms later.
fn overlapping_runs(servers: &[ServerProcess], record: &Record) -> usize {
    let mut runs: BTreeMap<String, Vec<(f64, f64, String)>> = BTreeMap::new();
    for server in servers {
        let told = server.told.lock().unwrap();
        for (at, _, id) in told.iter().filter(|(_, event, _)| event.starts_with("runs")) {
            let ended = told.iter().find(|(_, event, other)| (event == "done" || event == "stops") && other == id);
            let ended = ended.map_or(f64::INFINITY, |(at, _, _)| *at);
            runs.entry(id.clone()).or_default().push((*at, ended, server.id.clone()));
        }
    }
    let mut broken = 0;
    for (id, mut list) in runs {
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        for pair in list.windows(2) {
            let overlap = pair[0].1 - pair[1].0;
            let counts = overlap > 0.4;
            broken += usize::from(counts);
            record.say(&format!(
                "{}: {id} at {} from {:.3} to {:.3}, at {} from {:.3}: both for {overlap:.3} s",
                if counts { "TWICE" } else { "not counted" }, pair[0].2, pair[0].0, pair[0].1, pair[1].2, pair[1].0
            ));
        }
    }
    broken
}
