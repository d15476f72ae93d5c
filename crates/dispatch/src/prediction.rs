//! Predicts when a group will send the first event of a request.
//!
//! An engine reads the prompts of its requests one after the other, a limited number of tokens in
//! each decoding step, and a request has its first event once its prompt is read. The number of
//! requests at a group says little about this wait, since the lengths of prompts differ widely; the
//! number of prompt tokens that the group has yet to read does.

use jacinthpoint_fleet::{Engine, ModelSpec};

/// What a request asks of a group, and the times that its caller expects.
#[derive(Debug, Clone, Copy)]
pub struct PromptDemand<'a> {
    /// Parameters of the engines of the service.
    pub engine: &'a Engine,
    /// Model that the request asks for.
    pub model: &'a ModelSpec,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum time until the first event, in milliseconds, from the arrival of the request.
    pub first_event_objective_ms: u64,
    /// Maximum time between two events of a stream, in milliseconds.
    pub gap_objective_ms: u64,
}

impl PromptDemand<'_> {
    /// Returns the predicted time for which the request waits at a group, in milliseconds, until the
    /// group begins to read its prompt. The group has `unread_tokens` prompt tokens to read and
    /// `requests` requests that run or are queued.
    pub fn wait_ms(&self, unread_tokens: f64, requests: f64) -> f64 {
        let engine = self.engine;
        let slots = f64::from(engine.slots);
        let queued = (requests + 1.0 - slots).max(0.0);
        let queued_ms = queued * 1_000.0 / engine.group_rate_per_s(self.model).max(0.001);
        // The prompts of queued requests are among the unread ones, but are read only once a slot
        // is free for each.
        self.reading_ms(unread_tokens, requests.min(slots))
            .max(queued_ms)
    }

    /// Returns the time in which a group that runs `running` requests reads this many prompt tokens,
    /// in milliseconds.
    pub fn reading_ms(&self, tokens: f64, running: f64) -> f64 {
        let engine = self.engine;
        let reading_ms = tokens * 1_000.0 / engine.prefill_tokens_per_s.max(1.0);
        let per_step = f64::from(engine.max_prefill_tokens_per_step);
        let steps = if per_step > 0.0 {
            tokens / per_step
        } else {
            0.0
        };
        let decoding_ms = steps * (engine.step_ms + engine.per_sequence_ms * running);
        self.model.time_factor * (reading_ms + decoding_ms)
    }

    /// Returns how much of the reading that fits into one pass a group would do in it with this
    /// request: above 1, the pass takes longer than the maximum time between two events.
    /// `unread_tokens` and `requests` are as in [`PromptDemand::wait_ms`].
    ///
    /// Returns 0 if the group has nothing else to read, since the request must be read anyway, and if
    /// less than two usual prompts fit, since the engine cannot keep the objective then.
    pub fn pass_fill(&self, unread_tokens: f64, requests: f64) -> f64 {
        let engine = self.engine;
        let running = requests.min(f64::from(engine.slots));
        let steps = f64::from(engine.stride.max(1));
        let decoding_ms = steps * (engine.step_ms + engine.per_sequence_ms * running);
        let pass_ms = self.gap_objective_ms as f64 / self.model.time_factor.max(f64::EPSILON);
        let reading_ms = (pass_ms - decoding_ms).max(0.0);
        let max_tokens = reading_ms * engine.prefill_tokens_per_s / 1_000.0;
        if unread_tokens <= 0.0 || max_tokens < 2.0 * engine.mean_prompt_tokens {
            return 0.0;
        }
        (unread_tokens + f64::from(self.prompt_tokens)) / max_tokens
    }

    /// Returns the time in which a group reads the prompt of a usual request, in milliseconds.
    pub fn usual_reading_ms(&self) -> f64 {
        let engine = self.engine;
        let reading_ms = engine.mean_prompt_tokens * 1_000.0 / engine.prefill_tokens_per_s.max(1.0);
        self.model.time_factor * reading_ms
    }
}
