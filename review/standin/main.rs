//! The stand-ins and the cases of the review. `standin N RECORD` plays case N; with `TROUBLE=0` in the
//! environment it does so without the disruption. It ends with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod case1;
mod case2;
mod case3;
mod net;
mod server;

use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|mode| mode == "server") {
        return server::run(&arguments[1..]);
    }
    let [case, path] = arguments.as_slice() else {
        eprintln!("expected the number of a case and the path of its record");
        std::process::exit(2)
    };
    std::panic::set_hook(Box::new(|panic| {
        net::say(format!("the test broke: {panic}"));
        net::remove_folder();
        std::process::exit(2) // the children die with this process
    }));
    net::open_record(path);
    net::watchdog(Duration::from_secs(100));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    net::say(format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let broken = match case.as_str() {
        "1" => case1::run(trouble),
        "2" => case2::run(trouble),
        "3" => case3::run(trouble),
        _ => net::finish(2),
    };
    net::say(if broken { "the rule was broken" } else { "the rule held" });
    net::finish(i32::from(broken))
}

/// The settings of a small deployment, those that the pages print, with other times where a case needs them.
pub fn settings(nodes: usize, target: u32, give_up: u32) -> String {
    format!(
        r#"{{"Callers":{{"MarksRetry":false}},"Classes":[{{"Credit":1.0,"GiveUp":{give_up},"Group":"all","Idempotency":"free","LateWorth":0.0,"Name":"view-shifts","Stream":false,"Target":{target},"Window":5000.0}},{{"Credit":3.0,"GiveUp":{give_up},"Group":"cell","Idempotency":"guarded","LateWorth":0.0,"Name":"claim-shift","Stream":false,"Target":{target},"Window":12000.0}}],"CountedBy":"work","Family":"proxy","Goal":{{"Whole":0.55,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.15}},"HostTypes":["std-a","std-b","std-c"],"Layer":0,"Layers":["turnos-web"],"LoadReport":{{"Columns":["concurrent","depth"],"Via":"pull"}},"Localities":["hall-a","hall-b","hall-c"],"NInstances":{nodes},"Ordinal":$ORDINAL,"OverShareWorth":0.1,"Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":800000,"IdleClose":5000.0,"MaxRetryAfter":2000.0,"MostHeld":20000,"ParallelTries":true,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1}},"Prices":{{"Connection":0.0,"CrossZone":0.005,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.01,"Probe":0.002,"RegistryMode":0.0,"Waste":0.05}},"Projects":[],"Quantum":1.0,"RegistryMode":"push","Rules":{{"AnswerSlack":5.0,"ColdFrom":0.12,"DrainGrace":2000.0,"MustAskIn":10000.0,"OverloadFactor":3.0,"RampTime":23000.0,"TipAfter":3000.0}},"Specifics":{{"WarmKeys":false}},"Weights":"silent","Zone":$ORDINAL}}"#
    )
}
