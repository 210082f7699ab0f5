//! Parsing of the command line, help texts and exit codes.

use verbenaring_cli::app::AppRequest;
use verbenaring_cli::run;

fn parse(line: &str) -> Result<AppRequest, verbenaring_cli::Error> {
    AppRequest::from_arguments(line.split(' ').map(Into::into).collect())
}

/// Guards against error messages for mistyped commands that span several lines or do
/// not contain the wrong word.
#[test]
fn errors_name_the_mistyped_word() {
    for (line, wrong_word) in [
        ("contrat list", "contrat"),
        ("contract aply x.json", "aply"),
        ("status --jsn", "--jsn"),
        ("contract apply x.json --expect seven", "--expect"),
    ] {
        let error = parse(line).unwrap_err();
        assert_eq!(error.exit_code(), 2);
        let text = error.to_string();
        assert!(text.contains(wrong_word), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

/// Guards against commands without an example in their help, and against generated
/// names such as `contract-list | list` in it.
#[test]
fn help_shows_an_example_for_each_command() {
    let Ok(AppRequest::Help(all)) = parse("--help") else {
        panic!("--help is not parsed as a request for help");
    };
    assert!(!all.contains(" | "), "{all}");
    let titles = all.lines().filter(|line| line.starts_with("verbenaring "));
    for title in titles {
        let Ok(AppRequest::Help(text)) = parse(&format!("{} --help", &title[12..])) else {
            panic!("{title} --help is not parsed as a request for help");
        };
        assert!(text.contains("Example: verbenaring"), "{text}");
        assert!(text.len() < all.len(), "{text}");
    }
}

/// Scripts distinguish failures by the exit code.
#[test]
fn exit_code_shows_the_kind_of_failure() {
    let exit_code = |line: &str| run(line.split(' ').map(Into::into).collect());
    let key_path = std::env::temp_dir().join(format!("verbenaring-{}", uuid::Uuid::new_v4()));
    std::fs::write(&key_path, "vb-key\n").unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_address = socket.local_addr().unwrap();
    drop(socket);
    let key_file = key_path.display();
    assert_eq!(exit_code("key new"), 0);
    assert_eq!(exit_code("contract check no-such-file.json"), 2);
    assert_eq!(exit_code(&format!("status --key-file {key_file}")), 2);
    assert_eq!(
        exit_code(&format!(
            "status --node {closed_address} --key-file {key_file}"
        )),
        3
    );
    std::fs::remove_file(key_path).unwrap();
}
