//! Tests of log lines from several daemons whose clocks differ.

use cli::logs::{parse, sort_causally};

const ENTRY: &str = r#"{"time_ms":1000,"node":"e","id":"x","event":"arrived","service":"desk"}
{"time_ms":1001,"node":"e","id":"x","event":"sent","to":"g","pace":700,"report_age_ms":40}
{"time_ms":1090,"node":"e","id":"x","event":"answered","from":"g","status":200}
{"time_ms":1090,"node":"e","id":"x","event":"ended","status":200}"#;

fn lines_of(text: &str) -> Vec<cli::logs::Line> {
    text.lines().filter_map(parse).map(|(_, line)| line).collect()
}

/// Returns the lines of the node that runs the request. Its clock is `clock_offset`
/// milliseconds ahead of the entry node's clock.
fn guard(clock_offset: i64) -> String {
    format!(
        "{{\"time_ms\":{},\"node\":\"g\",\"id\":\"x\",\"event\":\"admitted\"}}\n\
         {{\"time_ms\":{},\"node\":\"g\",\"id\":\"x\",\"event\":\"ran\",\"status\":200}}",
        1002 + clock_offset,
        1088 + clock_offset
    )
}

#[test]
fn lines_are_sorted_causally_despite_clock_offsets() {
    for clock_offset in [-4000, -50, 0, 50, 4000] {
        let lines = [lines_of(&guard(clock_offset)), lines_of(ENTRY)].concat();
        let events: Vec<Box<str>> =
            sort_causally(lines).into_iter().map(|line| line.event).collect();
        let events: Vec<&str> = events.iter().map(|event| &**event).collect();
        let expected = ["arrived", "sent", "admitted", "ran", "answered", "ended"];
        assert_eq!(events, expected, "a clock offset of {clock_offset} ms");
    }
}

#[test]
fn prefix_of_a_collector_and_unrelated_lines_are_skipped() {
    let (id, line) = parse(&format!("12.5 host-1 {}", ENTRY.lines().next().unwrap_or_default()))
        .expect("the object is complete");
    assert_eq!((&*id, &*line.event), ("x", "arrived"));
    assert_eq!(line.text(), "1000 e arrived service=desk");
    assert!(parse(r#"{"level":"info","text":"stopped"}"#).is_none());
    assert!(parse(r#"{"time_ms":1,"node":"#).is_none());
    assert!(parse("no object").is_none());
}
