//! Turns the panic of a request's task into a result, so that its caller gets an answer.

use std::{
    future::poll_fn,
    panic::{AssertUnwindSafe, catch_unwind},
    pin::pin,
    task::Poll,
};

/// A future panicked. The panic hook has logged where and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the task panicked")]
pub struct Panicked;

/// Runs a future to its end, or to its panic.
///
/// # Errors
///
/// Fails if the future panics. What it owned has been dropped then.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, Panicked> {
    let mut future = pin!(future);
    poll_fn(|context| {
        // Unwinding ends the borrows of shared cells, and drops the guards that count what is open.
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        match polled {
            Ok(poll) => poll.map(Ok),
            Err(_) => Poll::Ready(Err(Panicked)),
        }
    })
    .await
}
