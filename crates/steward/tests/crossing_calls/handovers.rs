//! Proxies that move from one steward to another and back, beside calls that bind them and answers to marks.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;

use crate::stand_in::{orders, take, Peer, Relay, RelayWatch};
use crate::{binds, bound, marks, place_of_bind, scene, scene_with, take_only, turn_back, Scene};

/// In so long a gap between two watches a proxy may have left and come back unseen.
const MISSED: Duration = Duration::from_millis(300);

fn joins(proxy: u16, fresh: bool) -> String {
    let object = json!({"proxy": proxy, "zone": "east", "weight": 20.0, "fresh": fresh});
    json!({"type": "SUBSCRIBE", "object": object}).to_string()
}

fn leaves(proxy: u16) -> String {
    json!({"type": "CLOSED", "object": {"proxy": proxy}}).to_string()
}

/// The relay of proxies that are elsewhere: refuses each order that binds proxy 0, takes the others, until another proxy
/// that joins now is bound. Gives how often the bind was offered.
fn refuse_until_bound(scene: &Scene, other: u16) -> usize {
    scene.watch.joined(other, "east", true);
    let mut offered = 0;
    loop {
        let call = scene.relay.call();
        let all = orders(&call);
        match all.iter().position(binds(0)) {
            Some(place) => {
                offered += 1;
                take_only(call, place);
            }
            None => drop(take(call)),
        }
        if bound(&all).contains(&other) && !bound(&all).contains(&0) {
            return offered;
        }
    }
}

/// Proxy 0 is bound by nothing until it joins again; then it is.
fn is_bound_only_once_it_joins(scene: &Scene) {
    assert_eq!(bound(&scene.orders_until_bound(1)), [1], "one that left was bound");
    scene.watch.joined(0, "east", true);
    take(scene.relay.call_with(binds(0)));
}

/// Guards against binding one that left: it binds elsewhere while the answer to our bind is lost, and the repeat is
/// refused.
#[test]
fn a_proxy_that_left_while_its_bind_was_unsure_is_not_bound_anew() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let place = place_of_bind(&sent, 0);
    first.connection.reset();
    scene.watch.left(0);
    scene.daemon.counter_reaches("left", 1);
    take_only(scene.call_beginning_with(&sent), place);
    take_only(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    is_bound_only_once_it_joins(&scene);
}

