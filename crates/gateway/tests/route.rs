//! Route lookup by host and longest path prefix, and services by weight.

mod support;

use gateway::{Route, RouteKind, RouteTable, ServiceShare};
use model::ServiceName;
use support::{limits, route};

fn named_route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        ..route(RouteKind::Idempotent)
    }
}

#[test]
fn find_longest_path_prefix_of_host() {
    let routes = vec![
        named_route("other", "b.example", "/x/y/"),
        named_route("short", "a.example", "/x/"),
        named_route("long", "a.example", "/x/y/"),
    ];
    let table = RouteTable::new(1, routes, limits());
    let cases = [
        ("a.example", "/x/y/z", Some("long")),
        ("a.example", "/x/yy", Some("short")),
        ("A.Example:8080", "/x/1", Some("short")),
        ("b.example", "/x/y/", Some("other")),
        ("b.example", "/x/", None),
        ("a.example", "/x", None),
        ("c.example", "/x/y/", None),
        ("", "/x/y/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn service_for_follows_weights_and_is_stable() {
    let mut weighted = route(RouteKind::Idempotent);
    let share = |service: &str, weight| ServiceShare {
        service: ServiceName::new(service),
        weight,
    };
    weighted.services = vec![share("a", 90), share("b", 10), share("never", 0)];
    let count = |name: &str| {
        (0..10_000)
            .filter(|id| weighted.service_for(&format!("{id}")).unwrap().as_str() == name)
            .count()
    };
    let b = count("b");
    assert!((800..1_200).contains(&b), "{b}");
    assert_eq!(count("never"), 0);
    assert_eq!(weighted.service_for("x"), weighted.service_for("x"));
}

#[test]
fn service_for_without_services_is_none() {
    let mut route_without_services = route(RouteKind::Idempotent);
    route_without_services.services.clear();
    assert_eq!(route_without_services.service_for("x"), None);
}
