//! Histograms for each organisation and class.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::util::{Call, KEYS, Site, SiteOptions, wait_until};

/// Tokens of each answer.
const TOKENS: u64 = 20;
/// Time for a request to be answered in the end.
const ANSWER_DEADLINE_MS: u64 = 30_000;

/// Values on the page by name with labels.
fn page(operators: SocketAddr) -> BTreeMap<String, u64> {
    let answer = attohttpc::get(format!("http://{operators}/metrics")).send();
    let text = answer.and_then(|answer| answer.text()).expect("the page");
    let values = text.lines().map(|line| {
        let (name, value) = line.rsplit_once(' ').expect("a name and a value");
        (name.to_owned(), value.parse().expect("a whole number"))
    });
    values.collect()
}

fn send(site: &Site, key: &'static str, priority: &str, stream: bool) {
    let call = Call {
        key,
        stream,
        max_tokens: TOKENS,
        headers: vec![("x-priority", priority.to_owned())],
        ..Call::new("measured")
    };
    // On a busy machine a group may be closed for a moment, and what was not run is sent again.
    wait_until("the request is answered", ANSWER_DEADLINE_MS, || {
        let call = Call {
            request: Default::default(),
            ..call.clone()
        };
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_ne!(answer.outcome, "unknown", "{}", answer.body);
        answer.outcome == "answered"
    });
}

site_test!(
    histograms_are_kept_apart_by_organisation_and_class,
    SiteOptions::small(),
    |site| {
        for _ in 0..3 {
            send(&site, KEYS[0].1, "high", true);
        }
        send(&site, KEYS[0].1, "batch", false);
        send(&site, KEYS[1].1, "critical", true);
        let page = page(site.nodes[0].operators);
        let counts = [
            ("coralbank", "high", 3),
            ("coralbank", "batch", 1),
            ("tongyeong", "critical", 1),
        ];
        for (organisation, class, calls) in counts {
            let labels = format!("organisation=\"{organisation}\",class=\"{class}\"");
            let ended = format!("requests_ended{{{labels},outcome=\"answered\"}}");
            assert_eq!(page[&ended], calls);
            let expected = [
                ("first_token_us", calls),
                ("token_gap_us", calls * (TOKENS - 1)),
                ("whole_answer_us", calls),
            ];
            for (name, count) in expected {
                assert_eq!(page[&format!("{name}_count{{{labels}}}")], count, "{name}");
                let bucket =
                    |bound: &str| page[&format!("{name}_bucket{{{labels},le=\"{bound}\"}}")];
                let buckets = ["1000", "26000", "580000", "120000000", "+Inf"].map(bucket);
                assert!(buckets.is_sorted(), "{name} {buckets:?}");
                assert_eq!(buckets[4], count, "{name}");
            }
        }
        let series = page
            .keys()
            .filter(|name| name.starts_with("token_gap_us_count"));
        assert_eq!(series.count(), counts.len());
    }
);
