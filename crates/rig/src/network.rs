//! The emulated network between controllers, with one link for each ordered pair. A link carries bytes, holds them back,
//! delays them, or resets its connections. What `from` sends to `to` passes the link (from, to) on every connection,
//! whichever side opened it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::address::Block;
use crate::Fault;

/// Current state of the links.
#[derive(Clone, Default)]
struct LinkStates {
    /// Links that hold back bytes and new connections, without any error at either end.
    held: BTreeSet<(usize, usize)>,
    /// Upper bound of the delay of a link. Each connection draws its own, so messages on different connections can be
    /// reordered.
    delay: BTreeMap<(usize, usize), Duration>,
    /// Raising a pair's count resets its connections.
    resets: BTreeMap<(usize, usize), u64>,
}

/// The point in the transfer of a message at which a trap acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Before the message is sent; the message is lost.
    BeforeSent,
    AfterSent,
    AfterHeard,
}

struct Trap {
    of: usize,
    point: Point,
    message: MessageKind,
    /// Number of matching messages that pass before the trap acts.
    left: u32,
    action: Box<dyn FnOnce()>,
}

/// Invalid input from a connection that pretends to be a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadInput {
    /// A replay of the first bytes that the real peer sent.
    Old,
    OtherFleet,
    /// Messages of the right length with corrupted fields.
    Spoilt,
    /// Messages whose length prefix exceeds any allowed size.
    Huge,
    /// Random bytes.
    Noise,
}

impl BadInput {
    pub const ALL: [BadInput; 5] =
        [BadInput::Old, BadInput::OtherFleet, BadInput::Spoilt, BadInput::Huge, BadInput::Noise];
}

/// The HTTP/2 preface with which a connection between members begins, and how many bytes of its start are recorded for
/// later replay.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const MAX_RECORDED: usize = 48 * 1_024;

pub struct Network {
    /// The first bytes sent over each link by the side that opened the connection.
    recorded: RefCell<BTreeMap<(usize, usize), Vec<u8>>>,
    fleets: Vec<SocketAddr>,
    links: watch::Sender<LinkStates>,
    trap: RefCell<Option<Trap>>,
    chance: RefCell<ChaCha8Rng>,
    count: usize,
}

/// Kinds of messages between members, with their field numbers in the envelope of `fleet.proto`. The names of the values
/// are written into histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    AskVote = 5,
    Vote = 6,
    Append = 7,
    Appended = 8,
    AskLease = 10,
    Lease = 11,
    Wish = 15,
    Answer = 16,
}

impl MessageKind {
    /// Messages of a change that does not involve an election.
    pub const DURING_CHANGE: [MessageKind; 6] = [
        MessageKind::Append,
        MessageKind::Appended,
        MessageKind::AskLease,
        MessageKind::Lease,
        MessageKind::Wish,
        MessageKind::Answer,
    ];
}

/// Field numbers of the messages in these bytes, from each HTTP/2 DATA frame that begins in them. A message whose beginning
/// is not in the bytes is not found.
fn message_fields(bytes: &[u8]) -> Vec<u64> {
    let mut rest = bytes.strip_prefix(HTTP2_PREFACE).unwrap_or(bytes);
    let mut found = Vec::new();
    while let [a, b, c, kind, _, _, _, _, _, after @ ..] = rest {
        let length = usize::from(*a) << 16 | usize::from(*b) << 8 | usize::from(*c);
        let whole = after.get(..length).unwrap_or(after);
        if *kind == 0 {
            // gRPC prefix: one byte 0 (uncompressed) and four bytes of message length.
            let mut messages = whole;
            while let [0, l1, l2, l3, l4, more @ ..] = messages {
                let length = u32::from_be_bytes([*l1, *l2, *l3, *l4]) as usize;
                found.extend(last_field(more.get(..length).unwrap_or(more)));
                messages = more.get(length..).unwrap_or(&[]);
            }
        }
        rest = after.get(length..).unwrap_or(&[]);
    }
    found
}

