//! Classes over reloads, and routes.

use super::*;
use leadrelay_core::settings;

fn parsed(classes: &[(&str, f64)]) -> (Settings, Names) {
    let classes: Vec<_> = classes
        .iter()
        .map(|(name, deadline)| serde_json::json!({"name": name, "deadline": deadline, "effect": "idempotent"}))
        .collect();
    settings::json::parse(&serde_json::json!({ "classes": classes }))
}

fn reconfigured(classes: &mut Classes, to: &[(&str, f64)]) -> Reconfiguration {
    let (settings, names) = parsed(to);
    classes.reconfigure(&names, settings, &Dialect::Platform).expect("it fits")
}

#[test]
fn entry_keeps_its_rules_while_a_request_uses_it() {
    let (settings, names) = parsed(&[("a", 100.0), ("b", 200.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &Dialect::Platform);
    let open = classes.find("a").expect("on offer");
    // Reordered, with other rules for one.
    let to = reconfigured(&mut classes, &[("b", 200.0), ("a", 300.0)]);
    let (a, b) = (classes.find("a").expect("on offer"), classes.find("b").expect("on offer"));
    assert_eq!((b.id.0, a.rules.deadline, to.inherits_from[a.id.0]), (1, 300.0, Some(open.id.0)));
    assert!(a.id != open.id && to.settings.classes[open.id.0].deadline == 100.0);
    assert!(!to.offered[open.id.0] && to.offered[a.id.0]);
    // Dropped, and its entry stays for as long as it is held.
    let to = reconfigured(&mut classes, &[("c", 1.0)]);
    assert!(classes.find("a").is_none() && classes.find("b").is_none());
    assert_eq!(to.settings.classes[open.id.0].deadline, 100.0);
    assert_eq!(classes.longest_deadline(), 300.0, "of what is held");
    drop((open, a, b));
    assert_eq!(classes.longest_deadline(), 1.0);
    // Many files later there are no more entries than are needed at once.
    for n in 0..1000 {
        reconfigured(&mut classes, &[("a", f64::from(n) + 1.0), ("b", 5.0)]);
    }
    assert!(classes.entries.len() < 12, "{}", classes.entries.len());
}

#[test]
fn reload_takes_as_many_classes_as_a_start() {
    let (settings, names) = parsed(&[("a", 100.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &Dialect::Platform);
    let many: Vec<String> = (0..1024).map(|n| format!("c{n}")).collect();
    for deadline in [1.0, 2.0, 3.0, 4.0] {
        let to: Vec<(&str, f64)> = many.iter().map(|n| (n.as_str(), deadline)).collect();
        reconfigured(&mut classes, &to);
        assert_eq!(classes.find("c1023").expect("on offer").rules.deadline, deadline);
        assert!(classes.find("a").is_none() && classes.offered().count() == 1024);
    }
    assert!(classes.entries.len() <= 2049, "{}", classes.entries.len());
}

#[test]
fn reload_with_too_many_former_classes_changes_nothing() {
    let (settings, names) = parsed(&[("a", 100.0)]);
    let mut classes = Classes::new(&names, &settings.classes, &Dialect::Platform);
    let many: Vec<String> = (0..MAX_FORMER_ENTRIES).map(|n| format!("c{n}")).collect();
    let with = |deadline: f64| -> Vec<(&str, f64)> { many.iter().map(|n| (n.as_str(), deadline)).collect() };
    let mut open = Vec::new();
    for deadline in [1.0, 2.0, 3.0] {
        reconfigured(&mut classes, &with(deadline));
        open.push(many.iter().map(|n| classes.find(n).expect("on offer")).collect::<Vec<_>>());
    }
    let (settings, names) = parsed(&with(4.0));
    assert!(classes.reconfigure(&names, settings.clone(), &Dialect::Platform).is_err());
    assert_eq!(classes.find("c0").expect("on offer").rules.deadline, 3.0);
    open.remove(0);
    classes.reconfigure(&names, settings, &Dialect::Platform).expect("the first ones are held no more");
    assert_eq!(classes.find("c0").expect("on offer").rules.deadline, 4.0);
}

#[test]
fn longest_path_of_whole_segments_wins() {
    use crate::config::Route;
    let (settings, names) = parsed(&[("read", 1.0), ("write", 1.0), ("orders", 1.0)]);
    let route = |class: &str, path: &str, methods: &[&str]| Route {
        class: class.into(),
        path: path.into(),
        methods: methods.iter().map(|m| (*m).to_owned()).collect(),
    };
    let routes =
        vec![route("read", "/", &["GET"]), route("write", "/", &[]), route("orders", "/orders/", &["GET"])];
    let plain = Plain { routes, ..Plain::default() };
    let classes = Classes::new(&names, &settings.classes, &Dialect::Plain(plain.clone()));
    let of =
        |path: &str, method: Method| classes.route(&plain, path, &method).map(|class| class.name.to_string());
    for (path, method, class) in [
        ("/", Method::GET, "read"),
        ("/orders", Method::GET, "orders"),
        ("/orders/7", Method::GET, "orders"),
        ("/ordersheet", Method::GET, "read"),
        ("/orders/7", Method::POST, "write"),
    ] {
        assert_eq!(of(path, method).as_deref(), Some(class), "{path}");
    }
    let none = Plain { routes: vec![route("orders", "/orders", &[])], ..Plain::default() };
    assert!(classes.route(&none, "/other", &Method::GET).is_none());
}
