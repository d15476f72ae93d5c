//! Takes in what other gateways tell this one.

use std::{io, net::SocketAddr, rc::Rc};

use tokio::net::UdpSocket;

use crate::{
    alarm,
    clock::sleep_ms,
    datagram::{Datagram, MAX_BYTES, decode},
    load_reports,
    state::Gateway,
};

/// Pause after a failure to receive.
const RECEIVE_PAUSE_MS: u64 = 20;

/// Receives datagrams for ever.
pub(crate) async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_BYTES];
    loop {
        let received: io::Result<(usize, SocketAddr)> = socket.recv_from(&mut buffer).await;
        match received {
            Ok((length, from)) => match decode(&buffer[..length]) {
                Some(datagram) => take(&gateway, datagram, from),
                None => tracing::debug!(%from, length, "a datagram could not be read"),
            },
            Err(error) => {
                tracing::debug!(%error, "a datagram could not be received");
                sleep_ms(RECEIVE_PAUSE_MS).await;
            }
        }
    }
}

fn take(gateway: &Gateway, datagram: Datagram, from: SocketAddr) {
    match datagram {
        Datagram::Alarm(alarm) => alarm::apply(gateway, &alarm),
        Datagram::LoadReport(sightings) => load_reports::handle_report(gateway, from, sightings),
        Datagram::AggregatedLoad(sightings) => {
            load_reports::handle_aggregate(gateway, from, &sightings)
        }
    }
}
