//! Tests of what servers state in their answers, across changes of their entries.

use verbenaring_policy::dispatch::server::ServerEntry;
use verbenaring_policy::dispatch::table::{EntryChange, ServerTable};
use verbenaring_policy::id::ServerId;

use crate::fixture::{TestCall, at, complete, entry, ms, table};

/// What a server states in an answer.
#[derive(Debug, Clone, Copy)]
enum Statement {
    Leaving,
    Limit,
    Pause,
}

const STATEMENTS: [Statement; 3] = [Statement::Leaving, Statement::Limit, Statement::Pause];

/// Table with server `a`, which has stated something, and the sound server `b`.
fn table_after(statement: Statement) -> ServerTable {
    let mut table = table(&["a"]);
    let call = TestCall::new(1, 0, 10);
    let first = call.send(&mut table, at(0));
    complete(&mut table, &first, at(1));
    match statement {
        Statement::Leaving => assert!(table.record_leaving(first.key)),
        Statement::Limit => {
            table.record_limit(first.key, Some(0.1), at(1));
        }
        Statement::Pause => table.record_pause(first.key, ms(10_000), at(1)),
    }
    table.apply(entry("b", 2), ms(0), at(2));
    table
}

/// Number of calls of twenty that are placed at server `a`.
fn calls_at_a(table: &mut ServerTable, now: u64) -> usize {
    let places = (0..20).map(|session| {
        let placement = TestCall::new(session, 0, 10).place(table, at(now));
        placement.expect("placed").key
    });
    let places: Vec<_> = places.collect();
    let is_a = |key| {
        table
            .entry(key)
            .is_some_and(|entry| entry.id.as_str() == "a")
    };
    places.into_iter().filter(|key| is_a(*key)).count()
}

fn id(name: &str) -> ServerId {
    ServerId::new(name).unwrap()
}

/// Guards against a server that has said in an answer that it leaves, or wants fewer calls,
/// and gets calls again because its entry was removed and came back.
#[test]
fn a_statement_outlives_the_entry() {
    for statement in STATEMENTS {
        for (gap, times) in [(0, 1), (500, 2), (1_000, 5), (8_000, 1)] {
            let mut table = table_after(statement);
            let (mut now, mut revision) = (1_000, 10);
            for _ in 0..times {
                table.remove(&id("a"), revision, at(now), at(now));
                table.expire(at(now));
                now += gap;
                let change = table.apply(entry("a", revision + 1), ms(0), at(now));
                assert_eq!(change, EntryChange::Added);
                revision += 2;
            }
            let play = format!("{statement:?}, removed {times} times for {gap} ms");
            assert_eq!(calls_at_a(&mut table, now), 0, "{play}");
        }
    }
}

/// Guards against a server that is left alone for what it stated before it started again.
#[test]
fn a_statement_ends_with_the_life_of_the_server() {
    for statement in STATEMENTS {
        for is_removed in [false, true] {
            let mut table = table_after(statement);
            if is_removed {
                table.remove(&id("a"), 10, at(1_000), at(1_000));
                table.expire(at(1_000));
            }
            let reborn = ServerEntry {
                born: Some(2),
                ..entry("a", 11)
            };
            table.apply(reborn, ms(0), at(2_000));
            let calls = calls_at_a(&mut table, 3_000);
            assert!(calls > 0, "{statement:?}, removed: {is_removed}");
        }
    }
}

/// Guards against statements of servers long gone that fill the memory.
#[test]
fn statements_of_removed_servers_are_forgotten() {
    let mut table = table_after(Statement::Leaving);
    table.remove(&id("a"), 10, at(1_000), at(1_000));
    table.expire(at(1_000));
    table.expire(at(200_000));
    table.apply(entry("a", 200), ms(0), at(200_000));
    assert!(calls_at_a(&mut table, 200_001) > 0);
}
