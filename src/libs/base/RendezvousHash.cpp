#include "base/RendezvousHash.h"

#include <xxhash.h>

namespace banyanpick {

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate) {
  const std::uint64_t KeyHash = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Candidate.data(), Candidate.size(), KeyHash);
}

} // namespace banyanpick
