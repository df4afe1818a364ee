//! The losses by cause add up to the total loss, and each window's loss is attributed to the faults
//! around it.

use plankhill_loss_report::{DayReport, Event, LossReport, Window};

fn window(from: f64, programs: u32, value: f64) -> Window {
    Window {
        from,
        programs,
        late: 0,
        refused: 0,
        failed: 0,
        value,
    }
}

fn event(kind: &str, at_s: f64, to_s: f64) -> Event {
    Event {
        kind: kind.to_owned(),
        at_s,
        to_s,
    }
}

fn loss_report(windows: Vec<Window>, events: Vec<Event>) -> LossReport {
    LossReport::new(&DayReport {
        windows,
        events,
        deductions: Vec::new(),
    })
}

fn loss_by_cause(report: &LossReport, cause: &str) -> f64 {
    report
        .losses
        .iter()
        .filter(|lost| lost.cause == cause)
        .map(|lost| lost.programs)
        .sum()
}

#[test]
fn losses_by_cause_add_up_to_the_total() {
    arbtest::arbtest(|random| {
        let count = random.int_in_range(0..=20_u32)?;
        let mut windows = Vec::new();
        for number in 0..count {
            let share = f64::from(random.int_in_range(0..=100_u32)?) / 100.0;
            windows.push(window(
                f64::from(2 * number),
                random.int_in_range(0..=500)?,
                share,
            ));
        }
        let mut events = Vec::new();
        for number in 0..random.int_in_range(0..=5_u32)? {
            let at = f64::from(random.int_in_range(0..=40_u32)?);
            events.push(event(&format!("kind-{number}"), at, at + 3.0));
        }
        let lost: f64 = windows
            .iter()
            .map(|one| f64::from(one.programs) * (1.0 - one.value))
            .sum();
        assert!((loss_report(windows, events).total_loss() - lost).abs() < 1e-6);
        Ok(())
    });
}

#[test]
fn faults_around_a_window_share_its_loss_and_distant_ones_do_not() {
    let windows = vec![
        window(0.0, 100, 1.0),
        window(10.0, 100, 0.8),
        window(30.0, 50, 0.9),
    ];
    let events = vec![
        event("kill", 11.0, 12.0),
        event("burst", 9.0, 14.0),
        event("config_change", 10.0, 12.0),
    ];
    let report = loss_report(windows, events);
    assert!((loss_by_cause(&report, "kill") - 10.0).abs() < 1e-9);
    assert!((loss_by_cause(&report, "burst") - 10.0).abs() < 1e-9);
    assert!((loss_by_cause(&report, "nothing under way") - 5.0).abs() < 1e-9);
    assert_eq!(report.programs, 250);
}

#[test]
fn a_report_is_read_and_the_error_of_an_invalid_one_names_the_key() {
    let text = r#"{"windows":[{"name":"4","n":7,"late":2,"refused":0,"failed":1,"worth":0.5,"p50_ms":1.0}],
        "events":[{"at_s":1.0,"to_s":2.0,"kind":"burst","what":"","planned":false}],"prices":[["memory",2.0,0.01]],"G":0.5}"#;
    let report: DayReport = serde_json::from_str(text).unwrap();
    assert_eq!(
        (report.windows[0].from, report.windows[0].programs),
        (4.0, 7)
    );
    let error = serde_json::from_str::<DayReport>(&text.replace("events", "other")).unwrap_err();
    assert!(error.to_string().contains("events"));
}
