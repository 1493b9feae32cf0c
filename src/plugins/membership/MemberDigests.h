/// \file
/// Digests of the states of known hosts.
#pragma once

#include "kernel/PeerMessage.h"

#include <cstdint>

namespace banyanpick {

/// Returns the digest of a state. Zero for a state that does not count: of a
/// host that was never heard, and of a dead one, which hosts forget at
/// different times. Suspicions do not change the digest, as they are temporary.
std::uint64_t memberDigest(const MemberUpdate &State);

/// Returns the bucket of a host among \p Buckets, a power of two.
std::size_t memberBucket(const HostId &Host, std::size_t Buckets);

/// The sum of the digests of all known members. It is independent of their
/// order, so that hosts with equal states have equal sums.
class MemberDigestSum {
public:
  /// Replaces the digest of one member.
  void replace(std::uint64_t Before, std::uint64_t After) {
    this->Sum += After - Before;
    this->Members += (After != 0 ? 1U : 0U) - (Before != 0 ? 1U : 0U);
  }
  std::uint64_t sum() const { return this->Sum; }
  /// Returns how many members count.
  std::uint32_t count() const { return this->Members; }

private:
  std::uint64_t Sum = 0;
  std::uint32_t Members = 0;
};

} // namespace banyanpick
