//! Proxies that move from one controller to another and back, while calls that bind them and
//! acknowledgements of marks are in progress.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;

use crate::stand_in::{orders, take, Peer, Relay, RelayWatch};
use crate::{answer_taken_count, binds, bound, marks, place_of_bind, reject_call, scene, scene_with, Scene};

/// Within a gap of this length between two watches a proxy may leave and come back unobserved.
const MISSED_GAP: Duration = Duration::from_millis(300);

fn joined_line(proxy: u16, fresh: bool) -> String {
    let object = json!({"proxy": proxy, "zone": "east", "weight": 20.0, "fresh": fresh});
    json!({"type": "SUBSCRIBE", "object": object}).to_string()
}

fn left_line(proxy: u16) -> String {
    json!({"type": "CLOSED", "object": {"proxy": proxy}}).to_string()
}

/// Acts as a relay whose proxy 0 is connected elsewhere: refuses each order that binds proxy 0 and accepts
/// the others, until another proxy that joins now is bound. Returns how often the bind of proxy 0 was sent.
fn refuse_until_bound(scene: &Scene, other: u16) -> usize {
    scene.watch.joined(other, "east", true);
    let mut offered = 0;
    loop {
        let call = scene.relay.call();
        let all = orders(&call);
        match all.iter().position(binds(0)) {
            Some(place) => {
                offered += 1;
                answer_taken_count(call, place);
            }
            None => drop(take(call)),
        }
        if bound(&all).contains(&other) && !bound(&all).contains(&0) {
            return offered;
        }
    }
}

/// Checks that proxy 0 is bound only after it joins again.
fn assert_bound_only_after_joining(scene: &Scene) {
    assert_eq!(bound(&scene.orders_until_bound(1)), [1], "one that left was bound");
    scene.watch.joined(0, "east", true);
    take(scene.relay.call_with(binds(0)));
}

/// Guards against binding a proxy that left: it binds elsewhere while the answer to this controller's bind
/// is lost, and the repeated bind is refused.
#[test]
fn a_proxy_that_left_while_its_bind_was_unsure_is_not_bound_anew() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let place = place_of_bind(&sent, 0);
    first.connection.reset();
    scene.watch.left(0);
    scene.daemon.counter_reaches("left", 1);
    answer_taken_count(scene.call_beginning_with(&sent), place);
    answer_taken_count(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    assert_bound_only_after_joining(&scene);
}

