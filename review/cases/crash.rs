/// Model servers crash one after the other while they stream answers, a few of them
/// without a length or chunks.
fn crash(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    let record = &setting.record;
    let ips = addresses(15, 6);
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    // A stream lasts eight seconds. One answer in twenty has neither a length nor chunks.
    let start = |id: String| ServerProcess::start(&id, "north-a", EVENTS, 200, 20, &setting.store, record);
    let mut servers: Vec<ServerProcess> = (1..=5).map(|n| start(format!("i-{n}"))).collect();
    let Some(vms) = start_vms(setting, &ips, ports) else {
        return 2;
    };
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
            let result = send(vm, &prompt("/drafts/2f", TOKENS_210, 12_000), &record);
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
