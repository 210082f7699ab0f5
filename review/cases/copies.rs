/// Model servers are full for seconds; copies of their refusals arrive where later answers
/// are due, and they work on when a channel closes.
fn copies(setting: &Setting) -> i32 {
    const EVENTS: u32 = 12;
    let record = &setting.record;
    let ips = addresses(14, 4);
    let ports = Ports::find(&ips);
    let routes = route("queries", "streaming", "model", 2, 6_000, 800, "")
        .replace(r#""resumable":false"#, r#""resumable":true"#);
    let plain_routes = route("orders", "streaming", "model", 1, 6_000, 800, "");
    setting.store.put("op/config", &manifest(&format!("{routes},{plain_routes}"), 7));
    // The first event after 60 ms, twelve events in 0.72 s.
    let servers = start_servers(setting, 3, EVENTS, 60, 0);
    let Some(vms) = start_vms(setting, &ips, ports) else {
        return 2;
    };
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
            let path = if resumable { "/queries/2f" } else { "/orders/2f" };
            let result = send(vm, &prompt(path, TOKENS_280, 6_000), &record);
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
