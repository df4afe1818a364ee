//! The forwarder as its peers meet it: real sockets, with stand-ins for target, discovery and client.

mod peers;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

#[rstest]
fn an_event_reaches_its_target_unchanged_over_one_connection() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    let mut stream = TcpStream::connect(forwarder.address).expect("listens");
    for id in ["a", "b"] {
        stream.write_all(&event(id, "order", "")).expect("takes it");
        assert_eq!(answer(&mut stream).0, 202);
        let call = next(&calls);
        assert!(call.head.starts_with("POST /receive HTTP/1.1\r\n"));
        assert_eq!((call.id(), &call.body[..]), (id, &b"body"[..]));
        assert_eq!(call.field("Idempotency-Key"), Some(&*format!("f-{id}")));
        call.answer(OK);
    }
    let chunked = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let whole = String::from_utf8(event("c", "order", "")).unwrap();
    stream.write_all(whole.replace("Content-Length: 4\r\n\r\nbody", chunked).as_bytes()).expect("takes it");
    assert_eq!(answer(&mut stream).0, 202);
    assert_eq!(next(&calls).body, b"abcde");
    assert_eq!(forwarder.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0, 200);
}

#[rstest]
#[case("job", "-KILL", true)]
#[case("job", "-TERM", true)]
#[case("order", "-KILL", true)]
#[case("charge", "-KILL", false)]
fn a_forwarder_that_ended_still_owes_what_it_took(
    #[case] traffic: &str,
    #[case] signal: &str,
    #[case] again: bool,
) {
    let (mut forwarder, calls, notices, _) = all(0, |_| ());
    forwarder.take("a", traffic, "Cookie: about=5\r\n");
    let out = next(&calls);
    if !again {
        forwarder.take("b", traffic, "Cookie: about=5\r\n");
    }
    forwarder.restart(signal);
    drop(out);
    if !again {
        assert_eq!(next(&notices), given_up("a"), "it may have run");
    }
    let call = next(&calls);
    assert_eq!((call.id(), &call.body[..]), (if again { "a" } else { "b" }, &b"body"[..]));
    call.answer(OK);
    forwarder.take("c", "job", "");
    assert_eq!(next(&calls).id(), "c", "nothing else was owed");
}

/// Ended right after each 202, whatever the calls were doing: every event has an end, no binding one two.
#[rstest]
fn ended_again_and_again_it_loses_nothing_and_repeats_nothing_binding() {
    let (mut forwarder, calls, notices, _) = all(0, |_| ());
    let got = Arc::new(Mutex::new(Vec::new()));
    let delivered = got.clone();
    thread::spawn(move || {
        for call in calls {
            delivered.lock().unwrap().push(call.id().to_owned());
            call.answer(OK);
        }
    });
    let ids: Vec<String> = (0..24).map(|number| format!("e{number}")).collect();
    let traffic = |number: usize| ["charge", "job", "order"][number % 3];
    for (number, id) in ids.iter().enumerate() {
        forwarder.take(id, traffic(number), "");
        forwarder.restart(if number % 8 == 7 { "-TERM" } else { "-KILL" });
    }
    let mut ended = Vec::new();
    let is_over = |id: &String, ended: &[String]| ended.contains(id) || got.lock().unwrap().contains(id);
    let by = Instant::now() + LONG;
    while !ids.iter().all(|id| is_over(id, &ended)) {
        assert!(Instant::now() < by, "of {ids:?} only {ended:?} and {got:?} have an end");
        if let Ok(notice) = notices.recv_timeout(Duration::from_millis(50)) {
            assert_eq!(notice["outcome"], "given_up");
            ended.push(notice["message"].as_str().expect("an id").to_owned());
        }
    }
    for (number, id) in ids.iter().enumerate() {
        let times = got.lock().unwrap().iter().filter(|call| *call == id).count();
        assert!(traffic(number) != "charge" || times <= 1, "{id} was sent {times} times");
        assert!(traffic(number) == "charge" || !ended.contains(id), "{id} could be sent again");
    }
}

#[rstest]
fn a_notice_is_told_until_it_is_heard_also_across_a_restart() {
    let (mut forwarder, calls, notices, _) = all(usize::MAX, |_| ());
    forwarder.take("a", "charge", "Cookie: about=5\r\n");
    next(&calls).answer(ERROR);
    for _ in 0..3 {
        assert_eq!(next(&notices), given_up("a"));
    }
    forwarder.take("b", "charge", "Cookie: about=5\r\n");
    forwarder.restart("-KILL");
    while notices.try_recv().is_ok() {}
    assert_eq!(next(&notices), given_up("a"));
    assert!(calls.try_recv().is_err(), "b is behind a, whose end nobody has heard");
}

