//! Listening addresses of a run. Each run has its own block of loopback addresses, so that neither another run nor an
//! outgoing connection takes a port that a process needs again when it restarts.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::Fault;

/// The address block of one run: 127.a.b.*.
pub struct Block {
    a: u8,
    b: u8,
    /// Bound for the whole run, so that no other run takes the block.
    _held: TcpListener,
}

/// Port that marks a block as taken; nothing else listens on it.
const HELD: u16 = 3_999;

impl Block {
    /// Takes the first free block; the search starts at a point that differs between processes.
    ///
    /// # Errors
    /// Fails if no block is free.
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
    /// The controller's address for proxies and collectors.
    pub fn listens(&self, controller: usize) -> SocketAddr {
        self.at(10 + controller as u8, 3_000)
    }
    pub fn relay(&self, controller: usize) -> SocketAddr {
        self.at(10 + controller as u8, 6_400)
    }
    /// Second address of discovery, used after a reload. The relay has one too.
    pub fn second_discovery(&self) -> SocketAddr {
        self.at(2, 8_500)
    }
    pub fn second_relay(&self) -> SocketAddr {
        self.at(10, 6_401)
    }
    /// The controller's address for its peers.
    pub fn fleet(&self, controller: usize) -> SocketAddr {
        self.at(10 + controller as u8, 7_000)
    }
    /// The address of the emulated link that carries traffic from `from` to `to`.
    pub fn link(&self, from: usize, to: usize) -> SocketAddr {
        self.at(10 + to as u8, 7_100 + from as u16)
    }
    pub fn host(&self, number: usize) -> SocketAddr {
        self.at(100 + number as u8, 3_100)
    }
}
