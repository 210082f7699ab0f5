/// A model server is removed at short notice while it streams answers, a few of them
/// without a length or chunks.
fn spot(setting: &Setting) -> i32 {
    const EVENTS: u32 = 40;
    let record = &setting.record;
    let ips = addresses(11, 2);
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    // A stream lasts eight seconds. One answer in twenty has neither a length nor chunks.
    let servers = start_servers(setting, 8, EVENTS, 200, 20);
    let Some(vms) = start_vms(setting, &ips, ports) else {
        return 2;
    };
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
            let result = send(vm, &prompt("/drafts/2f", TOKENS_210, 12_000), &record);
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
