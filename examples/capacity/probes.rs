//! Measures the bytes of a probe of an engine and the processor time of the prober.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use jacinthpoint_readiness::{ProbeReport, Prober};
use jacinthpoint_standins::{Engine, EngineOptions};
use jacinthpoint_types::{Assignment, Epoch, MemberAddress, TimeMs};
use jacinthpoint_upstream::Order;

use crate::{
    cost::{TCP_CONTROL_SEGMENTS, TCP_HEADER_BYTES, cpu_s, time_ns},
    process::Standin,
};

/// Number of probes over which the bytes are averaged.
const COUNTED_PROBES: usize = 50;
/// Numbers of groups that one prober checks.
const GROUPS: [usize; 2] = [8, 80];

/// Returns a group of eight members with names as long as at the target size.
pub fn assignment(number: usize) -> Assignment {
    let member = |index: usize| MemberAddress {
        vm: format!("bne-north-r{number:02}-vm-{index:03}")
            .parse()
            .expect("a valid name"),
        address: SocketAddr::from(([10, 1, number as u8, index as u8], 8_000)),
    };
    Assignment {
        group: format!("bne-north-r{number:02}.1042.3")
            .parse()
            .expect("a valid name"),
        epoch: Epoch::from_fence(1_042),
        model: "jp-model-72b+quoting@2026-11-03"
            .parse()
            .expect("a valid model"),
        members: (0..8).map(member).collect(),
    }
}

/// Starts a proxy to `target` that counts the payload bytes in both directions.
fn count_bytes(target: SocketAddr) -> std::io::Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let bytes = Arc::new(AtomicUsize::new(0));
    let counter = bytes.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(upstream) = TcpStream::connect(target) else {
                continue;
            };
            let ends = (stream.try_clone(), upstream.try_clone());
            let (Ok(to_caller), Ok(to_upstream)) = ends else {
                continue;
            };
            let up = counter.clone();
            let down = counter.clone();
            thread::spawn(move || copy_and_count(stream, to_upstream, &up));
            thread::spawn(move || copy_and_count(upstream, to_caller, &down));
        }
    });
    Ok((address, bytes))
}

/// Copies bytes until the end of the stream or an error, adds them to `bytes`, and closes the
/// sending side.
fn copy_and_count(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicUsize) {
    let mut buffer = [0; 4_096];
    while let Ok(read) = from.read(&mut buffer) {
        bytes.fetch_add(read, Ordering::Relaxed);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Returns the bytes of one probe in both directions, headers included.
fn probe_bytes() -> std::io::Result<f64> {
    let vm = assignment(1).members[0].vm.clone();
    let engine = Engine::start(EngineOptions::new(vm))?;
    let order = Order::Serve {
        assignment: assignment(1),
    };
    jacinthpoint_upstream::order(engine.address(), &order, 1_000).map_err(std::io::Error::other)?;
    let (address, bytes) = count_bytes(engine.address())?;
    for _ in 0..COUNTED_PROBES {
        jacinthpoint_upstream::state(address, 1_000).map_err(std::io::Error::other)?;
    }
    let payload = bytes.load(Ordering::Relaxed) as f64 / COUNTED_PROBES as f64;
    // Two segments carry the request and the response.
    let segments = TCP_CONTROL_SEGMENTS + 2;
    Ok(payload + (segments * TCP_HEADER_BYTES) as f64)
}

/// Returns the processor time of one probe in microseconds. The engine runs in a separate process,
/// so that its time is not counted.
fn probe_cpu_us() -> std::io::Result<f64> {
    const TIMED_PROBES: u32 = 3_000;
    let engine = Standin::start(&["engine", "--vm", "vm-1"])?;
    let before = cpu_s("self");
    for _ in 0..TIMED_PROBES {
        jacinthpoint_upstream::state(engine.address, 1_000).map_err(std::io::Error::other)?;
    }
    Ok((cpu_s("self") - before) * 1e6 / f64::from(TIMED_PROBES))
}

/// Prints the bytes of a probe and the times of the prober.
pub fn measure() {
    println!("probes:\n");
    match probe_cpu_us() {
        Ok(us) => println!("- processor time of the prober per probe: {us:.0} us"),
        Err(error) => println!("- processor time per probe: not measured: {error}"),
    }
    match probe_bytes() {
        Ok(bytes) => {
            println!("- bytes per probe, in both directions, headers included: {bytes:.0}")
        }
        Err(error) => println!("- bytes per probe: not measured: {error}"),
    }
    for groups in GROUPS {
        let assignments: Vec<Assignment> = (0..groups).map(assignment).collect();
        let mut prober = Prober::new();
        prober.set_groups(assignments.clone());
        let mut round = 0;
        let report_ns = time_ns(20_000, || {
            round += 1;
            let assignment = &assignments[round % groups];
            let member = &assignment.members[round % 8];
            let report = ProbeReport {
                vm: member.vm.clone(),
                assignment: Some(assignment.clone()),
                leaving: false,
                ready: true,
                slowness: 1.0,
                load: 3,
                load_age_ms: 200,
            };
            prober.on_report(
                &assignment.group,
                &member.vm,
                TimeMs(round as u64),
                Some(&report),
            );
        });
        let confirm_ns = time_ns(2_000, || prober.confirmed_groups(TimeMs(round as u64)));
        println!(
            "- {groups} groups: {report_ns:.0} ns per report, {:.0} ns per group to determine the confirmed groups",
            confirm_ns / groups as f64
        );
    }
    println!();
}
