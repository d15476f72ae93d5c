//! What gateways of earlier builds send, byte by byte, as they keep doing while a fleet is upgraded.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    time::Duration,
};

use serde_json::json;

use crate::gateway::{
    caller::{End, Request, parse},
    pause_ms,
    site::{Site, gateway_name},
};

/// A report of loads at no target, to the one hub that earlier builds know: version 3, kind 1, length 0.
const EMPTY_LOAD_REPORT: [u8; 3] = [3, 1, 0];
/// Begin of the answer: version 3, kind 2.
const AGGREGATED_LOAD: [u8; 2] = [3, 2];

/// Returns the address of a gateway for others, as its registration says.
pub(super) fn peers_address(site: &Site, index: usize) -> SocketAddr {
    let store = &site.platform.store;
    let registration = store.get_content("gateways", &gateway_name(index));
    let registration = registration.expect("the gateway is registered");
    let address = registration["address"].as_str().expect("it has an address");
    address.parse().expect("it is an address")
}

/// Guards against gateways of earlier builds that take each hub for dead, and decide without the loads of
/// others.
#[test]
fn load_report_of_an_earlier_build_is_answered_in_its_format() {
    let site = Site::start(2);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    let timeout = Some(Duration::from_secs(2));
    socket.set_read_timeout(timeout).expect("it can be set");
    for index in 0..2 {
        let hub = peers_address(&site, index);
        socket.send_to(&EMPTY_LOAD_REPORT, hub).expect("it is sent");
        let mut answer = [0; 1_400];
        let (length, from) = socket.recv_from(&mut answer).expect("the gateway answers");
        assert_eq!(from, hub);
        assert_eq!(answer[..length.min(2)], AGGREGATED_LOAD);
    }
}

/// Guards against a gateway of an earlier build that finds no relay: it asks with the calls that it knows.
#[test]
fn relay_calls_of_an_earlier_build_are_answered() {
    let site = Site::start(2);
    let statuses: Vec<u16> = (0..2)
        .map(|index| {
            let url = format!("http://{}/objects/servers", peers_address(&site, index));
            let answer = attohttpc::get(url).send().expect("the gateway answers");
            answer.status().as_u16()
        })
        .collect();
    // One of the two reads the store for both.
    assert!(statuses.contains(&200), "{statuses:?}");
}

/// Guards against a fleet that stops working when registrations lack what newer builds add.
#[test]
fn streams_are_served_beside_registrations_of_an_earlier_build() {
    let site = Site::start(2);
    let earlier = json!({ "data_centre": "dc-1", "address": "127.0.0.1:9" });
    let store = &site.platform.store;
    store.put("gateways", "gateway-of-an-earlier-build", earlier);
    pause_ms(2_000);
    for index in 0..2 {
        assert!(site.metrics(index).contains("jacinthpoint_gateways 3"));
        let answer = Request::stream(&format!("beside-{index}")).send(site.gateway(index));
        assert_eq!((answer.status, answer.end), (200, End::Whole));
    }
}

/// Guards against a request of an earlier build that is answered by another configuration than its gateway's: it
/// does not state how new its view is.
#[test]
fn forwarded_request_of_an_earlier_build_is_not_taken() {
    let site = Site::start(1);
    let text = Request::once("earlier").to_text();
    let forwarded = "\r\ngateway-forwarded-by: gateway-of-an-earlier-build\r\n";
    let text = text.replacen("\r\n", forwarded, 1);
    let mut connection = TcpStream::connect(peers_address(&site, 0)).expect("it accepts");
    connection.write_all(text.as_bytes()).expect("it reads");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && connection.read(&mut byte).expect("it answers") > 0 {
        head.push(byte[0]);
    }
    let answer = parse(&head, End::Left);
    assert_eq!(answer.status, 503);
    assert!(answer.header("gateway-not-taken").is_some());
    assert!(site.platform.runs.of("earlier").is_empty());
}
