//! Which answers are given up or paused when all that are buffered are too long together.

use std::{
    future::poll_fn,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use jacinthpoint_gateway::buffered::{AnswerBuffers, NoSpace, UnfinishedAnswer};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local, yield_now},
};

const MIB: usize = 1_024 * 1_024;

fn poll(answer: &UnfinishedAnswer) -> Poll<Result<(), NoSpace>> {
    answer.poll_may_read(&mut Context::from_waker(Waker::noop()))
}

fn may_read(answer: &UnfinishedAnswer) -> bool {
    poll(answer) == Poll::Ready(Ok(()))
}

fn is_kept(answer: &UnfinishedAnswer) -> bool {
    poll(answer) != Poll::Ready(Err(NoSpace))
}

/// Guards against a sound answer that is given up for the sake of a longer one without end.
#[test]
fn longest_answer_is_given_up_first() {
    let buffers = AnswerBuffers::default();
    let longest = buffers.begin_answer();
    longest.set_bytes(8 * MIB);
    let others: Vec<_> = (0..1_000).map(|_| buffers.begin_answer()).collect();
    for other in &others[..33] {
        other.set_bytes(MIB);
    }
    assert_eq!(poll(&longest), Poll::Ready(Err(NoSpace)));
    let kept = others.iter().filter(|other| is_kept(other));
    assert_eq!(kept.count(), others.len());
    for other in &others {
        other.set_bytes(MIB);
    }
    let kept = others.iter().filter(|other| is_kept(other));
    assert_eq!(kept.count(), 40);
}

/// Guards against short answers that are given up for long ones.
#[test]
fn short_answers_are_kept() {
    let buffers = AnswerBuffers::default();
    let short: Vec<_> = (0..2_000).map(|_| buffers.begin_answer()).collect();
    for answer in &short {
        answer.set_bytes(32 * 1_024);
    }
    assert!(short.iter().all(may_read));
}

/// Guards against long answers that wait for ever for others that do not arrive.
#[test]
fn idle_long_answer_is_given_up_for_one_that_waits() {
    let buffers = AnswerBuffers::default();
    let idle: Vec<_> = (0..20).map(|_| buffers.begin_answer()).collect();
    for answer in &idle {
        answer.set_bytes(MIB);
        assert!(may_read(answer));
    }
    let waiting = buffers.begin_answer();
    waiting.set_bytes(MIB);
    assert_eq!(poll(&waiting), Poll::Pending);
    std::thread::sleep(Duration::from_millis(1_100));
    assert!(may_read(&waiting));
    assert_eq!(idle.iter().filter(|answer| is_kept(answer)).count(), 19);
}

/// Guards against answers that are cut, or that wait for ever, because callers do not read theirs.
#[test]
fn long_answers_are_paused_while_callers_do_not_read() {
    let buffers = AnswerBuffers::default();
    let long = buffers.begin_answer();
    long.set_bytes(MIB);
    let short = buffers.begin_answer();
    short.set_bytes(1_024);
    let waiting = buffers.begin_queue().count(Bytes::from(vec![0; 20 * MIB]));
    assert_eq!(
        (poll(&long), poll(&short)),
        (Poll::Pending, Poll::Ready(Ok(())))
    );
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let paused = spawn_local(async move { poll_fn(|task| long.poll_may_read(task)).await });
        yield_now().await;
        drop(waiting);
        assert_eq!(paused.await.expect("it does not panic"), Ok(()));
    });
}

/// Guards against a caller that reads, but has to wait for others that do not.
#[test]
fn queue_that_was_read_has_room() {
    let buffers = AnswerBuffers::default();
    let (unread, read) = (buffers.begin_queue(), buffers.begin_queue());
    let _waiting = unread.count(Bytes::from(vec![0; 20 * MIB]));
    let waiting = read.count(Bytes::from_static(b"data: token\n\n"));
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let waits = spawn_local(async move { read.wait_for_room().await });
        yield_now().await;
        assert!(!waits.is_finished());
        drop(waiting);
        waits.await.expect("it does not panic");
    });
}
