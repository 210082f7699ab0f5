/// The store comes back from a copy while a VM starts, after a server has left.
fn restored(setting: &Setting) -> i32 {
    const EVENTS: u32 = 10;
    const DRAIN_S: f64 = 3.0;
    let record = &setting.record;
    let ips = addresses(14, 2);
    let ports = Ports::find(&ips);
    let routes = route("drafts", "streaming", "model", 1, 12_000, 1_000, "");
    setting.store.put("op/config", &manifest(&routes, 7));
    let servers = start_servers(setting, 3, EVENTS, 200, 0);
    let Some(vms) = start_vms(setting, &ips, ports) else {
        return 2;
    };
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
            let result = send(vm, &prompt("/drafts/2f", TOKENS_210, 12_000), &record);
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
