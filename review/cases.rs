/// A model server is removed at short notice while it streams answers, a few of them
/// without a length or chunks.
fn spot(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips = vec!["127.0.11.1".to_owned(), "127.0.11.2".to_owned()];
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    // A stream lasts eight seconds. One answer in twenty has neither a length nor chunks.
    let servers: Vec<ServerProcess> = (1..=8)
        .map(|n| ServerProcess::start(&format!("i-{n}"), "north-a", EVENTS, 200, 20, &setting.store, record))
        .collect();
    let vms: Vec<Vm> = ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    thread::sleep(ms(5_500));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.caller(ports)).collect();
    let tries: Shared<Vec<Try>> = Arc::default();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut notice: Option<(Instant, f64)> = None;
    let mut gone = false;
    let leaver = &servers[0];
    for turn in 0usize.. {
        if begun.elapsed() > ms(16_000) {
            break;
        }
        if setting.trouble && notice.is_none() && begun.elapsed() > ms(9_000) {
            // scale_in, spot: the notice, and two seconds later the server is gone.
            *leaver.state.lock().unwrap() = Some(r#""state":"draining","remainingMs":2000"#.to_owned());
            leaver.leave();
            leaver.write(&setting.store, 1_000);
            record.say(&format!("{} reports draining with remainingMs 2000", leaver.id));
            notice = Some((Instant::now(), record.now()));
        }
        if !gone && notice.is_some_and(|(at, _)| at.elapsed() >= ms(2_000)) {
            *leaver.state.lock().unwrap() = None;
            leaver.kill();
            record.say(&format!("{} is gone", leaver.id));
            gone = true;
        }
        let (vm, tries, record) = (callers[turn % callers.len()], tries.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/drafts/2f",
                headers: "Model: m\r\nToken-Count: 1460,210\r\n",
                limit: ms(12_000),
                body: b"a prompt",
                rate: None,
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push(result);
        }));
        thread::sleep(ms(17));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    end_all();
    let tries = tries.lock().unwrap().clone();
    let told: Vec<(String, f64, String, String)> = servers
        .iter()
        .flat_map(|server| {
            let told = server.told.lock().unwrap().clone();
            told.into_iter().map(|(at, event, request)| (server.id.clone(), at, event, request))
        })
        .collect();
    // ORDER: a stream ends as complete before its last piece.
    let mut broken = 0;
    for request in tries.iter().filter(|r| r.end == End::Whole(200) && r.events < EVENTS as usize) {
        broken += 1;
        let run = told.iter().find(|(_, _, event, id)| event.starts_with("runs") && *id == request.id);
        record.say(&format!(
            "ORDER: the caller of {} got a complete answer with {} of {EVENTS} events at {:.3}; run: {:?}",
            request.id, request.events, request.ended, run
        ));
    }
    let whole = tries.iter().filter(|r| r.end == End::Whole(200) && r.events == EVENTS as usize).count();
    let cut = tries.iter().filter(|r| r.end == End::Cut).count();
    let summary = format!("streams {}, whole {whole}, cut off {cut}, complete before their last event {broken}", tries.len());
    record.say(&summary);
    println!("{summary}");
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Callers send long bodies, as long as the manifest allows, and come in bursts. The
/// platform kills a process that exceeds its memory and starts it again.
fn memory(setting: &Setting) -> i32 {
    const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;
    const BODY: usize = 3_500_000;
    const BURST: f64 = 2.5;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips = vec!["127.0.12.1".to_owned(), "127.0.12.2".to_owned()];
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    let servers: Vec<ServerProcess> = (1..=4)
        .map(|n| ServerProcess::start(&format!("i-{n}"), "north-a", 40, 200, 0, &setting.store, record))
        .collect();
    let vms: Arc<Vec<Vm>> = Arc::new(ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect());
    for vm in vms.iter() {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    // The platform: kills above the limit and starts again after a short delay.
    let kills: Vec<Shared<Vec<f64>>> = vms.iter().map(|_| Arc::default()).collect();
    let peaks: Vec<Arc<AtomicU64>> = vms.iter().map(|_| Arc::default()).collect();
    let ending = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for at in 0..vms.len() {
        let (vms, kills, peak, ending, record) =
            (vms.clone(), kills[at].clone(), peaks[at].clone(), ending.clone(), record.clone());
        let (front, folder) = (setting.front.clone(), setting.folder.clone());
        watchers.push(thread::spawn(move || while !ending.load(Ordering::Relaxed) {
            let used = vms[at].pid().and_then(resident).unwrap_or(0);
            peak.fetch_max(used, Ordering::Relaxed);
            if used > MEMORY_LIMIT {
                record.say(&format!("{} uses {} MB, over ramMb 260: the platform kills it", vms[at].name, used / 1_048_576));
                vms[at].kill_now();
                kills.lock().unwrap().push(record.now());
                thread::sleep(ms(300));
                vms[at].start(&front, &folder, &record);
            }
            thread::sleep(ms(20));
        }));
    }
    thread::sleep(ms(5_500));
    let body: &'static [u8] = Box::leak(vec![b'x'; BODY].into_boxed_slice());
    let tries: Shared<Vec<Try>> = Arc::default();
    let mut tasks = Vec::new();
    let begun = Instant::now();
    let mut bursting = false;
    for turn in 0usize.. {
        let elapsed = begun.elapsed().as_secs_f64();
        if elapsed > 72.0 {
            break;
        }
        // Three bursts of ten seconds.
        let burst = setting.trouble && [6.0, 30.0, 54.0].iter().any(|at| (*at..*at + 10.0).contains(&elapsed));
        if burst != bursting {
            record.say(if burst { "a burst begins" } else { "the burst ends" });
            bursting = burst;
        }
        let (vm, tries, record) = (vms[turn % vms.len()].caller(ports), tries.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/drafts/2f",
                headers: "Model: m\r\nToken-Count: 1460,210\r\n",
                limit: ms(12_000),
                body,
                rate: Some(12_500_000),
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push(result);
        }));
        let rate = 9.0 * if burst { BURST } else { 1.0 };
        thread::sleep(Duration::from_secs_f64(1.0 / rate));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    ending.store(true, Ordering::Relaxed);
    watchers.into_iter().for_each(|task| drop(task.join()));
    let told: usize = servers.iter().map(|server| server.told.lock().unwrap().len()).sum();
    let tries = tries.lock().unwrap().clone();
    let count = |end: &End| tries.iter().filter(|request| request.end == *end).count();
    let ends: Vec<usize> = kills.iter().map(|kills| kills.lock().unwrap().len()).collect();
    let peaks: Vec<u64> = peaks.iter().map(|peak| peak.load(Ordering::Relaxed) / 1_048_576).collect();
    let summary = format!(
        "requests {}, whole {}, refused with 503 {}, cut off {}, without an answer {}; ends of the processes {ends:?}, highest memory in MB {peaks:?}, lines of servers {told}",
        tries.len(), count(&End::Whole(200)), count(&End::Whole(503)), count(&End::Cut), count(&End::NoAnswer)
    );
    record.say(&summary);
    println!("{summary}");
    // Fault: on two machines processes end by themselves three times.
    let broken = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    match (broken, count(&End::Whole(200))) {
        (true, _) => 1,
        (false, 0) => 2,
        (false, _) => 0,
    }
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

/// A model server falls silent for a second or so while it works on requests that may be
/// resumed.
fn silence(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    const SILENCE_MS: u64 = 1_200;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips = vec!["127.0.13.1".to_owned(), "127.0.13.2".to_owned()];
    let ports = Ports::find(&ips);
    let routes = route("queries", "streaming", "model", 2, 6_000, 800, "")
        .replace(r#""resumable":false"#, r#""resumable":true"#);
    setting.store.put("op/config", &manifest(&routes, 7));
    // The first event after 60 ms, forty events in 2.4 s.
    let servers: Vec<ServerProcess> = (1..=3)
        .map(|n| ServerProcess::start(&format!("i-{n}"), "north-a", EVENTS, 60, 0, &setting.store, record))
        .collect();
    let vms: Vec<Vm> = ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    thread::sleep(ms(5_500));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.caller(ports)).collect();
    let tries: Shared<Vec<Try>> = Arc::default();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut silences = vec![(9_000, 0usize), (13_000, 1)];
    for turn in 0usize.. {
        if begun.elapsed() > ms(17_000) {
            break;
        }
        if setting.trouble && silences.first().is_some_and(|(at, _)| begun.elapsed() >= ms(*at)) {
            let (_, server) = silences.remove(0);
            record.say(&format!("{} falls silent for {SILENCE_MS} ms", servers[server].id));
            servers[server].fall_silent(SILENCE_MS);
        }
        let (vm, tries, record) = (callers[turn % callers.len()], tries.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/queries/2f",
                headers: "Model: m\r\nToken-Count: 1460,280\r\n",
                limit: ms(6_000),
                body: b"a prompt",
                rate: None,
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push(result);
        }));
        thread::sleep(ms(10));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    thread::sleep(ms(500));
    end_all();
    let broken = overlapping_runs(&servers, record);
    let tries = tries.lock().unwrap().clone();
    let whole = tries.iter().filter(|r| r.end == End::Whole(200) && r.events == EVENTS as usize).count();
    let summary = format!("streams {}, whole {whole}, at work at two servers for over 400 ms {broken}", tries.len());
    record.say(&summary);
    println!("{summary}");
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Model servers are full for seconds; copies of their refusals arrive where later answers
/// are due, and they work on when a channel closes.
fn copies(setting: &Setting) -> i32 {
    const EVENTS: u32 = 12;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips: Vec<String> = (1..=4).map(|n| format!("127.0.14.{n}")).collect();
    let ports = Ports::find(&ips);
    let routes = route("queries", "streaming", "model", 2, 6_000, 800, "")
        .replace(r#""resumable":false"#, r#""resumable":true"#);
    let plain_routes = route("orders", "streaming", "model", 1, 6_000, 800, "");
    setting.store.put("op/config", &manifest(&format!("{routes},{plain_routes}"), 7));
    // The first event after 60 ms, twelve events in 0.72 s.
    let servers: Vec<ServerProcess> = (1..=3)
        .map(|n| ServerProcess::start(&format!("i-{n}"), "north-a", EVENTS, 60, 0, &setting.store, record))
        .collect();
    let vms: Vec<Vm> = ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    thread::sleep(ms(5_500));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.caller(ports)).collect();
    let tries: Shared<Vec<(bool, Try)>> = Arc::default();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut busy = false;
    for turn in 0usize.. {
        if begun.elapsed() > ms(20_000) {
            break;
        }
        // Full by turns for 3 s of 6.
        let full = setting.trouble && begun.elapsed().as_secs() % 6 >= 3;
        if full != busy {
            busy = full;
            record.say(if full { "servers are full" } else { "servers have room" });
            servers.iter().for_each(|server| server.refuse_beyond(if full { 12 } else { 1_000 }));
        }
        let (vm, tries, record) = (callers[turn % callers.len()], tries.clone(), record.clone());
        let resumable = turn % 4 != 0;
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: if resumable { "/queries/2f" } else { "/orders/2f" },
                headers: "Model: m\r\nToken-Count: 1460,280\r\n",
                limit: ms(6_000),
                body: b"a prompt",
                rate: None,
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push((resumable, result));
        }));
        thread::sleep(ms(10));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    thread::sleep(ms(1_500));
    end_all();
    let overlapping = overlapping_runs(&servers, record);
    let told = |event: &str| -> Vec<String> {
        let all = servers.iter().flat_map(|server| server.told.lock().unwrap().clone());
        all.filter(|(_, told, _)| told == event).map(|(_, _, id)| id).collect()
    };
    let (runs, copied) = (told("runs"), told("copies").len());
    let count = |id: &String| runs.iter().filter(|run| *run == id).count();
    let tries = tries.lock().unwrap().clone();
    let twice = tries.iter().filter(|(resumable, r)| !resumable && count(&r.id) > 1).count();
    let promised = |r: &Try| matches!(r.end, End::Whole(408 | 421 | 429 | 503));
    let refused = tries.iter().filter(|(_, r)| promised(r) && count(&r.id) > 0).count();
    let whole = tries.iter().filter(|(_, r)| r.end == End::Whole(200) && r.events == EVENTS as usize).count();
    let ran = tries.iter().filter(|(_, r)| count(&r.id) > 0).count();
    let summary = format!(
        "streams {}, ran {ran}, whole {whole}, copies of refusals {copied}; at work at two servers for over 400 ms {overlapping}, not resumable and run twice {twice}, refused although run {refused}",
        tries.len()
    );
    record.say(&summary);
    println!("{summary}");
    let served = whole * 20 >= ran * 19;
    match (overlapping + twice + refused, served, whole) {
        (0, _, 0) => 2,
        (0, true, _) => 0,
        _ => 1,
    }
}

