//! Ports of several programs on one machine.

use std::collections::HashSet;

use lab::ports::PortAllocator;

#[test]
fn two_programs_at_a_time_get_different_ports() {
    let (mut one, mut other) = (PortAllocator::new(), PortAllocator::new());
    let mut seen = HashSet::new();
    for _ in 0..350 {
        for ports in [&mut one, &mut other] {
            let address = ports.next_free().expect("a port is left");
            assert!(seen.insert(address), "{address} is given twice");
        }
    }
}

#[test]
fn the_ports_of_a_program_that_has_ended_are_given_again() {
    for _ in 0..20 {
        let mut ports = PortAllocator::new();
        for _ in 0..1000 {
            ports.next_free().expect("a port is left");
        }
    }
}
