//! The membership list is read although other writers left entries in it that cannot be read.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use jacinthpoint_platform::{Members, Platform};

/// Returns the list of a platform that answers one call with this body.
fn members_in(body: String) -> Members {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let platform = Platform::new(listener.local_addr().expect("it is bound"));
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the head is whole");
            request.extend(byte);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let answer = head + &body;
        stream
            .write_all(answer.as_bytes())
            .expect("the client reads");
    });
    let list = platform.members().expect("the list can be read");
    server.join().expect("it does not panic");
    list
}

fn entry(vm: &str) -> String {
    format!(
        r#"{{"vm":"{vm}","incarnation":1,"address":"127.0.0.1:8000","data_centre":"dc-1",
            "fabric_domain":"d-1","role":"engine","state":"live"}}"#
    )
}

/// Defines tests of one odd entry between two others: name, the odd entry.
macro_rules! odd_entries {
    ($($name:ident: $odd:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let odd: String = $odd;
                let list = members_in(format!("[{},{odd},{}]", entry("vm-1"), entry("vm-2")));
                let names: Vec<_> = list.members.iter().map(|member| member.vm.as_str()).collect();
                assert_eq!(names, ["vm-1", "vm-2"]);
                assert_eq!(list.refused.len(), 1);
            }
        )+
    };
}

// Guards against nodes that follow no changes of the list: one entry that cannot be read hid all others.
odd_entries! {
    deeply_nested_entry_is_left_out: format!("{}{}", "[".repeat(50_000), "]".repeat(50_000)),
    entry_with_a_number_too_large_is_left_out:
        entry("odd").replace("\"incarnation\":1", "\"incarnation\":1e400"),
    entry_with_a_port_out_of_range_is_left_out: entry("odd").replace("8000", "99999"),
    entry_with_an_unknown_role_is_left_out: entry("odd").replace("engine", "spare"),
}
