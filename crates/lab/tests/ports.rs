//! Port allocation for several test programs on one machine.

use std::collections::HashSet;

use lab::ports::PortAllocator;

#[test]
fn two_allocators_get_different_ports() {
    let (mut first, mut second) = (PortAllocator::new(), PortAllocator::new());
    let mut allocated = HashSet::new();
    for _ in 0..350 {
        for ports in [&mut first, &mut second] {
            let address = ports.next_free().expect("a port is free");
            assert!(allocated.insert(address), "{address} is allocated twice");
        }
    }
}

#[test]
fn the_ports_of_a_dropped_allocator_are_reused() {
    for _ in 0..20 {
        let mut ports = PortAllocator::new();
        for _ in 0..1000 {
            ports.next_free().expect("a port is free");
        }
    }
}
