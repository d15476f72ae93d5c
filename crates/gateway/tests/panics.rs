//! Panics in a request's task: what is open is counted right afterwards, and no stream looks whole.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use http_body_util::BodyExt;
use jacinthpoint_gateway::{
    body::{AbortedBody, channel},
    buffered::AnswerBuffers,
    panics::{Panicked, catch_panic},
};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local, yield_now},
};

/// Runs a test's future on one thread, as a gateway does.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Counts as open until dropped.
struct Open<'a>(&'a Cell<u32>);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Guards against a request that counts as open for ever, or a cell that stays borrowed, after a panic.
#[test]
fn panic_ends_what_the_future_holds() {
    let (open, cell) = (Cell::new(1), RefCell::new(0));
    let panicking = async {
        let _open = Open(&open);
        yield_now().await;
        let _borrowed = cell.borrow_mut();
        panic!("a fault");
    };
    assert_eq!(run(catch_panic::<()>(panicking)), Err(Panicked));
    assert_eq!(open.get(), 0);
    assert!(cell.try_borrow_mut().is_ok());
}

#[test]
fn result_of_a_future_without_panic_is_returned() {
    let future = async {
        yield_now().await;
        7
    };
    assert_eq!(run(catch_panic(future)), Ok(7));
}

/// Defines tests of a stream whose task sends a part and then ends: name, how it ends, how the body ends.
macro_rules! stream_end {
    ($($name:ident: |$parts:ident| $end:expr => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let body = run(async {
                    let ($parts, body) = channel(&AnswerBuffers::default());
                    let sending = async move {
                        assert!($parts.send(Bytes::from_static(b"part")).await);
                        $end
                    };
                    spawn_local(async { catch_panic(sending).await });
                    body.collect().await
                });
                let body = body.map(|body| body.to_bytes());
                assert_eq!(body, $expected);
            }
        )+
    };
}

stream_end! {
    finished_stream_is_whole: |parts| parts.finish() => Ok(Bytes::from_static(b"part")),
    // Guards against a stream that looks whole although its task ended before the stream did.
    dropped_stream_is_aborted: |parts| drop(parts) => Err(AbortedBody),
    // The same by a panic.
    stream_whose_task_panics_is_aborted: |parts| {
        let _parts = parts;
        panic!("a fault")
    } => Err(AbortedBody),
}
