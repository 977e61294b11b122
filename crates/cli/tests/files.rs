//! Tests of service files in folders, and of the command line.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;

use cli::args::{Command, parse};
use cli::files::collect;

const GOOD: &str = "service = \"desk\"\nanswer_within = \"1s\"\n\n[[request]]\nname = \"a\"\n\
                    method = \"GET\"\npath = \"/\"\nrepeat = \"safe\"\n";

/// A temporary folder, which is removed when the test ends.
struct TempFolder(PathBuf);

impl TempFolder {
    fn with(name: &str, files: &[(&str, &str)]) -> Self {
        let path = std::env::temp_dir().join(format!("bronzeport-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder can be created");
        for (file, text) in files {
            fs::write(path.join(file), text).expect("the file can be written");
        }
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn findings_of_all_files_are_returned_together() {
    let broken = GOOD.replace("safe", "often");
    let duplicate = GOOD;
    let files = [("a.toml", GOOD), ("b.toml", &*broken), ("c.toml", duplicate), ("notes.txt", "x")];
    let folder = TempFolder::with("findings", &files);
    let findings = collect(std::slice::from_ref(&folder.0)).unwrap_err();
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 2, "{texts:?}");
    assert!(texts[0].contains("b.toml:8:10: repeat: expected one of safe, never"), "{texts:?}");
    assert!(texts[1].contains("service desk is also defined in"), "{texts:?}");
}

#[test]
fn missing_file_and_empty_folder_are_findings() {
    let folder = TempFolder::with("empty", &[]);
    let empty = collect(std::slice::from_ref(&folder.0)).unwrap_err();
    assert!(empty[0].to_string().contains("no .toml file"));
    let missing = collect(&[folder.0.join("none.toml")]).unwrap_err();
    assert!(missing[0].to_string().contains("none.toml:1:1: "));
}

fn usage_error(args: &[&str]) -> String {
    parse(args.iter().map(OsString::from)).unwrap_err().to_string()
}

#[test]
fn usage_errors_name_the_problem() {
    assert!(usage_error(&[]).contains("no command"));
    assert!(usage_error(&["fly"]).contains("unknown command fly"));
    assert!(usage_error(&["check"]).contains("no file or folder"));
    assert!(usage_error(&["history"]).contains("--platform is missing"));
    assert!(usage_error(&["status"]).contains("--daemons is missing"));
    assert!(usage_error(&["history", "--platform", "x"]).contains("expected IP:PORT, found `x`"));
    assert!(usage_error(&["explain", "--daemons", "127.0.0.1:1"]).contains("one request id"));
    assert!(usage_error(&["check", "--speed"]).contains("--speed"));
    let args = parse(["drain", "--daemons", "127.0.0.1:1,127.0.0.1:2"].map(OsString::from));
    let args = args.expect("the command line is valid");
    assert_eq!((args.command, args.daemons.len()), (Command::Drain, 2));
}
