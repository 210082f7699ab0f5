//! Stand-ins and checks of the cases of the second review. `harness CASE FOLDER` plays one and
//! writes `record.txt` there. Exit codes: 0 the rule held, 1 it was broken, 2 it could not run.

mod case_drain;
mod case_gone;
mod case_hold;
mod case_upgrade;
mod engine;
mod gate;
mod net;
mod plain;
mod store;
mod vm;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// `record.txt` of a case.
pub struct Record(Mutex<File>);

impl Record {
    pub fn line(&self, text: &str) {
        println!("{text}");
        let mut file = self.0.lock().expect("record");
        writeln!(file, "{text}").expect("record written");
    }
}

/// Time since `begin`, in s.
pub fn ms(begin: Instant, moment: Instant) -> String {
    let after = moment.saturating_duration_since(begin).as_secs_f64();
    let before = begin.saturating_duration_since(moment).as_secs_f64();
    format!("{:.3}", after - before)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    // `run.sh` ends what is left of a play that takes too long.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = File::create(Path::new(folder).join("record.txt")).expect("record");
    let record = Record(Mutex::new(file));
    let kept = std::env::var_os("KEEP_LOGS").is_some();
    let work: PathBuf = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("temporary folder");
    record.line(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "drain" => case_drain::run(&work, &record, trouble),
        "hold" => case_hold::run(&work, &record, trouble),
        "gone" => case_gone::run(&work, &record, trouble),
        "upgrade" => case_upgrade::run(&work, &record, trouble),
        other => Outcome::NotRun(format!("no case {other}")),
    };
    if kept {
        println!("logs: {}", work.display());
    } else {
        let _ = std::fs::remove_dir_all(&work);
    }
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
