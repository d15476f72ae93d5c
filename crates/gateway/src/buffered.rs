//! Counts the bytes of answers that are buffered: those of answers that have not arrived completely, and those
//! that wait for a caller to read them.
//!
//! Upstreams may send answers without end, and callers may not read theirs, on all connections at once. So only
//! some long answers are read at a time, while the others wait; one that does not arrive is given up for them.
//! When the unfinished answers together are too long, the longest one is given up. Bytes that wait for callers
//! end no answer: while they are too many, long answers are not read on, nor is any answer whose own caller has
//! bytes to read.

use std::{
    collections::BTreeMap,
    future::poll_fn,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;

/// Maximum length of all buffered answers together, unless the process's memory sets another one.
const DEFAULT_MAX_BYTES: usize = 40 * 1_024 * 1_024;
/// Length up to which an unfinished answer is short. Short ones are neither given up nor paused.
const SHORT_BYTES: usize = 32 * 1_024;
/// Part of the maximum that each long answer that is read at a time may take. With the longest event each, they
/// fit.
const LONG_ANSWER_BYTES: usize = 2 * 1_024 * 1_024;
/// Time without a byte after which a long answer is given up for others that wait.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Time between two answers that are given up so. After a pause of the process, all seem idle.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Length up to which bytes that wait are copied, since they would keep the whole buffer of a read.
const MAX_COPIED_BYTES: usize = 4 * 1_024;

/// An unfinished answer was given up, since all of them together are too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the answers that are being read are too long together")]
pub struct NoSpace;

/// An unfinished answer.
#[derive(Debug)]
struct UnfinishedState {
    bytes: usize,
    /// Whether it is one of the long answers that are read.
    is_long: bool,
    is_given_up: bool,
    grown_at: Instant,
}

#[derive(Debug)]
struct State {
    /// Maximum length of all buffered answers together.
    max_bytes: usize,
    /// Length of the requests that share the maximum.
    request_bytes: Arc<AtomicUsize>,
    last_id: u64,
    unfinished: BTreeMap<u64, UnfinishedState>,
    /// Length of all unfinished answers that are not given up.
    unfinished_bytes: usize,
    /// Number of long answers that are read.
    long_answers: usize,
    /// Time at which an idle answer was last given up.
    given_up_at: Option<Instant>,
    /// Length of the bytes that wait, by caller.
    waiting: BTreeMap<u64, usize>,
    waiting_bytes: usize,
    /// Tasks to wake after a change, by the id of what they wait with.
    wakers: BTreeMap<u64, Waker>,
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns the length of the bytes that wait for callers from which reading pauses. The rest of the maximum is
    /// left to unfinished answers.
    fn max_waiting_bytes(&self) -> usize {
        self.max_bytes / 2
    }

    /// Returns the maximum number of long answers that are read at a time.
    fn max_long_answers(&self) -> usize {
        (self.max_bytes / LONG_ANSWER_BYTES).max(1)
    }

    /// Returns the maximum length of unfinished answers. A quarter of the maximum is always left to them.
    fn max_unfinished_bytes(&self) -> usize {
        let for_callers = self.waiting_bytes.min(self.max_waiting_bytes());
        let for_requests = self.request_bytes.load(Ordering::Relaxed);
        self.max_bytes - for_callers - for_requests.min(self.max_bytes / 4)
    }

    /// Returns whether so many bytes wait that reading pauses.
    fn is_reading_paused(&self) -> bool {
        self.waiting_bytes >= self.max_waiting_bytes()
    }

    /// Gives up the longest unfinished answers until the others fit.
    fn limit_unfinished(&mut self) {
        while self.unfinished_bytes > self.max_unfinished_bytes() {
            let open = self.unfinished.iter_mut();
            let open = open.filter(|(_, answer)| !answer.is_given_up && answer.bytes > SHORT_BYTES);
            let Some((id, _)) = open.max_by_key(|(_, answer)| answer.bytes) else {
                return;
            };
            let id = *id;
            self.give_up(id);
        }
    }

    fn give_up(&mut self, id: u64) {
        let Some(answer) = self.unfinished.get_mut(&id) else {
            return;
        };
        answer.is_given_up = true;
        self.unfinished_bytes -= answer.bytes;
        if let Some(waker) = self.wakers.remove(&id) {
            waker.wake();
        }
        self.on_long_ended(id);
    }

    /// Gives up a long answer that does not arrive if the number of long ones is at its maximum.
    fn limit_idle(&mut self, now: Instant) {
        let is_due = |at: Instant| now.duration_since(at) >= GIVE_UP_INTERVAL;
        if self.long_answers < self.max_long_answers()
            || self.is_reading_paused()
            || !self.given_up_at.is_none_or(is_due)
        {
            return;
        }
        let long = self.unfinished.iter().filter(|(_, answer)| answer.is_long);
        let Some((id, oldest)) = long.min_by_key(|(_, answer)| answer.grown_at) else {
            return;
        };
        if now.duration_since(oldest.grown_at) >= MAX_IDLE {
            let id = *id;
            self.given_up_at = Some(now);
            self.give_up(id);
        }
    }

    /// Lets another answer take the place of a long one.
    fn on_long_ended(&mut self, id: u64) {
        let answer = self.unfinished.get_mut(&id);
        if answer.is_some_and(|answer| std::mem::take(&mut answer.is_long)) {
            self.long_answers -= 1;
            self.wake_all();
        }
    }

    fn wake_all(&mut self) {
        let wakers = std::mem::take(&mut self.wakers);
        wakers.into_values().for_each(Waker::wake);
    }

    /// Takes bytes that waited for a caller from the count.
    fn on_released(&mut self, caller: u64, bytes: usize) {
        let was_paused = self.is_reading_paused();
        self.waiting_bytes -= bytes;
        let own = self.waiting.get_mut(&caller);
        let is_empty = own.is_none_or(|own| {
            *own -= bytes;
            *own == 0
        });
        if is_empty {
            self.waiting.remove(&caller);
            if let Some(waker) = self.wakers.remove(&caller) {
                waker.wake();
            }
        }
        if was_paused && !self.is_reading_paused() {
            let now = Instant::now();
            self.unfinished
                .values_mut()
                .for_each(|answer| answer.grown_at = now);
            self.wake_all();
        }
    }
}

/// The count of a process.
#[derive(Debug, Clone)]
pub struct AnswerBuffers {
    state: Arc<Mutex<State>>,
    request_bytes: Arc<AtomicUsize>,
}

impl Default for AnswerBuffers {
    fn default() -> AnswerBuffers {
        AnswerBuffers::new(DEFAULT_MAX_BYTES)
    }
}

impl AnswerBuffers {
    /// Returns a count of answers that may take this much together.
    #[must_use]
    pub fn new(max_bytes: usize) -> AnswerBuffers {
        let request_bytes = Arc::<AtomicUsize>::default();
        let state = State {
            max_bytes,
            request_bytes: request_bytes.clone(),
            last_id: 0,
            unfinished: BTreeMap::new(),
            unfinished_bytes: 0,
            long_answers: 0,
            given_up_at: None,
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            wakers: BTreeMap::new(),
        };
        AnswerBuffers {
            state: Arc::new(Mutex::new(state)),
            request_bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the length of all buffered answers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let state = self.lock();
        state.unfinished_bytes + state.waiting_bytes
    }

    /// Sets the length of the requests that share the maximum.
    pub fn set_request_bytes(&self, bytes: usize) {
        self.request_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Begins to count an answer that is read.
    #[must_use]
    pub fn begin_answer(&self) -> UnfinishedAnswer {
        let mut state = self.lock();
        let id = state.next_id();
        let answer = UnfinishedState {
            bytes: 0,
            is_long: false,
            is_given_up: false,
            grown_at: Instant::now(),
        };
        state.unfinished.insert(id, answer);
        UnfinishedAnswer {
            buffers: self.clone(),
            id,
        }
    }

    /// Begins to count the bytes that wait for a caller.
    #[must_use]
    pub fn begin_queue(&self) -> CallerQueue {
        CallerQueue {
            buffers: self.clone(),
            id: self.lock().next_id(),
        }
    }
}

/// An answer that is being read, counted until dropped.
#[derive(Debug)]
pub struct UnfinishedAnswer {
    buffers: AnswerBuffers,
    id: u64,
}

impl UnfinishedAnswer {
    /// Sets the size of the buffer of this answer, in bytes.
    pub fn set_bytes(&self, bytes: usize) {
        let mut guard = self.buffers.lock();
        let state = &mut *guard;
        let Some(answer) = state.unfinished.get_mut(&self.id) else {
            return;
        };
        if answer.is_given_up {
            return;
        }
        let now = Instant::now();
        state.unfinished_bytes = state.unfinished_bytes + bytes - answer.bytes;
        answer.bytes = bytes;
        answer.grown_at = now;
        if bytes <= SHORT_BYTES {
            state.on_long_ended(self.id);
        }
        state.limit_unfinished();
        state.limit_idle(now);
    }

    /// Polls until the answer may be read on.
    ///
    /// # Errors
    ///
    /// Fails if the answer is given up.
    pub fn poll_may_read(&self, task: &mut Context<'_>) -> Poll<Result<(), NoSpace>> {
        let mut guard = self.buffers.lock();
        let state = &mut *guard;
        state.limit_idle(Instant::now());
        let max_long_answers = state.max_long_answers();
        let answer = match state.unfinished.get_mut(&self.id) {
            Some(answer) if !answer.is_given_up => answer,
            _ => return Poll::Ready(Err(NoSpace)),
        };
        if answer.bytes <= SHORT_BYTES {
            return Poll::Ready(Ok(()));
        }
        if !answer.is_long && state.long_answers < max_long_answers {
            answer.is_long = true;
            answer.grown_at = Instant::now();
            state.long_answers += 1;
        }
        let is_long = answer.is_long;
        state.wakers.insert(self.id, task.waker().clone());
        if is_long && !state.is_reading_paused() {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    }
}

impl Drop for UnfinishedAnswer {
    fn drop(&mut self) {
        let mut state = self.buffers.lock();
        state.on_long_ended(self.id);
        state.wakers.remove(&self.id);
        if let Some(answer) = state.unfinished.remove(&self.id)
            && !answer.is_given_up
        {
            state.unfinished_bytes -= answer.bytes;
        }
    }
}

/// Bytes that wait for a caller, counted until dropped.
struct WaitingBytes {
    bytes: Bytes,
    queue: CallerQueue,
}

impl AsRef<[u8]> for WaitingBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for WaitingBytes {
    fn drop(&mut self) {
        let mut state = self.queue.buffers.lock();
        state.on_released(self.queue.id, self.bytes.len());
    }
}

/// What waits for one caller.
#[derive(Debug, Clone)]
pub struct CallerQueue {
    buffers: AnswerBuffers,
    id: u64,
}

impl CallerQueue {
    /// Returns the same bytes, which count as waiting until they are dropped.
    #[must_use]
    pub fn count(&self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let bytes = match bytes.len() {
            ..=MAX_COPIED_BYTES => Bytes::copy_from_slice(&bytes),
            _ => bytes,
        };
        let mut state = self.buffers.lock();
        *state.waiting.entry(self.id).or_default() += bytes.len();
        state.waiting_bytes += bytes.len();
        drop(state);
        Bytes::from_owner(WaitingBytes {
            bytes,
            queue: self.clone(),
        })
    }

    /// Waits until more may be read for the caller.
    pub async fn wait_for_room(&self) {
        poll_fn(|task| {
            let mut state = self.buffers.lock();
            if !state.waiting.contains_key(&self.id) || !state.is_reading_paused() {
                return Poll::Ready(());
            }
            state.wakers.insert(self.id, task.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
