//! Tests of the lookup of the route and the service of a request.

mod common;

use plankhill_configuration::{Configuration, RouteTable};
use serde_json::{json, Value};

use common::{route, text, valid, with};

fn table(document: &Value) -> RouteTable {
    RouteTable::new(Configuration::parse(&text(document)).expect("the configuration is valid"))
}

/// Returns a table with one route for each pair of host and prefix, named by its index.
fn table_of(endpoints: &[(String, String)]) -> RouteTable {
    let routes = endpoints.iter().enumerate().map(|(index, (host, prefix))| {
        let mut entry = route(&index.to_string(), prefix, "idempotent");
        entry["host"] = json!(host);
        entry
    });
    table(&with("/routes", routes.collect()))
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|route| route.name.as_ref())
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let table = table(&valid());
    assert_eq!(found(&table, "front.example", "/chat/2"), Some("chat"));
    assert_eq!(
        found(&table, "front.example", "/chat/split/2"),
        Some("split")
    );
    assert_eq!(
        found(&table, "front.example", "/chat/splitting/2"),
        Some("chat")
    );
    assert_eq!(found(&table, "front.example", "/chat/"), Some("chat"));
    assert_eq!(found(&table, "front.example", "/chat"), None);
    assert_eq!(found(&table, "front.example", "/other/chat/"), None);
    assert_eq!(found(&table, "front.example", ""), None);
    assert_eq!(found(&table, "other.example", "/chat/2"), None);
}

#[test]
fn case_and_port_of_the_host_do_not_matter() {
    let table = table(&valid());
    for host in [
        "front.example",
        "FRONT.Example",
        "front.example:8080",
        "Front.example:",
    ] {
        assert_eq!(found(&table, host, "/chat/2"), Some("chat"), "{host}");
    }
    assert_eq!(found(&table, "front.example:x", "/chat/2"), None);
}

#[test]
fn an_ipv6_host_is_not_split_at_its_colons() {
    let table = table_of(&[("[::1]".to_owned(), "/".to_owned())]);
    assert_eq!(found(&table, "[::1]", "/"), Some("0"));
    assert_eq!(found(&table, "[::1]:80", "/"), Some("0"));
}

#[test]
fn the_query_is_not_part_of_the_path() {
    let table = table(&valid());
    assert_eq!(
        found(&table, "front.example", "/chat/?to=/chat/split/"),
        Some("chat")
    );
    assert_eq!(found(&table, "front.example", "/chat?x=/"), None);
}

#[test]
fn services_and_limits_are_found() {
    let table = table(&valid());
    assert_eq!(table.version(), 7);
    assert_eq!(
        table.service("tools").expect("a service").max_connections,
        16
    );
    assert!(table.service("nobody").is_none());
    assert_eq!((table.services().count(), table.routes().count()), (2, 3));
    assert_eq!(table.limits().max_header_bytes, 16384);
}

#[test]
fn lookup_agrees_with_a_linear_search() {
    arbtest::arbtest(|source| {
        let segment = |source: &mut arbtest::arbitrary::Unstructured<'_>| {
            Ok::<_, arbtest::arbitrary::Error>(*source.choose(&["a", "b", "ab", "é"])?)
        };
        let path = |source: &mut arbtest::arbitrary::Unstructured<'_>| {
            let mut path = String::from("/");
            for _ in 0..source.int_in_range(0..=3)? {
                path.push_str(segment(source)?);
                path.push('/');
            }
            Ok::<_, arbtest::arbitrary::Error>(path)
        };
        let mut endpoints: Vec<(String, String)> = Vec::new();
        for _ in 0..source.int_in_range(0..=8)? {
            let endpoint = (segment(source)?.to_owned(), path(source)?);
            if !endpoints.contains(&endpoint) {
                endpoints.push(endpoint);
            }
        }
        let table = table_of(&endpoints);
        let (host, path) = (segment(source)?, path(source)? + segment(source)?);
        let matching = endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.0 == host && path.starts_with(&endpoint.1));
        let expected = matching
            .max_by_key(|(_, endpoint)| endpoint.1.len())
            .map(|(index, _)| index.to_string());
        assert_eq!(found(&table, host, &path).map(str::to_owned), expected);
        Ok(())
    });
}

#[test]
fn many_routes_and_a_path_of_slashes_are_looked_up() {
    let endpoints: Vec<_> = (0..5000)
        .map(|index| (format!("h{}", index % 7), format!("/route/{index}/")))
        .collect();
    let table = table_of(&endpoints);
    for (index, (host, prefix)) in endpoints.iter().enumerate() {
        assert_eq!(
            found(&table, host, &format!("{prefix}rest")),
            Some(index.to_string().as_str())
        );
    }
    assert_eq!(found(&table, "h1", &"/".repeat(100_000)), None);
}

#[test]
fn a_route_with_one_service_uses_it_for_every_request() {
    let table = table(&valid());
    let route = table.find("front.example", "/chat/2").expect("a route");
    assert_eq!(route.pick_service("1").as_ref(), "models");
    assert_eq!(route.services.names().count(), 1);
}

#[test]
fn requests_are_split_by_weight_and_each_request_consistently() {
    let table = table(&valid());
    let route = table
        .find("front.example", "/chat/split/2")
        .expect("a route");
    let requests: Vec<String> = (0..20_000)
        .map(|number| format!("request-{number:x}"))
        .collect();
    let to_tools = requests
        .iter()
        .filter(|id| route.pick_service(id).as_ref() == "tools")
        .count();
    assert!(
        (4_700..5_300).contains(&to_tools),
        "{to_tools} of 20000 for a share of a quarter"
    );
    for id in &requests[..100] {
        assert_eq!(route.pick_service(id), route.pick_service(id));
    }
}

#[test]
fn a_service_with_weight_zero_gets_no_requests() {
    for (index, other) in [(0, "tools"), (1, "models")] {
        let document = with(
            &format!("/routes/2/weighted_services/{index}/weight"),
            json!(0),
        );
        let table = table(&document);
        let route = table
            .find("front.example", "/chat/split/2")
            .expect("a route");
        let picked = (0..1000).map(|number| route.pick_service(&number.to_string()).to_string());
        assert!(picked.into_iter().all(|service| service == other));
    }
}
