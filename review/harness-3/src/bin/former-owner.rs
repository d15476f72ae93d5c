//! Orders to one engine get no answer and are carried out seconds later, and the gateway that sent them is killed
//! meanwhile.

use std::{
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use review_harness_3::{
    Gateways, Record,
    engines::{Callers, Fronts, Requests, Site, finish},
    has_trouble, lock, sleep_ms, wait_until,
};

/// Time after which the first of these orders is carried out, that to join the second group, and the others. The
/// pages say 2 to 12 s.
const FIRST_LATE_MS: u64 = 3_400;
const SECOND_GROUP_LATE_MS: u64 = 5_000;
const OTHERS_LATE_MS: u64 = 9_000;

/// Engines of the domain in which this happens, of which two are added, and those that are added in another one.
const ENGINES: usize = 5;
const OTHERS: usize = 8;

/// Returns whether an engine is of the first domain.
fn is_of_first_domain(id: &str) -> bool {
    let index = id
        .strip_prefix("i-")
        .and_then(|index| index.parse::<usize>().ok());
    index.is_some_and(|index| index < ENGINES)
}

fn main() {
    let record = Record::default();
    let fronts = Fronts::new(&record);
    let site = Site::start(&fronts, ENGINES, 3, OTHERS);
    let store = site.platform.store.clone();
    let mut gateways = Gateways::prepare(&["zone-a"; 3], &[store.address; 3]);
    (0..3).for_each(|index| gateways.start(index));
    site.wait(&gateways);
    record.say(format!("open: {:?}", site.groups()));
    let owner = || {
        let lease = store.get_content("leases", "groups")?;
        lease["holder"]
            .as_str()?
            .strip_prefix("front-")?
            .parse::<usize>()
            .ok()
    };
    let Some(first) = owner() else {
        eprintln!("the case could not run: no gateway holds the lease");
        exit(2);
    };
    let addresses = (0..3).filter(|index| *index != first);
    let addresses: Vec<_> = addresses
        .map(|index| gateways.addresses[index].callers)
        .collect();
    let requests = Requests::default();
    let callers = Callers::start(2, 200, &addresses, &requests, &record);
    sleep_ms(2_000);
    let is_second_begun = Arc::new(AtomicBool::new(false));
    if has_trouble() {
        let mut target: Option<String> = None;
        let mut groups: Vec<String> = Vec::new();
        let mut held = 0;
        let is_second_begun = is_second_begun.clone();
        let hold = move |id: &str, order: &serde_json::Value| {
            if order["op"] != "join" {
                return None;
            }
            if !is_of_first_domain(id) {
                return None;
            }
            // The last member of the first group that is formed now.
            let last = order["members"].as_array()?.last()?.as_str()?.to_owned();
            let target = target.get_or_insert(last);
            if id != target {
                return None;
            }
            let group = order["group"].as_str()?.to_owned();
            if !groups.contains(&group) {
                groups.push(group.clone());
            }
            held += 1;
            match groups.iter().position(|known| *known == group) {
                Some(0) if held == 1 => Some(FIRST_LATE_MS),
                Some(0) => Some(OTHERS_LATE_MS),
                Some(1) if !is_second_begun.swap(true, Ordering::Relaxed) => {
                    Some(SECOND_GROUP_LATE_MS)
                }
                _ => None,
            }
        };
        *lock(&fronts.holds) = Some(Box::new(hold));
    }
    let groups_before = site.groups().len();
    site.list_later(&record);
    if has_trouble() {
        wait_until("the second group is begun", 8_000, || {
            is_second_begun.load(Ordering::Relaxed)
        });
    } else {
        wait_until("another group is open", 8_000, || {
            site.groups().len() > groups_before
        });
    }
    if has_trouble() {
        sleep_ms(100);
        gateways.kill(first);
        record.say(format!("front-{first}, which sends the orders, is killed"));
        wait_until("another gateway holds the lease", 5_000, || {
            owner().is_some_and(|now| now != first)
        });
        record.say(format!("front-{} holds the lease", owner().unwrap_or(9)));
    }
    sleep_ms(1_500);
    record.say(format!("open: {:?}", site.groups()));
    sleep_ms(9_000);
    record.say(format!("open: {:?}", site.groups()));
    callers.stop();
    let (orders, held) = fronts.orders.get();
    record.say(format!("{orders} orders, of which {held} got no answer"));
    exit(finish(&site, &fronts, gateways));
}
