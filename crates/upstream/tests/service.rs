//! Answers of plain services that are cut, or cannot be known to be whole.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use jacinthpoint_types::{AttemptId, RequestId};
use jacinthpoint_upstream::{ServiceAnswer, ServiceCall, StartError, call_service};

const TIMEOUT_MS: u64 = 2_000;

/// A service that gives one answer and closes the connection.
fn service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(answer.as_bytes())?;
        stream.shutdown(std::net::Shutdown::Write)?;
        while stream.read(&mut request)? > 0 {}
        std::io::Result::Ok(())
    });
    address
}

fn call(answer: &'static str) -> Result<ServiceAnswer, StartError> {
    let call = ServiceCall {
        request: RequestId::new(),
        attempt: AttemptId::new(),
        method: "POST",
        path: "/send",
        content_type: "text/plain",
        body: b"an enquiry",
    };
    call_service(service(answer), &call, TIMEOUT_MS, TIMEOUT_MS)
}

macro_rules! whole {
    ($($name:ident: $answer:literal => $body:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let answer = call($answer).expect("a whole answer");
                assert_eq!(String::from_utf8_lossy(&answer.body), $body);
            }
        )*
    };
}

macro_rules! may_have_run {
    ($($name:ident: $answer:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let error = call($answer).expect_err("not known to be whole");
                assert!(!error.is_not_run(), "{error}");
            }
        )*
    };
}

whole! {
    declared_length: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent" => "sent";
    chunked: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n" => "sent";
    no_content: "HTTP/1.1 204 No Content\r\n\r\n" => "";
}

may_have_run! {
    shorter_than_declared: "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\nsent";
    chunk_cut: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\nsent";
    last_chunk_missing: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n";
    chunk_size_not_a_number: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nsent\r\n";
    neither_length_nor_chunks: "HTTP/1.1 200 OK\r\n\r\nse";
    head_cut: "HTTP/1.1 200 OK\r\ncontent-le";
    no_http: "SSH-2.0-server\r\n";
}
