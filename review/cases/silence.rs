/// A model server falls silent for a second or so while it works on requests that may be
/// resumed.
fn silence(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    const SILENCE_MS: u64 = 1_200;
    let record = &setting.record;
    let ips = addresses(13, 2);
    let ports = Ports::find(&ips);
    let routes = route("queries", "streaming", "model", 2, 6_000, 800, "")
        .replace(r#""resumable":false"#, r#""resumable":true"#);
    setting.store.put("op/config", &manifest(&routes, 7));
    // The first event after 60 ms, forty events in 2.4 s.
    let servers = start_servers(setting, 3, EVENTS, 60, 0);
    let Some(vms) = start_vms(setting, &ips, ports) else {
        return 2;
    };
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
            let result = send(vm, &prompt("/queries/2f", TOKENS_280, 6_000), &record);
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
