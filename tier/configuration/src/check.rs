//! Validation rules that involve more than one value of a configuration.

use std::collections::{HashMap, HashSet};

use plankhill_validation::{faults_of, Faults};
use validator::Validate;

use crate::table::normalized_host;
use crate::{Configuration, Route, RouteServices, WeightedService};

/// Returns all faults of `configuration`. The version number is not checked here.
pub(crate) fn faults_of_configuration(configuration: &Configuration) -> Faults {
    let mut faults = match configuration.validate() {
        Ok(()) => Faults::new(),
        Err(errors) => faults_of(&errors),
    };
    let services = service_names(configuration, &mut faults);
    for (index, route) in configuration.routes.iter().enumerate() {
        check_timeout(index, route, &mut faults);
        check_services(index, route, &services, &mut faults);
    }
    check_distinct_routes(configuration, &mut faults);
    faults
}

/// Collects the names of the services and adds a fault for each duplicate name.
fn service_names<'a>(configuration: &'a Configuration, faults: &mut Faults) -> HashSet<&'a str> {
    let mut names = HashSet::with_capacity(configuration.services.len());
    for (index, service) in configuration.services.iter().enumerate() {
        if !names.insert(service.name.as_ref()) {
            faults.add(
                format!("services[{index}].name"),
                format!("{:?} stands twice", service.name),
            );
        }
    }
    names
}

fn check_timeout(index: usize, route: &Route, faults: &mut Faults) {
    if route.timeout.is_zero() {
        faults.add(format!("routes[{index}].timeout_ms"), "must not be 0");
    }
}

fn check_services(index: usize, route: &Route, known: &HashSet<&str>, faults: &mut Faults) {
    match &route.services {
        RouteServices::One(service) => {
            check_known(format!("routes[{index}].service"), service, known, faults);
        }
        RouteServices::Weighted(weighted) => check_weighted(index, weighted, known, faults),
    }
}

fn check_weighted(
    index: usize,
    weighted: &[WeightedService],
    known: &HashSet<&str>,
    faults: &mut Faults,
) {
    let list = format!("routes[{index}].weighted_services");
    for (position, share) in weighted.iter().enumerate() {
        check_known(
            format!("{list}[{position}].service"),
            &share.service,
            known,
            faults,
        );
        if !share.weight.is_finite() || share.weight < 0.0 {
            faults.add(format!("{list}[{position}].weight"), "must not be negative");
        }
    }
    let sum: f64 = weighted.iter().map(|share| share.weight).sum();
    if sum <= 0.0 {
        faults.add(list, "the weights sum to 0");
    } else if !sum.is_finite() {
        faults.add(list, "the weights are too large");
    }
}

fn check_known(key: String, service: &str, known: &HashSet<&str>, faults: &mut Faults) {
    if !known.contains(service) {
        faults.add(key, format!("no service is called {service:?}"));
    }
}

/// Adds a fault for each route with the same host and prefix as an earlier one.
fn check_distinct_routes(configuration: &Configuration, faults: &mut Faults) {
    let mut indexes = HashMap::with_capacity(configuration.routes.len());
    for (index, route) in configuration.routes.iter().enumerate() {
        let position = (normalized_host(&route.host), route.path_prefix.as_ref());
        let first = *indexes.entry(position).or_insert(index);
        if first != index {
            let message = format!("routes[{first}] has the same host and prefix");
            faults.add(format!("routes[{index}].path_prefix"), message);
        }
    }
}
