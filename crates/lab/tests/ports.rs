//! Port allocation for several test programs on one machine.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use lab::ports::{PortAllocator, free_address, spawn};

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

/// A child held a copy of the listener with which another thread had just tried a port, until the
/// child had replaced its program. Processes of tests then could not listen on that port.
#[test]
fn a_port_is_free_while_other_threads_start_processes() {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let child = spawn(&mut Command::new("true"));
                    child.and_then(|mut child| child.wait()).expect("a process starts");
                }
            });
        }
        let taken = (0..3000).find_map(|_| {
            let address = free_address().expect("a port is left");
            TcpListener::bind(address).err().map(|error| format!("{address}: {error}"))
        });
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(taken, None);
    });
}
