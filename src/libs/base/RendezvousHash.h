/// \file
/// Rendezvous (highest random weight) hashing over names.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// Returns the weight of \p Candidate for \p Key, which is equal on all hosts.
/// The candidate with the highest weight is selected (Thaler and Ravishankar,
/// 1998).
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

} // namespace banyanpick