/// Guards against the same where the bind waits for a relay that is busy.
#[test]
fn a_proxy_that_left_while_its_bind_was_turned_back_is_not_bound_anew() {
    let scene = scene();
    let mut call = scene.first_call();
    let sent = orders(&call);
    let place = place_of_bind(&sent, 0);
    scene.watch.left(0);
    reject_call(call, "BUSY");
    while scene.daemon.counter("left") == 0 {
        reject_call(scene.call_beginning_with(&sent), "BUSY");
    }
    call = scene.call_beginning_with(&sent);
    answer_taken_count(call, place);
    answer_taken_count(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    assert_bound_only_after_joining(&scene);
}

/// Guards against endless binds of a proxy that left, where the refusals arrive before the watch reports
/// its leaving. Until the report it may be bound again; afterwards only binds that were in the channel
/// already are sent.
#[test]
fn a_proxy_whose_leaving_is_told_behind_the_refusals_is_not_bound_for_ever() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let place = place_of_bind(&sent, 0);
    answer_taken_count(first, place);
    answer_taken_count(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    scene.daemon.counter_reaches("orders_skipped", 1);
    scene.watch.left(0);
    scene.daemon.counter_reaches("left", 1);
    // Each bind in the channel is sent twice; the one after the refusals may be in the channel already.
    assert!(refuse_until_bound(&scene, 2) <= 2);
    assert_bound_only_after_joining(&scene);
}

/// A proxy joins a second time although its leaving was never reported.
fn assert_bound_again(fresh: bool) {
    let scene = scene();
    let first = scene.first_call();
    let before = marks(&orders(&first));
    take(first);
    scene.watch.joined(0, "east", fresh);
    let again = scene.relay.call_with(binds(0));
    assert!(marks(&orders(&again)).iter().all(|mark| !before.contains(mark)));
    take(again);
    // It is bound once for each time that it joined.
    assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
}

/// Guards against taking a proxy that has no table for one that stayed connected.
#[test]
fn a_proxy_that_came_back_without_a_table_unseen_is_bound_again() {
    assert_bound_again(true);
}

/// Guards against taking a proxy that has another controller's tables for one that stayed connected.
#[test]
fn a_proxy_that_came_back_with_the_tables_of_another_unseen_is_bound_again() {
    assert_bound_again(false);
}

/// Guards against the same while the result of the first bind is unknown: that bind is repeated, and the
/// bind for the second joining follows it.
#[test]
fn a_proxy_that_came_back_beside_an_unsure_bind_is_bound_behind_it() {
    let scene = scene();
    let mut call = scene.first_call();
    scene.watch.joined(0, "east", true);
    scene.daemon.counter_reaches("joined", 2);
    for _ in 0..12 {
        let sent = orders(&call);
        if bound(&sent) == [0, 0] {
            take(call);
            assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
            return;
        }
        assert_eq!(bound(&sent), [0]);
        call.connection.reset();
        call = scene.call_beginning_with(&sent);
    }
    panic!("the bind of the second joining never came");
}

/// Binds proxy 0, breaks the watch and opens it again, immediately or after the relay refused connections
/// for that long. The new watch lists proxy 0 as connected, then proxy 1 joins. Returns the proxies that
/// were bound after the gap.
fn bound_after_gap(gap: Option<Duration>, fresh: bool) -> Vec<u16> {
    let Scene { mut relay, daemon, watch } = scene();
    watch.joined(0, "east", true);
    let mut kept = take(relay.call_with(binds(0)));
    kept.half_close();
    relay.peer.closed(kept.number);
    let at = relay.address();
    if gap.is_some() {
        relay.peer.refuse();
    }
    // The gap counts from the last line that was received on the watch.
    watch.send_line("{}");
    watch.reset();
    if let Some(gap) = gap {
        daemon.wait_for_log("the news broke off");
        std::thread::sleep(gap);
        relay = Relay { peer: Peer::from_listener(TcpListener::bind(at).expect("its address")) };
    }
    let mut connection = relay.peer.request("GET /watch").connection;
    connection.begin_chunked();
    // The initial state and a keepalive after it; further keepalives and events only then.
    connection.write(chunk(&[joined_line(0, fresh), "{}".into(), joined_line(1, true)]).as_bytes());
    let _watch = RelayWatch::new(connection);
    let mut proxies = Vec::new();
    while !proxies.contains(&1) {
        let call = relay.call();
        proxies.extend(bound(&orders(&call)));
        take(call);
    }
    proxies.sort_unstable();
    proxies
}

/// Lines in one chunk.
fn chunk(lines: &[String]) -> String {
    let text = lines.join("\n") + "\n";
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against binding all proxies again, which loads the channel, after a watch broke for a moment.
#[test]
fn a_proxy_that_goes_on_over_a_short_gap_is_not_bound_again() {
    assert_eq!(bound_after_gap(None, false), [1]);
}

/// Guards against one that holds no table being taken for one that stayed.
#[test]
fn a_proxy_without_a_table_behind_a_short_gap_is_bound_again() {
    assert_eq!(bound_after_gap(None, true), [0, 1]);
}

/// Guards against a proxy that left, received the tables of another controller and came back between two
/// watches: if it were taken for one that stayed, no controller would control it.
#[test]
fn a_proxy_behind_a_long_gap_is_bound_again() {
    assert_eq!(bound_after_gap(Some(MISSED_GAP + MISSED_GAP / 4), false), [0, 1]);
}

/// Guards against the same for a proxy that has no table.
#[test]
fn a_proxy_without_a_table_behind_a_long_gap_is_bound_again() {
    assert_eq!(bound_after_gap(Some(MISSED_GAP + MISSED_GAP / 4), true), [0, 1]);
}

/// One of two controllers, with its own relay stand-in.
fn one_of_two(name: &str) -> Scene {
    scene_with(|configuration| configuration.with("/name", json!(name)).with("/settings/balancers", json!(2)))
}

/// Guards against two controllers that bind one proxy in turn: both had it for a moment, and the one that
/// lost it does not bind it again, whatever else it has to bind, while the other's binds continue.
#[test]
fn a_proxy_that_two_stewards_held_is_not_bound_by_the_one_that_lost_it() {
    let (former, next) = (one_of_two("former"), one_of_two("next"));
    take(former.first_call());
    take(next.first_call());
    former.watch.left(0);
    former.daemon.counter_reaches("left", 1);
    assert_eq!(bound(&next.orders_until_bound(1)), [1]);
    next.watch.joined(0, "east", true);
    take(next.relay.call_with(binds(0)));
    assert_bound_only_after_joining(&former);
}

/// Guards against the same where its leaving is reported before it joins the other controller.
#[test]
fn a_proxy_that_is_told_to_have_left_before_it_joins_another_is_bound_by_that_one_alone() {
    let (former, next) = (one_of_two("former"), one_of_two("next"));
    take(former.first_call());
    former.watch.left(0);
    former.daemon.counter_reaches("left", 1);
    take(next.first_call());
    assert_bound_only_after_joining(&former);
}

/// One call binds proxies 0 and 1, and no acknowledgement arrives; the channel has room for three binds and
/// not for four. Returns the mark of that call.
fn two_bound_and_room_for_one() -> (Scene, u64) {
    let scene = scene_with(|configuration| configuration.with("/settings/familyInfo/backlog", json!(45.0)));
    scene.watch.write(chunk(&[joined_line(0, true), joined_line(1, true)]).as_bytes());
    let first = scene.relay.call_with(binds(0));
    assert_eq!(bound(&orders(&first)), [0, 1]);
    let mark = marks(&orders(&first))[0];
    take(first);
    (scene, mark)
}

/// Guards against an acknowledgement for a proxy's former connection that counts for what is pending on its
/// new one: the channel would receive more than it has room for.
#[test]
fn an_answer_to_an_old_mark_behind_a_return_frees_no_room() {
    let (scene, old) = two_bound_and_room_for_one();
    scene.watch.left(0);
    scene.watch.joined(0, "east", true);
    let again = scene.relay.call_with(binds(0));
    let new = marks(&orders(&again))[0];
    take(again);
    scene.watch.applied(0, old);
    scene.daemon.counter_reaches("applied", 1);
    scene.watch.joined(2, "east", true);
    scene.daemon.counter_reaches("joined", 4);
    let (replies, timers) = (scene.daemon.counter("replies"), scene.daemon.counter("timers"));
    scene.daemon.counter_reaches("timers", timers + 3);
    assert_eq!(scene.daemon.counter("replies"), replies, "there is no room before the new bind is answered");
    scene.watch.applied(0, new);
    take(scene.relay.call_with(binds(2)));
}

/// Guards against an acknowledgement that arrives between a proxy's leaving and its return being counted
/// for the new connection, or blocking its bind.
#[test]
fn an_answer_to_an_old_mark_before_the_return_holds_no_bind_up() {
    let (scene, old) = two_bound_and_room_for_one();
    scene.watch.left(0);
    scene.watch.applied(0, old);
    scene.watch.joined(0, "east", true);
    let again = scene.relay.call_with(binds(0));
    assert_ne!(marks(&orders(&again)), [old]);
    take(again);
    assert_eq!(scene.daemon.counter("applied"), 0);
    assert_eq!(scene.daemon.counter("news_skipped"), 1);
}

/// Guards against the leaving of a proxy that never joined being counted, or blocking its joining.
#[test]
fn the_leaving_of_a_proxy_that_never_joined_holds_no_bind_up() {
    let scene = scene();
    scene.watch.left(0);
    assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
    assert_eq!(scene.daemon.counter("left"), 0);
    take(scene.first_call());
}

/// Sends these lines of the watch at once, where proxy 0 is bound before or not, then lets proxy 1 join;
/// returns the proxies that are bound from then on.
fn bound_after(lines: &[String], before: bool) -> Vec<u16> {
    let scene = scene();
    if before {
        take(scene.first_call());
    }
    scene.watch.write(chunk(lines).as_bytes());
    let mut proxies = bound(&scene.orders_until_bound(1));
    proxies.sort_unstable();
    proxies
}

/// Guards against binding a proxy that joined and left between two decisions.
#[test]
fn a_proxy_that_joins_and_leaves_at_once_is_not_bound() {
    assert_eq!(bound_after(&[joined_line(0, true), left_line(0)], false), [1]);
    assert_eq!(bound_after(&[joined_line(0, true), left_line(0)], true), [1]);
}

/// Guards against taking a proxy that left and came back between two decisions for one that stayed, or for
/// one that is gone.
#[test]
fn a_proxy_that_leaves_and_joins_at_once_is_bound_again() {
    assert_eq!(bound_after(&[left_line(0), joined_line(0, true)], true), [0, 1]);
    assert_eq!(bound_after(&[left_line(0), joined_line(0, false)], true), [0, 1]);
    assert_eq!(bound_after(&[joined_line(0, true), left_line(0), joined_line(0, true)], false), [0, 1]);
}
