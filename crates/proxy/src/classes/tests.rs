//! Tests of classes across reloads, and of routes.

use super::*;
use leadrelay_core::settings;

fn parse(classes: &[(&str, f64)]) -> (Settings, Names) {
    let classes: Vec<_> = classes
        .iter()
        .map(|(name, deadline)| serde_json::json!({"name": name, "deadline": deadline, "effect": "idempotent"}))
        .collect();
    settings::json::parse(&serde_json::json!({ "classes": classes }))
}

fn reconfigure(classes: &mut Classes, class_list: &[(&str, f64)]) -> Reconfiguration {
    let (settings, names) = parse(class_list);
    classes.reconfigure(&names, settings, &ClientProtocol::Platform).expect("there are enough entries")
}

/// Guards against a reload that changes the rules of an open request, whose class is known by the index of its entry,
/// and against entries that are never reused.
#[test]
fn entry_keeps_its_rules_while_a_request_uses_it() {
    let (settings, names) = parse(&[("a", 100.0), ("b", 200.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &ClientProtocol::Platform);
    let open = classes.find("a").expect("a configured class");
    // The classes are reordered, and the rules of "a" change.
    let reconfiguration = reconfigure(&mut classes, &[("b", 200.0), ("a", 300.0)]);
    let (a, b) =
        (classes.find("a").expect("a configured class"), classes.find("b").expect("a configured class"));
    assert_eq!(
        (b.id.0, a.rules.deadline, reconfiguration.inherits_from[a.id.0]),
        (1, 300.0, Some(open.id.0))
    );
    assert!(a.id != open.id && reconfiguration.settings.classes[open.id.0].deadline == 100.0);
    assert!(!reconfiguration.offered[open.id.0] && reconfiguration.offered[a.id.0]);
    // The class is removed, but its entry keeps its rules while an open request uses it.
    let reconfiguration = reconfigure(&mut classes, &[("c", 1.0)]);
    assert!(classes.find("a").is_none() && classes.find("b").is_none());
    assert_eq!(reconfiguration.settings.classes[open.id.0].deadline, 100.0);
    assert_eq!(classes.longest_deadline(), 300.0, "the longest deadline of the classes in use");
    drop((open, a, b));
    assert_eq!(classes.longest_deadline(), 1.0);
    // Entries are reused: 1000 reloads do not add more entries than are needed at one time.
    for n in 0..1000 {
        reconfigure(&mut classes, &[("a", f64::from(n) + 1.0), ("b", 5.0)]);
    }
    assert!(classes.entries.len() < 12, "{}", classes.entries.len());
}

/// Guards against a reload that rejects a valid file because the entries of the running configuration count towards the
/// limit on earlier classes.
#[test]
fn reload_accepts_as_many_classes_as_a_start() {
    let (settings, names) = parse(&[("a", 100.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &ClientProtocol::Platform);
    let many: Vec<String> = (0..1024).map(|n| format!("c{n}")).collect();
    for deadline in [1.0, 2.0, 3.0, 4.0] {
        let class_list: Vec<(&str, f64)> = many.iter().map(|n| (n.as_str(), deadline)).collect();
        reconfigure(&mut classes, &class_list);
        assert_eq!(classes.find("c1023").expect("a configured class").rules.deadline, deadline);
        assert!(classes.find("a").is_none() && classes.configured_classes().count() == 1024);
    }
    assert!(classes.entries.len() <= 2049, "{}", classes.entries.len());
}

/// Guards against a rejected reload that has already replaced some of the classes.
#[test]
fn reload_with_too_many_former_classes_changes_nothing() {
    let (settings, names) = parse(&[("a", 100.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &ClientProtocol::Platform);
    let many: Vec<String> = (0..MAX_FORMER_ENTRIES).map(|n| format!("c{n}")).collect();
    let with_deadline =
        |deadline: f64| -> Vec<(&str, f64)> { many.iter().map(|n| (n.as_str(), deadline)).collect() };
    let mut open = Vec::new();
    for deadline in [1.0, 2.0, 3.0] {
        reconfigure(&mut classes, &with_deadline(deadline));
        open.push(many.iter().map(|n| classes.find(n).expect("a configured class")).collect::<Vec<_>>());
    }
    let (settings, names) = parse(&with_deadline(4.0));
    assert!(classes.reconfigure(&names, settings.clone(), &ClientProtocol::Platform).is_err());
    assert_eq!(classes.find("c0").expect("a configured class").rules.deadline, 3.0);
    open.remove(0);
    classes
        .reconfigure(&names, settings, &ClientProtocol::Platform)
        .expect("the requests of the first reload have ended");
    assert_eq!(classes.find("c0").expect("a configured class").rules.deadline, 4.0);
}

/// Guards against a route that matches a path which only shares the start of a segment, as `/ordersheet` with
/// `/orders`.
#[test]
fn longest_path_of_whole_segments_wins() {
    use crate::config::Route;
    let (settings, names) = parse(&[("read", 1.0), ("write", 1.0), ("orders", 1.0)]);
    let route = |class: &str, path: &str, methods: &[&str]| Route {
        class: class.into(),
        path: path.into(),
        methods: methods.iter().map(|m| (*m).to_owned()).collect(),
    };
    let routes =
        vec![route("read", "/", &["GET"]), route("write", "/", &[]), route("orders", "/orders/", &["GET"])];
    let plain = HttpRules { routes, ..HttpRules::default() };
    let classes = Classes::new(&names, &settings.classes, &ClientProtocol::Plain(plain.clone()));
    let class_of =
        |path: &str, method: Method| classes.route(&plain, path, &method).map(|class| class.name.to_string());
    for (path, method, class) in [
        ("/", Method::GET, "read"),
        ("/orders", Method::GET, "orders"),
        ("/orders/7", Method::GET, "orders"),
        ("/ordersheet", Method::GET, "read"),
        ("/orders/7", Method::POST, "write"),
    ] {
        assert_eq!(class_of(path, method).as_deref(), Some(class), "{path}");
    }
    let only_orders = HttpRules { routes: vec![route("orders", "/orders", &[])], ..HttpRules::default() };
    assert!(classes.route(&only_orders, "/other", &Method::GET).is_none());
}
