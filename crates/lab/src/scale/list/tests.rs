use super::*;

fn line(name: &str, status: State, since_ms: u64) -> Line<'_> {
    let address = "127.0.0.1:80".parse().unwrap();
    Line { name, address, zone: "z0".into(), r#type: "std", group: 0, status, weight: 1.0, since_ms }
}

fn names(news: &News) -> Vec<String> {
    let value: serde_json::Value = serde_json::from_slice(&news.text).unwrap();
    value["endpoints"].as_array().unwrap().iter().map(|it| it["name"].as_str().unwrap().into()).collect()
}

#[test]
fn who_holds_a_version_gets_what_changed_since_and_others_all() {
    let mut list = List::default();
    list.change(["a", "b", "c"].into_iter().map(|name| line(name, State::InService, 0)));
    assert_eq!(
        (names(&list.since(0)), list.since(0).whole),
        (vec!["a".into(), "b".into(), "c".into()], true)
    );
    list.change([line("b", State::Terminating, 1)].into_iter());
    list.change([line("b", State::Terminated, 1), line("c", State::Terminating, 1)].into_iter());
    let news = list.since(1);
    assert_eq!((names(&news), news.index, news.whole), (vec!["b".into(), "c".into()], 3, false));
    assert_eq!(names(&list.since(2)), ["b", "c"]);
    assert_eq!(names(&list.since(0)), ["a", "c"]); // what has gone is on no whole list
}

#[test]
fn an_agent_passes_on_what_a_list_server_has() {
    let (mut server, mut agent) = (List::default(), List::default());
    server.change(["a", "b"].into_iter().map(|name| line(name, State::InService, 0)));
    agent.take(&server.since(0).text).unwrap();
    assert_eq!(agent.since(0).text, server.since(0).text);
    let held = agent.index();
    server.change([line("a", State::Terminating, 5)].into_iter());
    let news = server.since(held);
    agent.take(&news.text).unwrap();
    assert_eq!(agent.since(held).text, news.text);
    assert_eq!(agent.since(0).text, server.since(0).text);
}

#[test]
fn who_is_too_far_behind_gets_all() {
    let mut list = List::default();
    list.change([line("a", State::InService, 0)].into_iter());
    for since in 0..=CHANGES_KEPT as u64 {
        list.change([line("a", State::InService, since)].into_iter());
    }
    assert!(list.since(1).whole);
    assert!(!list.since(list.index() - 1).whole);
}
