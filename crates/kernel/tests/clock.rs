//! Timers on a paused clock, cancellation of tasks, and requests to ended tasks.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use kernel::{Expired, Kernel};

#[test]
fn sleeping_tasks_wake_in_order_when_the_clock_is_advanced() {
    let kernel = Kernel::paused().expect("a runtime");
    let log = Rc::new(RefCell::new(Vec::new()));
    kernel.run(async {
        let clock = *kernel.clock();
        for millis in [30u64, 10, 20] {
            let log = log.clone();
            kernel.start(async move {
                clock.sleep(Duration::from_millis(millis)).await;
                log.borrow_mut().push(millis);
            });
        }
        run_ready_tasks().await;
        clock.advance(Duration::from_millis(9)).await;
        run_ready_tasks().await;
        assert!(log.borrow().is_empty());
        clock.advance(Duration::from_millis(11)).await;
        run_ready_tasks().await;
        assert_eq!(*log.borrow(), [10, 20]);
        clock.advance(Duration::from_millis(10)).await;
        run_ready_tasks().await;
        assert_eq!(*log.borrow(), [10, 20, 30]);
    });
}

#[test]
fn timeout_ends_work_that_exceeds_the_limit() {
    let kernel = Kernel::paused().expect("a runtime");
    let clock = *kernel.clock();
    let result = kernel
        .run(async { clock.timeout(Duration::from_millis(5), std::future::pending::<()>()).await });
    assert_eq!(result, Err(Expired));
}

#[test]
fn a_dropped_task_is_cancelled() {
    let kernel = Kernel::paused().expect("a runtime");
    let alive = Rc::new(());
    kernel.run(async {
        let held = alive.clone();
        let task = kernel.spawn(async move {
            let _held = held;
            std::future::pending::<()>().await;
        });
        run_ready_tasks().await;
        assert_eq!(Rc::strong_count(&alive), 2);
        drop(task);
        run_ready_tasks().await;
        assert_eq!(Rc::strong_count(&alive), 1);
    });
}

#[test]
fn a_request_to_an_ended_task_returns_none() {
    let kernel = Kernel::paused().expect("a runtime");
    let inbox = kernel.register::<kernel::Reply<u8>>("silent");
    let mailbox = kernel.service::<kernel::Reply<u8>>("silent");
    drop(inbox);
    assert_eq!(kernel.run(mailbox.request(|reply| reply)), None);
    assert!(kernel.find::<u32>("silent").is_none());
}

/// Lets all tasks run until each waits for a timer or a message.
async fn run_ready_tasks() {
    for _ in 0..10 {
        futures_lite::future::yield_now().await;
    }
}
