//! Rendezvous hashing: assigns keys to nodes without coordination.
//!
//! All nodes with the same list of live nodes compute the same assignment.

use crate::id::VmId;

/// Up to `count` nodes for `key` by descending hash. When a node joins or leaves,
/// only the keys assigned to that node change.
pub fn rendezvous<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a VmId>,
    count: usize,
) -> Vec<&'a VmId> {
    let hash_of = |vm: &VmId| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(key.as_bytes());
        hasher.update(&[0]);
        hasher.update(vm.as_str().as_bytes());
        first_u64(&hasher.finalize())
    };
    let mut by_hash: Vec<_> = nodes.into_iter().map(|vm| (hash_of(vm), vm)).collect();
    by_hash.sort_by(|left, right| right.cmp(left));
    by_hash.truncate(count);
    by_hash.into_iter().map(|(_, vm)| vm).collect()
}

/// First 8 bytes of a hash, little-endian.
pub(crate) fn first_u64(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes()[..8].try_into();
    bytes.map_or(0, u64::from_le_bytes)
}
