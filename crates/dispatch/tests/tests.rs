//! Tests of the decisions on one request.

mod budget;
mod many_gateways;
mod new_group;
mod stall;
mod support;
