//! The shares of a budget of bytes.

use redwingrill_transport::BudgetExceeded;
use redwingrill_transport::BudgetedBuffer;
use redwingrill_transport::ByteBudget;

const LIMIT_BYTES: usize = 1 << 20;
const PIECE: [u8; 1_024] = [0; 1_024];

struct ShareCase {
    /// How many buffers grow without end.
    endless: usize,
    /// What each of them reaches at least.
    share_bytes: usize,
}

/// Buffers that grow without end leave an equal share for one more.
#[test]
fn many_endless_buffers_leave_no_room_for_another() {
    let cases = [
        ShareCase { endless: 1, share_bytes: 500 << 10 },
        ShareCase { endless: 7, share_bytes: 120 << 10 },
        ShareCase { endless: 240, share_bytes: 3 << 10 },
    ];
    for ShareCase { endless, share_bytes } in cases {
        let budget = ByteBudget::new(LIMIT_BYTES);
        let buffers = (0..endless).map(|_| BudgetedBuffer::new(&budget));
        let mut buffers: Vec<BudgetedBuffer> = buffers.collect();
        for _ in 0..LIMIT_BYTES / PIECE.len() {
            for buffer in &mut buffers {
                let _full = buffer.extend(&PIECE).is_err();
            }
        }
        assert!(buffers.iter().all(|buffer| buffer.len() >= share_bytes), "{endless}");
        let mut another = BudgetedBuffer::new(&budget);
        assert_eq!(another.extend(&PIECE), Ok(()), "{endless}");
        assert!(budget.used_bytes() <= LIMIT_BYTES);
    }
}

#[test]
fn taken_bytes_count_until_their_last_clone_is_dropped() {
    let budget = ByteBudget::new(LIMIT_BYTES);
    let mut buffer = BudgetedBuffer::new(&budget);
    buffer.extend(&PIECE).expect("there is room");
    let taken = buffer.split_to(1_000);
    let clone = taken.slice(10..20);
    drop((buffer, taken));
    assert_eq!(budget.used_bytes(), 1_000);
    drop(clone);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn refused_bytes_are_not_reserved() {
    let budget = ByteBudget::new(100);
    let mut buffer = BudgetedBuffer::new(&budget);
    assert_eq!(buffer.extend(&PIECE), Err(BudgetExceeded));
    assert_eq!((budget.used_bytes(), buffer.len()), (0, 0));
}
