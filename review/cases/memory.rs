/// Callers send long bodies, as long as the manifest allows, and come in bursts. The
/// platform kills a process that exceeds its memory and starts it again.
fn memory(setting: &Setting) -> i32 {
    const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;
    const BODY: usize = 3_500_000;
    const BURST: f64 = 2.5;
    let record = &setting.record;
    let ips = addresses(12, 2);
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    let servers = start_servers(setting, 4, 40, 200, 0);
    let Some(vms) = start_vms(setting, &ips, ports).map(Arc::new) else {
        return 2;
    };
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