/// The store comes back from a copy while a VM starts, after a server has left.
fn restored(setting: &Setting) -> i32 {
    const EVENTS: u32 = 10;
    const DRAIN_S: f64 = 3.0;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips = vec!["127.0.14.1".to_owned(), "127.0.14.2".to_owned()];
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    let servers: Vec<ServerProcess> = (1..=3)
        .map(|n| ServerProcess::start(&format!("i-{n}"), "north-a", EVENTS, 200, 0, &setting.store, record))
        .collect();
    let vms: Vec<Vm> = ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    thread::sleep(ms(5_500));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.caller(ports)).collect();
    let tries: Shared<Vec<Try>> = Arc::default();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let leaver = &servers[0];
    let key = "servers/i-1";
    let mut copy = None;
    let mut step = 0;
    for turn in 0usize.. {
        let at = begun.elapsed().as_millis() as u64;
        if at > 17_000 {
            break;
        }
        // What happens, in ms. The server leaves in any case.
        let due = [8_000, 8_300, 8_700, 11_500, 11_800, 12_000, 12_200, 14_400, 15_800];
        if step < due.len() && at >= due[step] {
            match step {
                0 => copy = Some(setting.store.copy()),
                1 => {
                    leaver.leave();
                    record.say("i-1 leaves: its answers say so, it writes its entry no more");
                    *leaver.state.lock().unwrap() = None;
                }
                2 => {
                    setting.store.remove(key);
                    record.say("the entry of i-1 is removed");
                }
                3 if setting.trouble => {
                    record.say("north-1 is killed");
                    vms[0].kill_now();
                }
                4 if setting.trouble => {
                    record.say("the store is away");
                    setting.store.set_away();
                }
                5 if setting.trouble => {
                    setting.store.restore(copy.take().unwrap());
                    record.say("the store comes back from a copy 4.0 s old");
                }
                6 if setting.trouble => vms[0].start(&setting.front, &setting.folder, record),
                8 if setting.trouble => {
                    record.say("the entry of i-1 is removed after three intervals of silence");
                    setting.store.remove(key);
                }
                7 => {
                    leaver.kill();
                    record.say("i-1 has exited");
                }
                _ => {}
            }
            step += 1;
        }
        // Callers of north-1 use north-2 while it is away.
        let away = setting.trouble && (11_500..12_900).contains(&at);
        let vm = if away { callers[1] } else { callers[turn % callers.len()] };
        let (tries, record) = (tries.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/drafts/2f",
                headers: "Model: m\r\nToken-Count: 1460,210\r\n",
                limit: ms(12_000),
                body: b"a prompt",
                rate: None,
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push(result);
        }));
        thread::sleep(ms(40));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    end_all();
    let tries = tries.lock().unwrap().clone();
    let passed_on = tries.iter().filter(|t| t.vm == callers[1]).filter_map(|t| t.leaving).min_by(f64::total_cmp);
    record.say(&format!("north-2 passed on Server-Leaving first at {passed_on:?}"));
    let told = leaver.told.lock().unwrap().clone();
    let mut broken = 0;
    let mut lost = 0;
    for (at, _, id) in told.iter().filter(|(_, event, _)| event == "runs") {
        let Some(t) = tries.iter().find(|t| t.id == *id && t.vm == callers[1]) else { continue };
        if passed_on.is_some_and(|passed| t.sent > passed + DRAIN_S) {
            broken += 1;
            lost += usize::from(t.end != End::Whole(200));
            record.say(&format!("DRAIN: {id} sent to north-2 at {:.3} reached i-1 at {at:.3}; it ended {:?} with {} events", t.sent, t.end, t.events));
        }
    }
    let whole = tries.iter().filter(|r| r.end == End::Whole(200)).count();
    let summary = format!("streams {}, whole {whole}, sent by north-2 to the server that left {broken}, lost with it {lost}", tries.len());
    record.say(&summary);
    println!("{summary}");
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Model servers crash one after the other while they stream answers, a few of them
/// without a length or chunks.
fn crash(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    let record = &setting.record;
    let zones = r#"{"north-a":"north"}"#;
    let ips: Vec<String> = (1..=6).map(|n| format!("127.0.15.{n}")).collect();
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    // A stream lasts eight seconds. One answer in twenty has neither a length nor chunks.
    let start = |id: String| ServerProcess::start(&id, "north-a", EVENTS, 200, 20, &setting.store, record);
    let mut servers: Vec<ServerProcess> = (1..=5).map(|n| start(format!("i-{n}"))).collect();
    let vms: Vec<Vm> = ips.iter().enumerate().map(|(n, ip)| {
        Vm::new(&format!("north-{}", n + 1), ip, zones, "north-a", &ips, ports, &setting.store, &setting.folder)
    }).collect();
    for vm in &vms {
        vm.start(&setting.front, &setting.folder, record);
    }
    if !wait_ready(&vms, ports, record) {
        return 2;
    }
    thread::sleep(ms(5_500));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.caller(ports)).collect();
    let tries: Shared<Vec<Try>> = Arc::default();
    let begun = Instant::now();
    let mut tasks = Vec::new();
    // srv_crash: one of five servers, for 4.1 s, three times.
    let mut crashes = vec![(9.0, 0usize, false), (18.0, 1, false), (27.0, 2, false)];
    let mut returns: Vec<f64> = Vec::new();
    for turn in 0usize.. {
        let elapsed = begun.elapsed().as_secs_f64();
        if elapsed > 32.0 {
            break;
        }
        for (at, server, done) in crashes.iter_mut().filter(|_| setting.trouble) {
            if elapsed >= *at && !*done {
                *servers[*server].state.lock().unwrap() = None;
                servers[*server].kill();
                record.say(&format!("{} crashes", servers[*server].id));
                let (store, key) = (setting.store.clone(), format!("servers/{}", servers[*server].id));
                thread::spawn(move || {
                    // Its entry is removed after three intervals of silence.
                    thread::sleep(3 * HEARTBEAT);
                    store.state.0.lock().unwrap().remove(&key);
                    store.state.1.notify_all();
                });
                *done = true;
                returns.push(elapsed + 4.1);
            }
        }
        while returns.first().is_some_and(|at| elapsed >= *at) {
            returns.remove(0);
            let id = format!("i-{}", servers.len() + 1);
            servers.push(start(id));
        }
        let (vm, tries, record) = (callers[turn % callers.len()], tries.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/drafts/2f",
                headers: "Model: m\r\nToken-Count: 1460,210\r\n",
                limit: ms(12_000),
                body: b"a prompt",
                rate: None,
            };
            let result = send(vm, &call, &record);
            tries.lock().unwrap().push(result);
        }));
        thread::sleep(ms(16));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    end_all();
    let tries = tries.lock().unwrap().clone();
    let told: Vec<(String, f64, String, String)> = servers
        .iter()
        .flat_map(|server| {
            let told = server.told.lock().unwrap().clone();
            told.into_iter().map(|(at, event, request)| (server.id.clone(), at, event, request))
        })
        .collect();
    // ORDER: a stream ends as complete before its last piece.
    let mut broken = 0;
    for request in tries.iter().filter(|r| r.end == End::Whole(200) && r.events < EVENTS as usize) {
        broken += 1;
        let run = told.iter().find(|(_, _, event, id)| event.starts_with("runs") && *id == request.id);
        record.say(&format!(
            "ORDER: the caller of {} got a complete answer with {} of {EVENTS} events at {:.3}; run: {:?}",
            request.id, request.events, request.ended, run
        ));
    }
    let whole = tries.iter().filter(|r| r.end == End::Whole(200) && r.events == EVENTS as usize).count();
    let cut = tries.iter().filter(|r| r.end == End::Cut).count();
    let cut_unframed = tries.iter().filter(|r| r.end == End::Cut && told.iter().any(|t| t.2 == "runs-unframed" && t.3 == r.id)).count();
    let summary = format!("streams {}, whole {whole}, cut off {cut} ({cut_unframed} of them without length or chunks), complete before their last event {broken}", tries.len());
    record.say(&summary);
    println!("{summary}");
    match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}
