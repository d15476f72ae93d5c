//! Tests of the stand-in for the store, on whose answers the tests of gateways rest.

use std::{thread, time::Duration};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{Platform, Reply};
use serde_json::{Value, json};

use crate::gateway::{caller::Request, kept_caller::KeptCaller, pause_ms};

/// Kind of objects that no gateway reads.
const KIND: &str = "others";
/// Number of watches. Each of them may meet the change or miss it.
const WATCHES: usize = 16;
/// Time for which a watch waits.
const WAIT_MS: u64 = 200;
/// Time for which a request blocks the stand-ins.
const BLOCK_MS: u64 = 400;
/// Answer of the plain service.
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Guards against a change that no watch ever delivers: one that is written while the end of the wait has not
/// been noticed, as on a starved machine. The watch ended without it and named its revision as read.
#[test]
fn watch_has_a_change_that_arrives_with_the_end_of_its_wait() {
    let platform = Platform::start(Vec::new());
    platform.plain.set_script(|request| {
        if request.attempt_id == "block" {
            thread::sleep(Duration::from_millis(BLOCK_MS));
        }
        Reply::sends(ANSWER)
    });
    let callers = [0, 1].map(|_| {
        let mut caller = KeptCaller::new(platform.plain.address);
        caller.send(&Request::once("open")).whole();
        caller
    });
    let after = platform.store.put(KIND, "before", Value::Null).revision;
    let path = paths::watch(KIND, after, WAIT_MS);
    let url = format!("http://{}{path}", platform.store.address);
    let watches = (0..WATCHES).map(|_| {
        let url = url.clone();
        thread::spawn(move || -> Value {
            let answer = attohttpc::get(url).send().expect("the store answers");
            answer.json().expect("the answer is JSON")
        })
    });
    let watches: Vec<_> = watches.collect();
    // All stand-ins run on one thread. The first request blocks it until the wait is over. The second one is
    // read together with the end of the wait, before the watches go on, and blocks it again.
    let blocked = callers.map(|mut caller| {
        pause_ms(WAIT_MS / 2);
        thread::spawn(move || caller.send(&Request::once("block")).whole())
    });
    pause_ms(BLOCK_MS + BLOCK_MS / 2 - WAIT_MS / 2);
    platform.store.put(KIND, "change", json!({ "is": "new" }));
    for watch in watches {
        let answer = watch.join().expect("the watch does not panic");
        let events = answer["events"].as_array().expect("there are events");
        assert_eq!(events.len(), 1, "{answer}");
    }
    for caller in blocked {
        caller.join().expect("the caller does not panic");
    }
}
