//! Answers of the platform without end.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use jacinthpoint_platform::{Platform, PlatformError, Version};

/// Memory of a node's VM.
const MAX_MEMORY_KB: u64 = 160_000;
/// Length of the answers: much more than the memory, and little enough for the machine of the tests.
const ANSWER_PARTS: usize = 400;
const PART_BYTES: usize = 1_024 * 1_024;

/// Returns a client of a platform that answers one call with this status and a long body.
fn start_platform(status: &'static str) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let platform = Platform::new(listener.local_addr().expect("it is bound"));
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let _ = stream.read(&mut [0; 4_096])?;
        stream.write_all(format!("HTTP/1.1 {status}\r\n\r\n\"").as_bytes())?;
        let part = vec![b'x'; PART_BYTES];
        for _ in 0..ANSWER_PARTS {
            stream.write_all(&part)?;
        }
        std::io::Result::Ok(())
    });
    platform
}

/// Returns the most memory that this process used so far, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("it can be read");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let mut words = line.expect("there is one").split_whitespace();
    let kb = words.find_map(|word| word.parse().ok());
    kb.expect("it is a number")
}

/// Defines tests of a call that gets an answer without end: name, status, error of the call.
macro_rules! endless_answer {
    ($($name:ident($status:literal): |$platform:ident| $call:expr => $error:pat,)+) => {
        $(
            #[test]
            fn $name() {
                let $platform = start_platform($status);
                let error = $call.expect_err("the answer has no end");
                assert!(matches!(error, $error), "{error}");
                let memory_kb = peak_memory_kb();
                assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
            }
        )+
    };
}

// Guards against nodes that run out of memory because the platform answers without end.
endless_answer! {
    endless_list_is_given_up("200 OK"): |platform| platform.list("kind")
        => PlatformError::NoAnswer { .. },
    endless_member_list_is_given_up("200 OK"): |platform| platform.members()
        => PlatformError::NoAnswer { .. },
    endless_refusal_is_given_up("503 Busy"): |platform| platform.list("kind")
        => PlatformError::Refused { status: 503, .. },
    endless_conflict_is_given_up("409 Conflict"): |platform| platform.update("kind", "name", Version(1), &1)
        => PlatformError::NoAnswer { .. },
}