/// Guards the others' notices from an id that the platform does not take.
#[rstest]
fn a_notice_that_cannot_be_read_holds_up_no_other() {
    let (forwarder, calls, notices, _) = all(0, |_| ());
    for id in ["unreadable", "a"] {
        forwarder.take(id, "charge", "Cookie: about=5\r\n");
        next(&calls).answer(ERROR);
    }
    assert_eq!(next(&notices), given_up("unreadable"));
    assert_eq!(next(&notices), given_up("a"));
}

#[rstest]
#[case("charge", "", &[])]
#[case("charge", "HTTP/1.1 nonsense\r\n\r\n", &[])]
#[case("charge", "HTTP/1.1 200 OK\r\nContent-Le", &["delivered"])]
#[case("charge", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", &["again"])]
#[case("charge", "HTTP/1.1 200 \u{7}\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", &["delivered"])]
#[case("charge", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc", &["delivered"])]
#[case("charge", "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\nab", &[])]
#[case("charge", "HTTP/1.1 503 Full\r\nSrv-Load: \u{1}\r\nContent-Length: 0\r\n\r\n", &["again"])]
#[case("job", "", &["again"])]
#[case("order", "HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nshort", &["again"])]
fn answers_good_and_bad(#[case] traffic: &str, #[case] said: &str, #[case] then: &[&str]) {
    let (forwarder, calls, notices, _) = all(0, |_| ());
    forwarder.take("a", traffic, "Cookie: about=5\r\n");
    next(&calls).answer(&format!("{said}{BREAK}"));
    match then {
        [] => assert_eq!(next(&notices), given_up("a")),
        ["again"] => assert_eq!(next(&calls).id(), "a"),
        _ => {
            // It is over: the next of its key goes, and no notice does.
            forwarder.take("b", "charge", "Cookie: about=5\r\n");
            assert_eq!(next(&calls).id(), "b");
            assert!(notices.try_recv().is_err());
        }
    }
}

/// Guards against spoilt answers, which tell nothing of a target's health: they come at once and it is not
/// taken offline for them, nor is the connection used again, which stays open.
#[rstest]
#[case("\u{7}\u{7f}noise\r\n")]
#[case("HTTP/1.1 500 Oh\r\nContent-Length: -2\r\n\r\n")]
#[case("HTTP/1.1 500 Oh\r\nand no end")]
fn spoilt_answers_take_no_target_offline(#[case] said: &str) {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    forwarder.take("a", "job", "");
    for _ in 0..3 {
        let call = next(&calls);
        assert!(call.head.starts_with("POST /receive "), "{}", call.head);
        call.answer(said);
    }
    let call = next(&calls);
    assert!(call.head.starts_with("POST /receive "), "{}", call.head);
    call.answer(OK);
}

#[rstest]
fn a_target_that_is_not_there_gets_the_event_once_it_is() {
    // The port is ours, and nobody listens there on the other address.
    let ours = TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = SocketAddr::from(([127, 0, 0, 2], ours.local_addr().expect("bound").port()));
    let (discovery, watches, _notices) = discovery(0);
    let forwarder = Forwarder::start(&config(discovery, free));
    forwarder.take("a", "charge", "Cookie: about=5\r\n");
    let (target, calls) = stand_in();
    let watch = next(&watches);
    assert!(watch.head.starts_with("GET /discovery/hosts?since=41&timeout_ms="));
    watch.answer(&page(&[member("t", target, "up")]));
    let call = std::iter::repeat_with(|| next(&calls)).find(|call| !call.head.starts_with("GET /alive"));
    assert_eq!(call.expect("endless").id(), "a");
    assert!(next(&watches).head.contains("since=42"));
}

#[rstest]
#[case("draining")]
#[case("removed")]
fn nothing_new_goes_to_a_target_that_leaves(#[case] phase: &str) {
    let (old, old_calls) = stand_in();
    let (new, new_calls) = stand_in();
    let (discovery, watches, _notices) = discovery(0);
    let mut forwarder = Forwarder::start(&config(discovery, old));
    forwarder.take("a", "job", "");
    next(&old_calls).answer(OK);
    next(&watches).answer(&page(&[member("t", old, phase), member("u", new, "up"), json!({"id": "odd"})]));
    next(&watches); // the next watch comes once the page was handed on
    for id in ["b", "c", "d", "e"] {
        if id == "d" {
            forwarder.restart("-KILL"); // discovery is no help then, and the configuration is older
        }
        forwarder.take(id, "job", "");
        let call = next(&new_calls);
        assert_eq!(call.id(), id);
        call.answer(OK);
    }
    assert!(old_calls.try_recv().is_err());
}