/// The highest field number: the envelope's own fields have lower numbers than its content.
fn last_field(mut message: &[u8]) -> Option<u64> {
    let mut most = None;
    while let Some((tag, rest)) = varint(message) {
        most = most.max(Some(tag >> 3));
        message = match tag & 7 {
            0 => varint(rest)?.1,
            1 => rest.get(8..)?,
            2 => {
                let (length, rest) = varint(rest)?;
                rest.get(length as usize..).unwrap_or(&[])
            }
            5 => rest.get(4..)?,
            _ => return most,
        };
    }
    most
}

fn varint(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let end = bytes.iter().take(10).position(|byte| byte & 0x80 == 0)?;
    let value = bytes[..=end].iter().rev().fold(0u64, |sum, byte| sum << 7 | u64::from(byte & 0x7f));
    Some((value, &bytes[end + 1..]))
}

impl Network {
    /// # Errors
    /// Fails if it can't listen on an address.
    pub async fn start(block: &Block, count: usize, seed: u64) -> Result<Rc<Network>, Fault> {
        let network = Rc::new(Network {
            recorded: RefCell::default(),
            fleets: (0..count).map(|one| block.fleet(one)).collect(),
            links: watch::Sender::new(LinkStates::default()),
            trap: RefCell::new(None),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            count,
        });
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let listener = TcpListener::bind(block.link(from, to)).await;
                let listener = listener.map_err(|why| Fault::Io("an emulated link", why))?;
                spawn_local(network.clone().link(listener, (from, to), block.fleet(to)));
            }
        }
        Ok(network)
    }

    pub fn hold(&self, links: impl IntoIterator<Item = (usize, usize)>) {
        self.links.send_modify(|now| now.held.extend(links));
    }

    /// Partitions the set from the other controllers.
    pub fn isolate(&self, set: &[usize]) {
        let inside = |one: usize| set.contains(&one);
        let all = (0..self.count).flat_map(|a| (0..self.count).map(move |b| (a, b)));
        self.hold(all.filter(|(a, b)| inside(*a) != inside(*b)));
    }

    pub fn delay(&self, most: Duration) {
        let all = (0..self.count).flat_map(|a| (0..self.count).map(move |b| (a, b)));
        self.links.send_modify(|now| now.delay.extend(all.map(|link| (link, most))));
    }

    /// Resets all connections between a controller and the others.
    pub fn reset(&self, one: usize) {
        let pairs = (0..self.count).flat_map(|other| [(one, other), (other, one)]);
        self.links.send_modify(|now| pairs.for_each(|pair| *now.resets.entry(pair).or_default() += 1));
    }

    /// Ends all partitions and delays. Connections on held links continue, or are reset as after a machine failure.
    pub fn heal(&self, resets: bool) {
        self.links.send_modify(|now| {
            let held = std::mem::take(&mut now.held);
            now.delay.clear();
            if resets {
                held.into_iter().for_each(|pair| *now.resets.entry(pair).or_default() += 1);
            }
        });
    }

    /// Runs `action` once at a message of the given kind, after `after` such messages have passed.
    pub fn trap(
        &self,
        of: usize,
        point: Point,
        message: MessageKind,
        after: u32,
        action: impl FnOnce() + 'static,
    ) {
        *self.trap.borrow_mut() = Some(Trap { of, point, message, left: after, action: Box::new(action) });
    }

    pub fn untrap(&self) {
        self.trap.take();
    }

    /// Sends invalid input to member `to` on a separate connection, as if it came from member `from`.
    pub async fn send_bad_input(&self, from: usize, to: usize, bad: BadInput) {
        /// Time limit for the member to close the connection; all input has been sent by then.
        const WITHIN: Duration = Duration::from_millis(300);
        let recorded = self.recorded.borrow().get(&(from, to)).cloned().unwrap_or_default();
        let message_fields = corrupted(recorded, bad, &mut self.chance.borrow_mut());
        let exchange = async {
            let mut stream = TcpStream::connect(self.fleets[to]).await?;
            stream.write_all(&message_fields).await?;
            let mut answer = [0; 4_096];
            while stream.read(&mut answer).await? > 0 {}
            Ok::<(), std::io::Error>(())
        };
        let _ = tokio::time::timeout(WITHIN, exchange).await;
    }

    /// Checks the trap for these bytes and runs its action. Returns false if the message is lost.
    fn check_trap(&self, link: (usize, usize), bytes: &[u8], point: Point) -> bool {
        let mut trap = self.trap.borrow_mut();
        let here = trap.as_mut().filter(|trap| {
            let of = if point == Point::AfterHeard { link.1 } else { link.0 };
            trap.point == point && trap.of == of && message_fields(bytes).contains(&(trap.message as u64))
        });
        let Some(here) = here else { return true };
        if here.left > 0 {
            here.left -= 1;
            return true;
        }
        let action = trap.take().map(|trap| trap.action);
        action.into_iter().for_each(|action| action());
        point != Point::BeforeSent
    }

    async fn link(self: Rc<Network>, listener: TcpListener, pair: (usize, usize), to: SocketAddr) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let network = self.clone();
            spawn_local(async move {
                let mut links = network.links.subscribe();
                let resets = |links: &LinkStates| links.resets.get(&pair).copied();
                let before = resets(&links.borrow());
                let _ = stream.set_nodelay(true);
                let back = (pair.1, pair.0);
                let forwarding = async {
                    let open =
                        |links: &LinkStates| !links.held.contains(&pair) && !links.held.contains(&back);
                    let _ = network.links.subscribe().wait_for(open).await;
                    let there = TcpStream::connect(to).await?;
                    there.set_nodelay(true)?;
                    let ((here_reads, here_writes), (there_reads, there_writes)) =
                        (stream.into_split(), there.into_split());
                    let fresh = network.recorded.borrow().get(&pair).is_none_or(Vec::is_empty);
                    if fresh {
                        network.recorded.borrow_mut().insert(pair, Vec::new());
                    }
                    tokio::select! {
                        ended = network.forward(here_reads, there_writes, pair, fresh) => ended,
                        ended = network.forward(there_reads, here_writes, back, false) => ended,
                    }
                };
                tokio::select! {
                    _ = forwarding => {}
                    _ = links.wait_for(|links| resets(links) != before) => {}
                }
                // Dropping both ends with unread data makes the kernel reset the connections.
            });
        }
    }

    async fn forward(
        &self,
        mut reads: OwnedReadHalf,
        mut writes: OwnedWriteHalf,
        link: (usize, usize),
        records: bool,
    ) -> std::io::Result<()> {
        let (to, mut queue) = mpsc::channel::<(Instant, Vec<u8>)>(64);
        let mut own = None;
        let read = async move {
            let mut part = vec![0; 16_384];
            loop {
                let count = reads.read(&mut part).await?;
                if count == 0 {
                    return Ok(());
                }
                let bytes = part[..count].to_vec();
                if let Some(recorded) = self
                    .recorded
                    .borrow_mut()
                    .get_mut(&link)
                    .filter(|recorded| records && recorded.len() < MAX_RECORDED)
                {
                    recorded.extend(&bytes);
                }
                let most = self.links.borrow().delay.get(&link).copied();
                let late = most.map_or(Duration::ZERO, |most| {
                    *own.get_or_insert_with(|| most.mul_f64(self.chance.borrow_mut().random_range(0.1..1.0)))
                });
                if to.send((Instant::now() + late, bytes)).await.is_err() {
                    return Ok(());
                }
            }
        };
        let write = async {
            let mut links = self.links.subscribe();
            while let Some((due, bytes)) = queue.recv().await {
                sleep_until(due).await;
                let _ = links.wait_for(|links| !links.held.contains(&link)).await;
                if !self.check_trap(link, &bytes, Point::BeforeSent) {
                    continue;
                }
                writes.write_all(&bytes).await?;
                self.check_trap(link, &bytes, Point::AfterSent);
                self.check_trap(link, &bytes, Point::AfterHeard);
            }
            Ok(())
        };
        // When one side closes, the bytes that it sent before are still delivered.
        let (read, written) = tokio::join!(read, write);
        read.and(written)
    }
}

