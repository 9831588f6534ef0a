//! The daemon's program refuses to start with one error that names file, line and remedy.

use std::{
    fs,
    net::UdpSocket,
    path::Path,
    process::{Command, Output},
};
use tempfile::TempDir;

/// A folder with the settings of the one entry of a fleet, at ports that are free.
struct Host {
    folder: TempDir,
    /// Holds the port for other entries.
    peers: UdpSocket,
}

impl Host {
    fn new() -> Self {
        let folder = TempDir::new().expect("a folder");
        for file in ["authority.pem", "entry-1.pem", "entry-1.key"] {
            fs::write(folder.path().join(file), "").expect("written");
        }
        let peers = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        Host { folder, peers }
    }

    fn settings(&self) -> String {
        let peers = self.peers.local_addr().expect("bound");
        format!(
            "fleet: test\nnode: 1\nzone: a\ndata: data\nlisten:\n  callers: 127.0.0.1:1\n  \
             targets: 127.0.0.1:2\n  operators: 127.0.0.1:3\n  peers: {peers}\npeers:\n  - {{node: 1, \
             zone: a, address: \"{peers}\", voter: true}}\ntls: {{authority: authority.pem, \
             certificate: entry-1.pem, key: entry-1.key}}\noperators: []\n"
        )
    }

    fn start(&self, settings: &str) -> Output {
        fs::write(self.folder.path().join("entry.yaml"), settings).expect("written");
        program(&["entry.yaml"], self.folder.path())
    }
}

fn program(args: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cornelraild"))
        .args(args)
        .current_dir(folder)
        .output()
        .expect("the program runs")
}

fn errors(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr);
    text.split_whitespace()
        .filter(|word| *word != "│")
        .collect::<Vec<_>>()
        .join(" ")
}

#[test]
fn help_has_two_lines() {
    let output = program(&["--help"], Path::new("."));

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert_eq!(text.lines().count(), 2);
    assert!(text.lines().all(|line| line.len() <= 48), "{text}");
}

#[test]
fn bad_settings_change_nothing() {
    let host = Host::new();
    let settings = host
        .settings()
        .replace("zone: a\ndata", "zone: a\nzon: a\ndata");

    let output = host.start(&settings);

    let text = errors(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("entry.yaml:4: unknown key `zon`"), "{text}");
    assert!(text.contains("remove it or correct its spelling"), "{text}");
    assert!(!host.folder.path().join("data").exists());
}

#[test]
fn a_key_that_cannot_be_read_is_named() {
    let host = Host::new();
    fs::remove_file(host.folder.path().join("entry-1.key")).expect("removed");

    let output = host.start(&host.settings());

    let text = errors(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("entry.yaml:12: `key`: cannot read entry-1.key"),
        "{text}"
    );
    assert!(text.contains("cornelrail keys make"), "{text}");
}

#[test]
fn a_folder_that_cannot_be_written_is_named() {
    let host = Host::new();
    fs::write(host.folder.path().join("file"), "a file").expect("written");
    let data = host.settings().replace("data: data", "data: file");
    let log = host.settings() + "log: {folder: file}\n";

    let outputs = [host.start(&data), host.start(&log)];

    let texts = outputs.each_ref().map(errors);
    assert!(
        outputs.iter().all(|output| output.status.code() == Some(2)),
        "{texts:?}"
    );
    assert!(
        texts[0].contains("entry.yaml:4: `data`: cannot write file"),
        "{texts:?}"
    );
    assert!(
        texts[1].contains("entry.yaml:14: `folder`: cannot write file"),
        "{texts:?}"
    );
    assert!(texts[0].contains("let this user write it"), "{texts:?}");
}

#[test]
fn an_address_in_use_is_named() {
    let host = Host::new();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = taken
        .local_addr()
        .map(|address| (taken, address))
        .expect("bound");
    let settings = host
        .settings()
        .replace("127.0.0.1:1\n", &format!("{}\n", taken.1));

    let output = host.start(&settings);

    let text = errors(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(
        text.contains("entry.yaml:6: `listen.callers`: cannot listen on"),
        "{text}"
    );
    assert!(
        text.contains("end the process that holds the address"),
        "{text}"
    );
}
