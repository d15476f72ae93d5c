//! A request is served end to end.

use crate::util::{Call, SiteOptions};

site_test!(
    whole_answer_is_the_requests_own,
    SiteOptions::small(),
    |site| {
        for node in &site.nodes {
            let call = Call::new("two reels of 0402 capacitors");
            let answer = call.send(node.callers).expect("the node answers");
            assert_eq!(answer.outcome, "answered", "{}", answer.body);
            assert_eq!(answer.text, call.expected());
        }
    }
);

site_test!(
    streamed_answer_is_the_requests_own,
    SiteOptions::small(),
    |site| {
        let call = Call {
            stream: true,
            ..Call::new("forty boxes of squid")
        };
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, call.expected());
    }
);

site_test!(
    stream_goes_on_after_its_group_is_lost,
    SiteOptions::small(),
    |mut site| {
        let node = site.nodes[0].callers;
        let call = Call {
            stream: true,
            max_tokens: 400,
            ..Call::new("a long landing declaration")
        };
        let sent = call.clone();
        let caller = std::thread::spawn(move || sent.send(node));
        std::thread::sleep(std::time::Duration::from_millis(500));
        let runs = site.run_log();
        let leader = runs
            .iter()
            .find(|run| run.request == call.request.to_string());
        let leader = leader.expect("the request runs").vm.clone();
        let lost = site
            .engines
            .remove(&leader)
            .expect("the leader is an engine");
        drop(lost.process);
        let answer = caller.join().expect("no panic").expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, call.expected());
    }
);

site_test!(
    wrong_key_is_refused_as_not_run,
    SiteOptions::small(),
    |site| {
        let call = Call {
            key: "no-such-key",
            ..Call::new("anything")
        };
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!((answer.status, answer.outcome.as_str()), (401, "not-run"));
        assert_eq!(answer.retry_after, None);
        assert!(
            site.run_log()
                .iter()
                .all(|run| run.request != answer.request)
        );
    }
);

site_test!(
    planned_stop_cuts_no_stream,
    SiteOptions::small(),
    |mut site| {
        let node = site.nodes[0].callers;
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let prompt = format!("stream {number}");
                let call = Call {
                    stream: true,
                    max_tokens: 300,
                    ..Call::new(&prompt)
                };
                std::thread::spawn(move || (call.send(node), call.expected()))
            })
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(500));
        site.nodes[0].process.signal("TERM");
        for caller in callers {
            let (answer, expected) = caller.join().expect("no panic");
            let answer = answer.expect("the stream is not cut");
            assert_eq!(
                (answer.outcome.as_str(), answer.text),
                ("answered", expected)
            );
        }
        let status = site.nodes[0]
            .process
            .wait(10_000)
            .expect("the node stops by itself");
        assert!(status.success(), "{status}");
    }
);
