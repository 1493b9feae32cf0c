/// \file
/// Tracks the work that is admitted on this host and not yet dispatched.
#pragma once

#include "base/StrongId.h"

#include <cstdint>
#include <unordered_map>

namespace banyanpick {

/// Sums the prompt tokens of waiting requests by urgency.
class AdmittedWork {
public:
  void add(const RequestId &Id, std::uint32_t Urgency, std::uint64_t Tokens);
  /// Does nothing if the request is not waiting.
  void remove(const RequestId &Id);

  /// Returns the waiting tokens at this urgency or above.
  std::uint64_t ahead(std::uint32_t Urgency) const;

private:
  struct Item {
    std::uint32_t Urgency = 0;
    std::uint64_t Tokens = 0;
  };
  static constexpr std::uint32_t Urgencies = 10;

  std::unordered_map<RequestId, Item> Waiting;
  std::uint64_t Sums[Urgencies] = {};
};

} // namespace banyanpick
