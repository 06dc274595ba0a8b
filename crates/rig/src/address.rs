//! Where everything of one run listens. Each run has a block of loopback addresses of its own, so neither another run
//! nor an outgoing connection takes a port that a process needs again when it starts anew.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::Fault;

/// One run's block: 127.a.b.*.
pub struct Block {
    a: u8,
    b: u8,
    /// While it is held, no other run takes the block.
    _held: TcpListener,
}

/// Holds a block; nothing else listens there.
const HELD: u16 = 3_999;

impl Block {
    /// The first free block from a place that differs from process to process.
    ///
    /// # Errors
    /// No block is free.
    pub fn take() -> Result<Block, Fault> {
        let from = std::process::id();
        for step in 0..10_000u32 {
            let place = from.wrapping_mul(61).wrapping_add(step) % (100 * 250);
            let (a, b) = (100 + (place / 250) as u8, 1 + (place % 250) as u8);
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, a, b, 1), HELD)) {
                return Ok(Block { a, b, _held: held });
            }
        }
        Err(Fault::NoPlace)
    }

    fn at(&self, last: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.a, self.b, last), port).into()
    }

    pub fn discovery(&self) -> SocketAddr {
        self.at(1, 8_500)
    }
    /// Where proxies and collectors connect.
    pub fn listens(&self, steward: usize) -> SocketAddr {
        self.at(10 + steward as u8, 3_000)
    }
    pub fn relay(&self, steward: usize) -> SocketAddr {
        self.at(10 + steward as u8, 6_400)
    }
    /// Where a new configuration moves discovery and the relay of the first.
    pub fn second_discovery(&self) -> SocketAddr {
        self.at(2, 8_500)
    }
    pub fn second_relay(&self) -> SocketAddr {
        self.at(10, 6_401)
    }
    /// Where a steward listens for its peers.
    pub fn fleet(&self, steward: usize) -> SocketAddr {
        self.at(10 + steward as u8, 7_000)
    }
    /// Where the network listens for what `from` sends to `to`.
    pub fn way(&self, from: usize, to: usize) -> SocketAddr {
        self.at(10 + to as u8, 7_100 + from as u16)
    }
    pub fn host(&self, number: usize) -> SocketAddr {
        self.at(100 + number as u8, 3_100)
    }
}