/// Guards the list and the notices when the file names another discovery under load; a faulty file is no end.
#[rstest]
fn on_sighup_list_watch_and_notices_move_and_nothing_is_lost() {
    let (target, calls) = stand_in();
    let (old, old_watches, old_notices) = discovery(0);
    let (new, watches, notices) = discovery(0);
    let mut told = config(old, target);
    let forwarder = Forwarder::start(&told);
    let _held = next(&old_watches);
    let file = forwarder.folder.join("config.json");
    let logged = |what: &str| {
        let by = Instant::now() + LONG;
        while !forwarder.log.lock().unwrap().contains(what) {
            assert!(Instant::now() < by, "{what:?} is not logged");
            thread::sleep(Duration::from_millis(5));
        }
    };
    std::fs::write(&file, "{").expect("written");
    forwarder.signal("-HUP");
    logged("all stays as it was");
    forwarder.take("a", "charge", "");
    let out = next(&calls);
    told["discovery"] = json!(new.to_string());
    told["limits"]["sockets"] = json!(128);
    std::fs::write(&file, told.to_string()).expect("written");
    forwarder.signal("-HUP");
    logged("takes effect only with a new start, key: limits");
    out.answer(ERROR);
    assert_eq!(next(&notices), given_up("a"));
    let watch = next(&watches);
    assert!(watch.head.contains("since=41"), "{}", watch.head);
    let (other, other_calls) = stand_in();
    watch.answer(&page(&[member("t", target, "removed"), member("u", other, "up")]));
    next(&watches);
    forwarder.take("b", "job", "");
    assert_eq!(next(&other_calls).id(), "b");
    assert!(old_notices.try_recv().is_err() && calls.try_recv().is_err());
}

#[rstest]
fn a_connection_that_the_target_closed_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, _watches, _notices) = discovery(0);
    let forwarder = Forwarder::start(&config(discovery, listener.local_addr().unwrap()));
    for id in ["a", "b"] {
        forwarder.take(id, "charge", "");
        let (mut stream, _) = listener.accept().expect("a connection of its own");
        read_message(&mut BufReader::new(&mut stream)).expect("a call");
        stream.write_all(OK.as_bytes()).expect("takes it");
        stream.shutdown(std::net::Shutdown::Both).expect("closes");
        // Its end of the connection closes once it has seen ours close.
        while !matches!(stream.read(&mut [0; 64]), Ok(0) | Err(_)) {}
    }
}

#[rstest]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n", 400)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nContent-Length: 0\r\n\r\n", 400)]
#[case("POST /job HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nbody", 400)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 9\r\n\r\nbody", 408)]
#[case("POST /job HTTP/1.1\r\nHost: x\r\n", 408)]
#[case("nonsense\r\n\r\n", 400)]
#[case("POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404)]
#[case("GET /job HTTP/1.1\r\nHost: x\r\n\r\n", 405)]
#[case("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405)]
#[case(
    "POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 1\r\nX-Envelope: dest=1\r\nContent-Length: 65537\r\n\r\n",
    413
)]
fn bad_input_is_refused_and_harms_nobody_else(#[case] request: &str, #[case] status: u16) {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    assert_eq!(forwarder.ask(request.as_bytes()).0, status);
    forwarder.take("good", "job", "");
    assert_eq!(next(&calls).id(), "good");
}

#[rstest]
fn a_client_that_left_before_its_answer_took_its_event_back() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    let mut stream = TcpStream::connect(forwarder.address).expect("listens");
    stream.write_all(&event("warm", "job", "")).expect("takes it");
    assert_eq!(answer(&mut stream).0, 202);
    next(&calls).answer(OK);
    forwarder.stop();
    stream.write_all(&event("left", "job", "")).expect("the kernel takes it");
    drop(stream);
    forwarder.signal("-CONT");
    forwarder.take("stays", "job", "");
    assert_eq!(next(&calls).id(), "stays");
}

/// Guards drains and waits: after a stall the sockets are full of news, and a call may go before they are read.
#[rstest]
fn after_a_stall_all_news_are_heard_before_anything_is_sent() {
    let (old, old_calls) = stand_in();
    let (new, new_calls) = stand_in();
    let (discovery, watches, _notices) = discovery(0);
    let forwarder = Forwarder::start(&config(discovery, old));
    let watch = next(&watches);
    forwarder.take("a", "job", "");
    next(&old_calls).answer(ERROR);
    // Its pause of half a second and the watch's answer both end in the stall.
    forwarder.take("b", "job", "");
    next(&old_calls).answer(OK);
    forwarder.stop();
    watch.answer(&page(&[member("t", old, "draining"), member("u", new, "up")]));
    thread::sleep(Duration::from_millis(1000));
    forwarder.signal("-CONT");
    assert_eq!(next(&new_calls).id(), "a");
    assert!(old_calls.try_recv().is_err());
}