/// Guards against the same where the bind waits before a relay that is busy.
#[test]
fn a_proxy_that_left_while_its_bind_was_turned_back_is_not_bound_anew() {
    let scene = scene();
    let mut call = scene.first_call();
    let sent = orders(&call);
    let place = place_of_bind(&sent, 0);
    scene.watch.left(0);
    turn_back(call, "BUSY");
    while scene.daemon.counter("left") == 0 {
        turn_back(scene.call_beginning_with(&sent), "BUSY");
    }
    call = scene.call_beginning_with(&sent);
    take_only(call, place);
    take_only(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    is_bound_only_once_it_joins(&scene);
}

/// Guards against binding one that left for good where the refusals come first: until the news tells it may be bound
/// anew, afterwards no more than what was in the channel already.
#[test]
fn a_proxy_whose_leaving_is_told_behind_the_refusals_is_not_bound_for_ever() {
    let scene = scene();
    let first = scene.first_call();
    let sent = orders(&first);
    let place = place_of_bind(&sent, 0);
    take_only(first, place);
    take_only(scene.call_beginning_with(&sent[place..]), 0);
    take(scene.call_beginning_with(&sent[place + 1..]));
    scene.daemon.counter_reaches("orders_skipped", 1);
    scene.watch.left(0);
    scene.daemon.counter_reaches("left", 1);
    // Each bind in the channel is offered twice; the one after the refusals may be there already.
    assert!(refuse_until_bound(&scene, 2) <= 2);
    is_bound_only_once_it_joins(&scene);
}

/// A proxy joins a second time, and its leaving was never told.
fn is_bound_again(fresh: bool) {
    let scene = scene();
    let first = scene.first_call();
    let before = marks(&orders(&first));
    take(first);
    scene.watch.joined(0, "east", fresh);
    let again = scene.relay.call_with(binds(0));
    assert!(marks(&orders(&again)).iter().all(|mark| !before.contains(mark)));
    take(again);
    // Once for each time that it joined.
    assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
}

/// Guards against one that holds no table being taken for one that stayed.
#[test]
fn a_proxy_that_came_back_without_a_table_unseen_is_bound_again() {
    is_bound_again(true);
}

/// Guards against one that holds another steward's tables being taken for one that stayed.
#[test]
fn a_proxy_that_came_back_with_the_tables_of_another_unseen_is_bound_again() {
    is_bound_again(false);
}

/// Guards against the same while the bind of its first joining is unsure: that one is repeated, and the second
/// joining's stands behind it.
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

/// Proxy 0 is bound, the watch breaks and stands again, at once or when nobody has listened for so long; what stands says
/// proxy 0, then proxy 1 joins. Gives the proxies that were bound behind the gap.
fn bound_behind_a_gap(gap: Option<Duration>, fresh: bool) -> Vec<u16> {
    let Scene { mut relay, daemon, watch } = scene();
    watch.joined(0, "east", true);
    let mut kept = take(relay.call_with(binds(0)));
    kept.finish();
    relay.peer.closed(kept.number);
    let at = relay.address();
    if gap.is_some() {
        relay.peer.refuse();
    }
    // The gap counts from when the watch was heard last.
    watch.say("{}");
    watch.reset();
    if let Some(gap) = gap {
        daemon.says("the news broke off");
        std::thread::sleep(gap);
        relay = Relay { peer: Peer::on(TcpListener::bind(at).expect("its address")) };
    }
    let mut connection = relay.peer.request("GET /watch").connection;
    connection.begin_chunked();
    // All that stands and a sign of life behind it; only then further signs and news.
    connection.write(chunk(&[joins(0, fresh), "{}".into(), joins(1, true)]).as_bytes());
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

/// Lines that come at once.
fn chunk(lines: &[String]) -> String {
    let text = lines.join("\n") + "\n";
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against all proxies being bound anew, a burst at the channel, where a watch broke for a moment.
#[test]
fn a_proxy_that_goes_on_over_a_short_gap_is_not_bound_again() {
    assert_eq!(bound_behind_a_gap(None, false), [1]);
}

/// Guards against one that holds no table being taken for one that stayed.
#[test]
fn a_proxy_without_a_table_behind_a_short_gap_is_bound_again() {
    assert_eq!(bound_behind_a_gap(None, true), [0, 1]);
}

/// Guards against a proxy that left, had the tables of another steward and came back between two watches: taken for one
/// that stayed it would be steered by nobody.
#[test]
fn a_proxy_behind_a_long_gap_is_bound_again() {
    assert_eq!(bound_behind_a_gap(Some(MISSED + MISSED / 4), false), [0, 1]);
}

/// Guards against the same for one that holds no table.
#[test]
fn a_proxy_without_a_table_behind_a_long_gap_is_bound_again() {
    assert_eq!(bound_behind_a_gap(Some(MISSED + MISSED / 4), true), [0, 1]);
}

/// A steward of two, and its side of the relay.
fn one_of_two(name: &str) -> Scene {
    scene_with(|configuration| configuration.with("/name", json!(name)).with("/settings/balancers", json!(2)))
}

/// Guards against two stewards that go on binding one proxy in turn: both held it for a moment, and the one that lost it
/// binds it no more, whatever else it has to bind; the other's binds go on.
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
    is_bound_only_once_it_joins(&former);
}

/// Guards against the same where its leaving is told before it has joined the other.
#[test]
fn a_proxy_that_is_told_to_have_left_before_it_joins_another_is_bound_by_that_one_alone() {
    let (former, next) = (one_of_two("former"), one_of_two("next"));
    take(former.first_call());
    former.watch.left(0);
    former.daemon.counter_reaches("left", 1);
    take(next.first_call());
    is_bound_only_once_it_joins(&former);
}

/// Proxies 0 and 1 are bound by one call, of which nobody tells how far it came, where the channel has room for three binds
/// and not for four; gives the mark of that call.
fn two_bound_and_room_for_one() -> (Scene, u64) {
    let scene = scene_with(|configuration| configuration.with("/settings/familyInfo/backlog", json!(45.0)));
    scene.watch.write(chunk(&[joins(0, true), joins(1, true)]).as_bytes());
    let first = scene.relay.call_with(binds(0));
    assert_eq!(bound(&orders(&first)), [0, 1]);
    let mark = marks(&orders(&first))[0];
    take(first);
    (scene, mark)
}

/// Guards against an answer to a mark of a proxy's former joining counting for what waits for its new one: the channel
/// would be given more than it has room for.
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

/// Guards against an answer that comes between a proxy's leaving and its return being taken for one of the new joining, or
/// standing in the way of its bind.
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

/// Guards against news of one that never joined being counted, or standing in the way of its joining.
#[test]
fn the_leaving_of_a_proxy_that_never_joined_holds_no_bind_up() {
    let scene = scene();
    scene.watch.left(0);
    assert_eq!(bound(&scene.orders_until_bound(1)), [1]);
    assert_eq!(scene.daemon.counter("left"), 0);
    take(scene.first_call());
}

/// Proxy 0, which is bound already or not, is told of by these lines at once, then proxy 1 joins; gives the proxies that
/// are bound from then on.
fn bound_behind(lines: &[String], before: bool) -> Vec<u16> {
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
    assert_eq!(bound_behind(&[joins(0, true), leaves(0)], false), [1]);
    assert_eq!(bound_behind(&[joins(0, true), leaves(0)], true), [1]);
}

/// Guards against a proxy that left and came back between two decisions being taken for one that stayed, or for one that
/// is gone.
#[test]
fn a_proxy_that_leaves_and_joins_at_once_is_bound_again() {
    assert_eq!(bound_behind(&[leaves(0), joins(0, true)], true), [0, 1]);
    assert_eq!(bound_behind(&[leaves(0), joins(0, false)], true), [0, 1]);
    assert_eq!(bound_behind(&[joins(0, true), leaves(0), joins(0, true)], false), [0, 1]);
}
