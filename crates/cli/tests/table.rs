//! Checks of route tables before they are sent, and their differences.

use std::path::PathBuf;

use cli::table::{check, differences};

const TABLE: &str = r#"{"version": 7,
 "services": [{"name": "desk", "max_connections": 20}, {"name": "archive"}],
 "virtual_hosts": [{"hostname": "a.example", "paths": [
  {"name": "read", "prefix": "/read/", "kind": "safe", "timeout": "500ms",
   "target_latency": "200ms", "service": "desk"},
  {"name": "order", "prefix": "/order/", "kind": "unsafe", "timeout": "1s", "service": "desk"},
  {"name": "old", "prefix": "/old/", "kind": "safe", "timeout": "1s", "service": "archive"}]}]}"#;

/// A file in the temporary folder, which is removed when the test ends.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bronzeport-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        Self(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn findings(name: &str, text: &str) -> Vec<String> {
    let file = TempFile::new(name, text);
    let found = check(&file.0).err().unwrap_or_default();
    found.iter().map(|finding| format!("{}: {}", finding.line, finding.text)).collect()
}

#[test]
fn a_valid_table_has_no_findings_and_errors_have_their_place() {
    assert_eq!(findings("valid", TABLE), Vec::<String>::new());
    let unreadable = findings("unreadable", &TABLE.replace("\"500ms\"", "\"soon\""));
    assert!(unreadable[0].starts_with("4: ") && unreadable[0].contains("soon"), "{unreadable:?}");
    let without_slash = findings("slash", &TABLE.replace("\"/order/\"", "\"order\""));
    assert!(without_slash[0].contains("virtual_hosts.a.example.order.prefix"), "{without_slash:?}");
}

/// Such tables were accepted, and the operator saw their effect only in the traffic.
#[test]
fn routes_that_never_match_and_contradicting_limits_are_found() {
    let text = TABLE
        .replace("\"/old/\"", "\"/read/\"")
        .replace("\"200ms\"", "\"800ms\"")
        .replace("\"max_connections\": 20", "\"max_connections\": 0")
        .replace(
            "\"service\": \"archive\"",
            "\"traffic_split\": [{\"service\": \"desk\",
            \"weight\": 1}, {\"service\": \"desc\", \"weight\": 0}]",
        );
    let expected = [
        "4: a.example/read/ (read): the target latency 800ms exceeds the timeout 500ms",
        "7: a.example/read/ (old): never matches, read has the same prefix",
        "7: a.example/read/ (old): desc has the weight 0 and gets no requests",
        "7: a.example/read/ (old): desc is not among the services",
        "2: service desk: the maximum number of connections is 0",
    ];
    assert_eq!(findings("contradictions", &text), expected);
    let same_name = findings("names", &TABLE.replace("\"old\"", "\"read\""));
    assert_eq!(same_name, ["7: a.example/read/ (read): another rule has the same name"]);
}

#[test]
fn differences_from_another_table_are_listed() {
    let later = TABLE
        .replace("\"version\": 7", "\"version\": 8")
        .replace("\"/read/\"", "\"/reads/\"")
        .replace("\"500ms\"", "\"600ms\"")
        .replace("\"old\"", "\"new\"")
        .replace("20}", "30}");
    let (earlier, later) = (TempFile::new("earlier", TABLE), TempFile::new("later", &later));
    let table = check(&later.0).expect("the later table is valid");
    let lines = differences(&earlier.0, &table).expect("the earlier table is valid");
    let expected = [
        "revision 7 -> 8",
        "route old: removed",
        "route read: moved a.example/read/ -> a.example/reads/, timeout 500ms -> 600ms",
        "route new: added",
        "service desk: connections Some(20) -> Some(30)",
    ];
    assert_eq!(lines, expected);
    let same = check(&earlier.0).expect("the earlier table is valid");
    assert!(differences(&earlier.0, &same).expect("it is valid").is_empty());
}