/// Returns the recorded bytes with the given corruption.
fn corrupted(mut bytes: Vec<u8>, bad: BadInput, chance: &mut ChaCha8Rng) -> Vec<u8> {
    const PREFIX: usize = 5;
    let mut at = HTTP2_PREFACE.len();
    match bad {
        BadInput::Old => return bytes,
        BadInput::Noise => return (0..2_048).map(|_| chance.random()).collect(),
        _ => {}
    }
    while let Some([a, b, c, kind, ..]) = bytes.get(at..at + 9) {
        let length = usize::from(*a) << 16 | usize::from(*b) << 8 | usize::from(*c);
        let (is_data, from) = (*kind == 0, at + 9);
        at = from + length;
        let Some(data) = bytes.get_mut(from..at).filter(|data| is_data && data.len() > PREFIX) else {
            continue;
        };
        match bad {
            BadInput::Spoilt => data[PREFIX..].fill(0xff),
            // The first field: a tag, a length, and the fleet's name.
            BadInput::OtherFleet => {
                let length = usize::from(data[PREFIX + 1]);
                data[PREFIX + 2..].iter_mut().take(length).for_each(|byte| *byte = b'x');
            }
            BadInput::Huge => data[1..PREFIX].fill(0x7f),
            BadInput::Old | BadInput::Noise => {}
        }
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::{corrupted, message_fields, BadInput, ChaCha8Rng, MessageKind, SeedableRng, HTTP2_PREFACE};

    #[test]
    fn corrupted_input_keeps_its_frames_and_changes_their_content() {
        let lease = [10, 3, b'r', b'i', b'g', 25, 1, 2, 3, 4, 5, 6, 7, 8, 90, 2, 9, 9];
        let data = [&[0, 0, 5 + 18, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 18][..], &lease[..]].concat();
        let all = [HTTP2_PREFACE, &[0, 0, 0, 4, 0, 0, 0, 0, 0][..], &data[..]].concat();
        let mut chance = ChaCha8Rng::seed_from_u64(1);
        let mut bad = |bad| corrupted(all.clone(), bad, &mut chance);
        assert_eq!(bad(BadInput::Old), all);
        assert_eq!(message_fields(&bad(BadInput::OtherFleet)), [MessageKind::Lease as u64]);
        assert!(!bad(BadInput::OtherFleet).windows(3).any(|part| part == b"rig"));
        assert!(bad(BadInput::Spoilt).ends_with(
            &[0, 0, 0, 18, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255]
                .iter()
                .copied()
                .chain([255; 8])
                .collect::<Vec<u8>>()
        ));
        assert!(bad(BadInput::Huge).ends_with(&[&[0, 0x7f, 0x7f, 0x7f, 0x7f][..], &lease[..]].concat()));
        assert!(!bad(BadInput::Noise).starts_with(HTTP2_PREFACE));
    }

    #[test]
    fn a_message_is_known_by_its_kind_and_pings_are_not_messages() {
        let ping = [0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8];
        // A fleet's name, a run, and a lease that holds two bytes.
        let lease = [10, 1, b'f', 25, 1, 2, 3, 4, 5, 6, 7, 8, 90, 2, 9, 9];
        let data = [&[0, 0, 5 + 16, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 16][..], &lease[..]].concat();
        assert_eq!(message_fields(&ping), Vec::<u64>::new());
        assert_eq!(
            message_fields(&[&ping[..], &data[..], &data[..]].concat()),
            [MessageKind::Lease as u64; 2]
        );
        assert_eq!(message_fields(&data[..data.len() - 1]), [MessageKind::Lease as u64]);
    }
}
