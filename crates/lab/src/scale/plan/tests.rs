use super::*;

fn scale() -> Scale {
    let text = r#"
        about = "for a test"
        seconds = 20
        real_nodes = 2
        [size]
        nodes = 100
        servers = 500
        tenants = 3
        routes = 2
        changes_per_s = 5.0
        restarts_per_s = 2.0
        [[troubles]]
        kind = "lost"
        at = 3
        lasts = 5
        servers = 40
        nodes = 10
        [[troubles]]
        kind = "restarts"
        at = 2
        within = 10
        part = 0.1
        [[troubles]]
        kind = "settings"
        at = 1
        within = 10
        count = 50
    "#;
    toml::from_str(text).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_plan_and_another_gives_another() {
    let scale = scale();
    let first = plan(&scale, &scale.size, 7);
    assert_eq!(first, plan(&scale, &scale.size, 7));
    assert_ne!(first, plan(&scale, &scale.size, 8));
}

#[test]
fn steps_come_in_order_within_the_time_and_leave_real_nodes_alone() {
    let scale = scale();
    let steps = plan(&scale, &scale.size, 7);
    assert!(steps.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
    assert!(steps.iter().all(|step| step.at_ms <= 20_000));
    for step in &steps {
        if let Deed::Restart(nodes) | Deed::Kill(nodes) | Deed::Start(nodes) = &step.what {
            assert!(nodes.iter().all(|node| (2..100).contains(node)), "{nodes:?}");
        }
    }
}

#[test]
fn what_is_lost_comes_back_and_one_of_the_settings_is_bad() {
    let scale = scale();
    let steps = plan(&scale, &scale.size, 7);
    let of = |at_ms: u64| steps.iter().filter(move |step| step.at_ms == at_ms).map(|step| &step.what);
    let gone = of(3_000).find_map(|deed| match deed {
        Deed::Servers(servers, State::Terminated) => Some(servers.clone()),
        _ => None,
    });
    let back = of(8_000).find_map(|deed| match deed {
        Deed::Servers(servers, State::InService) => Some(servers.clone()),
        _ => None,
    });
    assert_eq!(gone.as_ref().map(Vec::len), Some(40));
    assert_eq!(gone, back);
    let settings: Vec<_> = steps
        .iter()
        .filter_map(|step| match step.what {
            Deed::Settings { version, bad } => Some((version, bad)),
            _ => None,
        })
        .collect();
    assert_eq!(settings.len(), 50);
    assert_eq!(settings.iter().filter(|(_, bad)| *bad).count(), 1);
    assert_eq!(settings.last(), Some(&(50, false)));
}

/// 5 changes a second over 20 s are 100 in the mean, with a standard deviation of 10.
#[test]
fn changes_come_at_their_rate_and_each_drained_server_returns() {
    let scale = scale();
    let steps = changes(&scale.size, 7, 20_000);
    assert!((60..=140).contains(&steps.len()), "{}", steps.len());
    for pair in steps.chunks_exact(2) {
        let (Deed::Servers(drained, State::Terminating), Deed::Servers(back, State::InService)) =
            (&pair[0].what, &pair[1].what)
        else {
            panic!("{pair:?}")
        };
        assert_eq!(drained, back);
    }
}
