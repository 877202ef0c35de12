//! Loopback addresses of one scenario, so that scenarios that run at once do
//! not meet.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
};

/// Port that marks a block of addresses as taken.
const GUARD_PORT: u16 = 7_000;
/// Blocks that are tried.
const BLOCKS: u32 = 64 * 250;

/// A block of 250 loopback addresses, held while this lives.
#[derive(Debug)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    next: u8,
    _guard: TcpListener,
}

impl AddressBlock {
    /// Takes a free block.
    #[must_use]
    pub fn take() -> Option<Self> {
        let start = process::id().wrapping_mul(7) % BLOCKS;
        (0..BLOCKS).find_map(|offset| Self::take_block((start + offset) % BLOCKS))
    }

    /// The next address that has not been given out.
    pub fn next_ip(&mut self) -> IpAddr {
        self.next += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, self.next))
    }

    fn take_block(block: u32) -> Option<Self> {
        let second = u8::try_from(64 + block / 250).ok()?;
        let third = u8::try_from(1 + block % 250).ok()?;
        let ip = Ipv4Addr::new(127, second, third, 1);
        let guard = TcpListener::bind(SocketAddr::from((ip, GUARD_PORT))).ok()?;
        Some(Self {
            second,
            third,
            next: 1,
            _guard: guard,
        })
    }
}
