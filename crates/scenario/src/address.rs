//! Loopback addresses that are reserved for one scenario, so that scenarios
//! that run concurrently never share an address.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
};

/// Port that is bound at the first address of a block to reserve the whole
/// block across processes.
const GUARD_PORT: u16 = 7_000;
/// Number of blocks: 64 values of the second octet by 250 of the third.
const BLOCK_COUNT: u32 = 64 * 250;

/// A block of 250 loopback addresses, reserved until this value is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    second_octet: u8,
    third_octet: u8,
    /// Last octet of the address that was returned last.
    last_octet: u8,
    _guard: TcpListener,
}

impl AddressBlock {
    /// Reserves a free block. Returns `None` if every block is in use.
    ///
    /// The search begins at a block that depends on the process id, so that
    /// concurrent test processes seldom try the same block.
    #[must_use]
    pub fn take() -> Option<Self> {
        let start = process::id().wrapping_mul(7) % BLOCK_COUNT;
        (0..BLOCK_COUNT).find_map(|offset| Self::try_take((start + offset) % BLOCK_COUNT))
    }

    /// Returns the next address of the block that has not been used yet.
    pub fn next_ip(&mut self) -> IpAddr {
        self.last_octet += 1;
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet,
            self.last_octet,
        ))
    }

    fn try_take(block: u32) -> Option<Self> {
        let second_octet = u8::try_from(64 + block / 250).ok()?;
        let third_octet = u8::try_from(1 + block % 250).ok()?;
        let ip = Ipv4Addr::new(127, second_octet, third_octet, 1);
        let guard = TcpListener::bind(SocketAddr::from((ip, GUARD_PORT))).ok()?;
        Some(Self {
            second_octet,
            third_octet,
            last_octet: 1,
            _guard: guard,
        })
    }
}
