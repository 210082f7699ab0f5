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
    let servers: Vec<ServerProcess> = (1..=7)
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
        thread::sleep(ms(20));
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