#[rstest]
fn an_event_for_a_destination_that_nobody_lists_is_not_taken_on() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    let stray = String::from_utf8(event("a", "job", "")).unwrap().replace("dest=1", "dest=70000");
    assert_eq!(forwarder.ask(stray.as_bytes()).0, 503);
    forwarder.take("b", "job", "");
    assert_eq!(next(&calls).id(), "b");
}

#[rstest]
fn what_does_not_fit_is_refused_with_a_time_to_come_back() {
    let (forwarder, calls, _notices, _) =
        all(0, |config| config["settings"]["allowed"]["maxOpen"] = json!(2));
    forwarder.take("a", "charge", "Cookie: about=5\r\n");
    let out = next(&calls);
    let (status, head) = (0..3)
        .map(|number| forwarder.ask(&event(&format!("b{number}"), "charge", "Cookie: about=5\r\n")))
        .find(|(status, _)| *status != 202)
        .expect("room for two");
    assert_eq!(status, 503);
    assert!(head.contains("Retry-After: 2.000\r\n"), "{head}");
    out.answer(OK);
}

/// Guards the memory: an event held for long holds no buffer, which others need to be read at all.
#[rstest]
fn short_events_are_held_while_there_is_room_however_small_the_memory() {
    let (forwarder, calls, _notices, _) = all(0, |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["settings"]["allowed"]["maxOpen"] = json!(300);
    });
    (0..200).for_each(|number| forwarder.take(&format!("e{number}"), "job", ""));
    assert_eq!(next(&calls).body, b"body");
}

/// Guards the others from connections that say nothing, or half of something, in any number: they make room
/// at once, and are closed before anyone else is turned away.
#[rstest]
#[case("")]
#[case("POST /job HTTP/1.1\r\n")]
fn connections_that_ask_for_nothing_make_room(#[case] said: &str) {
    let (forwarder, calls, _notices, _) = all(0, |config| config["limits"]["sockets"] = json!(64));
    let mut idle: Vec<_> =
        (0..100).map(|_| TcpStream::connect(forwarder.address).expect("listens")).collect();
    idle.iter_mut().for_each(|stream| drop(stream.write_all(said.as_bytes())));
    forwarder.take("a", "job", "");
    assert_eq!(next(&calls).id(), "a");
    for mut stream in idle {
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        while !matches!(stream.read(&mut [0; 256]), Ok(0) | Err(_)) {}
    }
}

/// Met in incident rd2f32b: of a crowd each asks once and stays; who asks again and again is served on.
#[rstest]
fn a_crowd_that_asks_once_and_stays_makes_room_before_a_regular() {
    let (forwarder, calls, _notices, _) = all(0, |config| config["limits"]["sockets"] = json!(64));
    let up = |stream: &mut TcpStream| {
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").expect("takes it");
        assert_eq!(answer(stream).0, 200);
    };
    let mut regular = TcpStream::connect(forwarder.address).expect("listens");
    (0..2).for_each(|_| up(&mut regular));
    let mut crowd = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(forwarder.address).expect("listens");
        up(&mut stream);
        crowd.push(stream);
    }
    regular.write_all(&event("a", "job", "")).expect("takes it");
    assert_eq!(answer(&mut regular).0, 202);
    assert_eq!(next(&calls).id(), "a");
}

/// Guards the others while hundreds connect at once: nobody waits for a second try of the kernel's.
/// Met on a day with a crowd: connections that asked once and stayed took all that clients may open.
#[rstest]
fn where_many_are_open_one_that_asked_once_is_closed_long_before_a_regular() {
    let (forwarder, _calls, _notices, _) = all(0, |_| ());
    let up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let asked = |times: usize| {
        let mut stream = TcpStream::connect(forwarder.address).expect("listens");
        for _ in 0..times {
            stream.write_all(up).expect("takes it");
            assert_eq!(answer(&mut stream).0, 200);
        }
        stream
    };
    let crowd: Vec<_> = (0..60).map(|_| asked(1)).collect();
    let regular = asked(2);
    let mut last = crowd.into_iter().next_back().expect("came");
    last.set_read_timeout(Some(LONG)).expect("a socket");
    assert_eq!(last.read(&mut [0]).expect("an end"), 0);
    regular.set_nonblocking(true).expect("a socket");
    let open = regular.peek(&mut [0]).expect_err("nothing has come, nor an end");
    assert_eq!(open.kind(), std::io::ErrorKind::WouldBlock);
}

