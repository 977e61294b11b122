//! The stand-in of the store, beside the guarantees that other tests rely on.

use std::net::TcpListener;

use kernel::Kernel;
use store::{CommitResult, Condition, Settings, Store, Write};

const WRITES: usize = 10;

/// The stand-in started without tokens and refused the first writes of a test, within 2.5 ms of
/// its start (KNOWN-RED 17).
#[test]
fn calls_right_after_the_start_are_not_refused() {
    let kernel = Kernel::new().expect("a runtime");
    kernel.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = lab::standin::serve(&kernel, listener, 1).expect("the stand-in starts");
        let settings = Settings::at(server.address(), platform::store_protocol());
        let store = Store::new(&kernel, settings);
        for number in 0..WRITES {
            let key = format!("t/{number}").into();
            let write = Write { key, condition: Condition::Always, value: "text".into() };
            let result = store.commit(vec![write]).await;
            assert!(matches!(result, CommitResult::Done(_)), "write {number}: {result:?}");
        }
    });
}
