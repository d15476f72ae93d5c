//! JSON and event-stream bodies of the answers to model calls.

use jacinthpoint_types::{Outcome, RequestId};
use jacinthpoint_upstream::TokenEvent;
use jacinthpoint_wire::KeptAnswer;
use serde_json::{Value, json};

use crate::caller::call::Call;

/// Formats the answer to one call.
pub(crate) struct AnswerFormat<'a> {
    pub(crate) request: RequestId,
    pub(crate) call: &'a Call<'a>,
}

impl AnswerFormat<'_> {
    /// Returns the data of one token's stream event.
    pub(crate) fn token_event(&self, token: &TokenEvent) -> Value {
        let finish = &token.finish_reason;
        let choice = if self.call.is_chat {
            json!({ "index": 0, "delta": { "content": token.text }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": token.text, "finish_reason": finish })
        };
        let object = if self.call.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        json!({
            "id": self.request,
            "object": object,
            "model": self.call.model_name,
            "choices": [choice],
        })
    }

    /// Returns the whole answer in the form in which it is replayed to a resend.
    pub(crate) fn kept_answer(&self, tokens: &[String], finish_reason: Option<&str>) -> KeptAnswer {
        let (content_type, body) = if self.call.wants_stream {
            let token = TokenEvent {
                offset: 0,
                text: tokens.concat(),
                finish_reason: finish_reason.map(str::to_owned),
            };
            let events = format!("data: {}\n\n{}", self.token_event(&token), stream_end());
            ("text/event-stream", events)
        } else {
            (
                "application/json",
                self.whole_body(tokens, finish_reason).to_string(),
            )
        };
        KeptAnswer {
            status: 200,
            content_type: content_type.to_owned(),
            body: body.into_bytes(),
        }
    }

    /// Returns the body of an answer that is not streamed.
    pub(crate) fn whole_body(&self, tokens: &[String], finish_reason: Option<&str>) -> Value {
        let text = tokens.concat();
        let choice = if self.call.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": finish_reason })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish_reason })
        };
        json!({
            "id": self.request,
            "object": if self.call.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.call.model_name,
            "choices": [choice],
            "usage": { "completion_tokens": tokens.len() },
        })
    }
}

/// Returns the last lines of an answered stream. The outcome is a comment line, which clients that
/// parse events ignore.
pub(crate) fn stream_end() -> String {
    format!(": outcome {}\n\ndata: [DONE]\n\n", Outcome::Answered)
}
