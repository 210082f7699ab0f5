//! Faults of the command line that an operator meets first.

use verbenaring_cli::app::AppRequest;
use verbenaring_cli::run;

fn parse(line: &str) -> Result<AppRequest, verbenaring_cli::Error> {
    AppRequest::from_arguments(line.split(' ').map(Into::into).collect())
}

/// A mistyped command must name the word at fault in one line.
#[test]
fn mistyped_commands_are_named() {
    for (line, word) in [
        ("contrat list", "contrat"),
        ("contract aply x.json", "aply"),
        ("status --jsn", "--jsn"),
        ("contract apply x.json --expect seven", "--expect"),
    ] {
        let error = parse(line).unwrap_err();
        assert_eq!(error.exit_code(), 2);
        let text = error.to_string();
        assert!(text.contains(word), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

/// Every command must show an example, and generated names must not show.
#[test]
fn help_has_an_example_for_each_command() {
    let Ok(AppRequest::Help(all)) = parse("--help") else {
        panic!("--help asks for help");
    };
    assert!(!all.contains(" | "), "{all}");
    let titles = all.lines().filter(|line| line.starts_with("verbenaring "));
    for title in titles {
        let Ok(AppRequest::Help(text)) = parse(&format!("{} --help", &title[12..])) else {
            panic!("{title} --help asks for help");
        };
        assert!(text.contains("Example: verbenaring"), "{text}");
        assert!(text.len() < all.len(), "{text}");
    }
}

/// Scripts tell failures apart by the exit code.
#[test]
fn exit_codes_follow_the_failure() {
    let code = |line: &str| run(line.split(' ').map(Into::into).collect());
    let key = std::env::temp_dir().join(format!("verbenaring-{}", uuid::Uuid::new_v4()));
    std::fs::write(&key, "vb-key\n").unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = socket.local_addr().unwrap();
    drop(socket);
    let key_file = key.display();
    assert_eq!(code("key new"), 0);
    assert_eq!(code("contract check no-such-file.json"), 2);
    assert_eq!(code(&format!("status --key-file {key_file}")), 2);
    assert_eq!(
        code(&format!("status --node {closed} --key-file {key_file}")),
        3
    );
    std::fs::remove_file(key).unwrap();
}