#[rstest]
fn hundreds_may_connect_while_it_stands_still() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    forwarder.stop();
    let connect = |_| TcpStream::connect_timeout(&forwarder.address, Duration::from_secs(20));
    let many: Vec<_> = (0..300).map(connect).collect::<Result<_, _>>().expect("all find a place");
    forwarder.signal("-CONT");
    drop(many);
    forwarder.take("a", "job", "");
    assert_eq!(next(&calls).id(), "a");
}

/// Guards a client's event from another that uses its id: neither leaving takes it back, nor is it sent twice.
#[rstest]
fn an_id_that_another_uses_too_is_taken_once_and_stays_its_owners() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    forwarder.take("a", "charge", "");
    let out = next(&calls);
    assert_eq!(forwarder.ask(&event("a", "charge", "")).0, 503);
    forwarder.stop();
    let mut thief = TcpStream::connect(forwarder.address).expect("the kernel takes it");
    thief.write_all(&event("a", "charge", "")).expect("the kernel takes it");
    drop(thief);
    forwarder.signal("-CONT");
    out.answer(OK);
    forwarder.take("b", "charge", "");
    assert_eq!(next(&calls).id(), "b", "a is over");
    assert_eq!(forwarder.ask(&event("a", "charge", "")).0, 503);
    forwarder.take("c", "charge", "");
    assert_eq!(next(&calls).id(), "c", "a does not run again");
}

#[rstest]
fn asked_to_end_it_closes_idle_connections_answers_what_comes_and_ends() {
    let (mut forwarder, calls, _notices, _) = all(0, |_| ());
    let mut idle = TcpStream::connect(forwarder.address).expect("listens");
    forwarder.take("a", "job", "");
    forwarder.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).expect("closed in order"), 0);
    let late = forwarder.ask(&event("b", "job", ""));
    assert!(late.0 == 503 && late.1.contains("Connection: close\r\n"), "{late:?}");
    next(&calls).answer(OK);
    assert!(forwarder.child.wait().expect("ends").success());
    assert!(calls.try_recv().is_err());
}

#[rstest]
#[case("/listen", json!("nowhere"), "listen: \"nowhere\" is not an address")]
#[case("/settings/familyInfo/slots", Value::Null, "settings.familyInfo.slots: is missing")]
fn a_bad_configuration_ends_it_with_one_plain_line(
    #[case] at: &str,
    #[case] value: Value,
    #[case] said: &str,
) {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut config = config(nobody, nobody);
    *config.pointer_mut(at).expect("stands there") = value;
    let file = format!("plankhill-bad-{}{}.json", std::process::id(), at.replace('/', "-"));
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, config.to_string()).expect("written");
    let told = refused_start(&path, "/tmp".as_ref());
    std::fs::remove_file(&path).expect("written above");
    assert!(told.contains(said), "{told}");
}

/// At rest a target has no actor; the wait only makes sure of that, the verdict does not hang on it.
#[rstest]
fn a_target_that_came_to_rest_is_called_again() {
    let (forwarder, calls, _notices, _) = all(0, |_| ());
    for id in ["a", "b"] {
        forwarder.take(id, "job", "");
        let call = next(&calls);
        assert_eq!(call.id(), id);
        call.answer(&format!("{OK}{BREAK}"));
        thread::sleep(Duration::from_millis(3500));
    }
}

/// Met before service: ten thousand idle targets took 270 MB, since each had an actor and its mailbox.
#[rstest]
#[case::few_slots(4)]
#[case::many_slots(1024)]
fn ten_thousand_destinations_at_rest_take_little_at_any_number_of_slots(#[case] slots: usize) {
    let (forwarder, calls, _notices, _) = all(0, |config| {
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let members = config.pointer_mut("/known/members").and_then(Value::as_array_mut).expect("a list");
        members.extend((2..10_002).map(|cell| {
            let mut entry = member(&format!("t{cell}"), nobody, "up");
            entry["cell"] = json!(cell);
            entry
        }));
        config["settings"]["familyInfo"]["slots"] = json!(slots);
    });
    forwarder.take("a", "job", "");
    next(&calls).answer(OK);
    let status = std::fs::read_to_string(format!("/proc/{}/status", forwarder.child.id())).expect("runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("is told");
    let kilobytes: u64 = resident.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(kilobytes < 50_000, "{kilobytes} kB for 10,000 destinations");
}
