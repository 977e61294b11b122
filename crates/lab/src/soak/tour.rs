//! The part of the tour that shows organisations: one of two exceeds its quota.

use std::time::Duration;

use super::check;
use super::host::Mesh;
use super::load::{Callers, Record};
use super::organisations::{Key, ORGANISATIONS};
use crate::sidecar::unix_millis;

const DAEMONS: usize = 4;
/// Index of the organisation that exceeds its quota, in [`ORGANISATIONS`].
const HOT: usize = 0;
/// Index of the organisation that stays within its quota.
const CALM: usize = 1;
/// Time under usual demand. Quotas are filled in the first seconds.
const USUAL_PERIOD: Duration = Duration::from_secs(5);
/// Time for which one organisation sends many times its usual load.
const HOT_PERIOD: Duration = Duration::from_secs(5);

/// Prints how the requests of two organisations ended, one of which sends many times its usual
/// load, and the daemon's explanation of a refusal. Returns the number of violated guarantees.
pub fn run(seed: u64) -> Result<usize, Box<str>> {
    let mesh = Mesh::start_with_organisations(DAEMONS, seed, None)?;
    let demand = mesh.demand();
    let callers = Callers::start(mesh.entries(), seed, demand.clone());
    std::thread::sleep(USUAL_PERIOD);
    demand.set_hot(Some(HOT));
    let hot_ms = unix_millis();
    std::thread::sleep(HOT_PERIOD);
    let records = callers.stop();
    println!("\norganisations, while {} is hot", ORGANISATIONS[HOT].name);
    println!("  name    rate  requests  answered  beyond quota  other");
    for index in [HOT, CALM] {
        let while_hot = records.iter().filter(|record| record.sent_ms >= hot_ms);
        print_organisation(index, while_hot);
    }
    let refused = records.iter().filter(|record| record.status == 429);
    if let Some(refused) = refused.max_by_key(|record| record.sent_ms) {
        print_explanation(&mesh, refused)?;
    }
    let mut observations = mesh.collect();
    observations.recovered = true;
    let violations = check::find_violations(&records, &observations);
    for violation in violations.iter().take(super::MAX_PRINTED) {
        println!("  VIOLATION {violation}");
    }
    Ok(violations.len())
}

fn print_organisation<'a>(index: usize, records: impl Iterator<Item = &'a Record>) {
    let own: Vec<&Record> = records.filter(|record| record.key == Key::Permanent(index)).collect();
    let count = |status| own.iter().filter(|record| record.status == status).count();
    let (answered, refused) = (count(200), count(429));
    let other = own.len() - answered - refused;
    let organisation = &ORGANISATIONS[index];
    println!(
        "  {:<7} {:>4} {:>9} {answered:>9} {refused:>13} {other:>6}",
        organisation.name,
        organisation.rate,
        own.len()
    );
}

fn print_explanation(mesh: &Mesh, refused: &Record) -> Result<(), Box<str>> {
    let page = format!("/explain?id={}", refused.id);
    let explanation = cli::admin::AdminClient::default().get(mesh.admin(refused.entry), &page)?;
    println!("  explain {}", refused.id);
    for line in explanation["lines"].as_array().into_iter().flatten() {
        println!("    {}", line.as_str().unwrap_or_default());
    }
    Ok(())
}
