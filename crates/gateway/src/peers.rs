//! Receives datagrams from other gateways and passes each to its handler.

use std::{io, net::SocketAddr, rc::Rc};

use tokio::net::UdpSocket;

use crate::{
    alarm, capacity_exchange,
    clock::sleep_ms,
    datagram::{Datagram, MAX_BYTES, decode},
    limit_exchange, load_reports,
    state::Gateway,
};

/// Pause after a failed receive.
const RECEIVE_PAUSE_MS: u64 = 20;

/// Receives datagrams for ever.
pub(crate) async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_BYTES];
    loop {
        let received: io::Result<(usize, SocketAddr)> = socket.recv_from(&mut buffer).await;
        match received {
            Ok((length, from)) => match decode(&buffer[..length]) {
                Some(datagram) => handle(&gateway, datagram, from),
                None => {
                    tracing::debug!(%from, length, "a datagram has another version or is malformed")
                }
            },
            Err(error) => {
                tracing::debug!(%error, "a datagram could not be received");
                sleep_ms(RECEIVE_PAUSE_MS).await;
            }
        }
    }
}

/// Passes a datagram to the handler of its kind.
fn handle(gateway: &Gateway, datagram: Datagram, from: SocketAddr) {
    match datagram {
        Datagram::Alarm(alarm) => alarm::apply(gateway, &alarm),
        Datagram::LoadReport(reports) => load_reports::handle_report(gateway, from, reports),
        Datagram::LimitReport { reports, is_sync } => {
            limit_exchange::handle_report(gateway, from, &reports, is_sync);
        }
        Datagram::LimitAnswer(answers) => limit_exchange::handle_answer(gateway, from, &answers),
        Datagram::AggregatedLoad(loads) => load_reports::handle_aggregate(gateway, from, &loads),
        Datagram::Cell(message) => load_reports::handle_cell(gateway, from, message),
        Datagram::Capacity(message) => capacity_exchange::handle(gateway, from, message),
        Datagram::WarmUp(message) => limit_exchange::handle_warm_up(gateway, from, &message),
    }
}
