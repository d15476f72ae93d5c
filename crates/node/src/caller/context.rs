//! Reads a request's priority, deadline, id and repeatability from its headers.

use std::str::FromStr;

use jacinthpoint_records::Organisation;
use jacinthpoint_types::{Deadline, OrganisationId, Priority, RequestId, ResultCode, TimeMs};

use crate::{caller::answer::ErrorAnswer, http::HttpRequest, shared::Shared};

/// Organisation and checked header values of an authenticated request.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) organisation: OrganisationId,
    pub(crate) priority: Priority,
    pub(crate) request: RequestId,
    pub(crate) accepted_at: TimeMs,
    pub(crate) deadline: Deadline,
    /// Whether the request may run more than once; `None` if the header is missing.
    pub(crate) repeatable: Option<bool>,
}

impl Context {
    /// Reads the headers; missing ones get their defaults.
    ///
    /// # Errors
    ///
    /// Refuses an invalid header value, since guessing its meaning could run a request twice; a
    /// priority above the organisation's; and a deadline that has passed.
    pub(crate) fn read(
        shared: &Shared,
        organisation: &Organisation,
        request: &HttpRequest,
    ) -> Result<Context, ErrorAnswer> {
        let priority = parse(request, "x-priority")?.unwrap_or(organisation.max_priority);
        // `Priority` is ordered from the most important class, so a lesser value is a higher
        // priority.
        if priority < organisation.max_priority {
            let message = "the organisation may not ask for this priority";
            return Err(ErrorAnswer::not_run(ResultCode::Forbidden, message));
        }
        let accepted_at = shared.now();
        let deadline = match parse(request, "x-deadline-unix-ms")? {
            Some(unix_ms) => shared.clock.deadline_at_unix_ms(unix_ms),
            None => Deadline::after_ms(accepted_at, shared.settings.default_deadline_ms),
        };
        if deadline.has_passed(accepted_at) {
            let message = "the deadline has already passed";
            return Err(ErrorAnswer::not_run(
                ResultCode::DeadlineUnreachable,
                message,
            ));
        }
        Ok(Context {
            organisation: organisation.name.clone(),
            priority,
            request: parse(request, "x-request-id")?.unwrap_or_default(),
            accepted_at,
            deadline,
            repeatable: parse(request, "x-repeatable")?,
        })
    }
}

fn parse<T: FromStr>(request: &HttpRequest, name: &str) -> Result<Option<T>, ErrorAnswer> {
    let Some(text) = request.header(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => {
            let message = format!("the header {name} cannot be read");
            Err(ErrorAnswer::not_run(ResultCode::BadRequest, message))
        }
    }
}
