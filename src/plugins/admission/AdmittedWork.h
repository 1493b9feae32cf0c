/// \file
/// The work that is admitted on this host and not yet sent to an engine.
#pragma once

#include "base/StrongId.h"

#include <cstdint>
#include <unordered_map>

namespace banyanpick {

/// Prompt tokens of waiting requests, by urgency.
class AdmittedWork {
public:
  void add(const RequestId &Id, std::uint32_t Urgency, std::uint64_t Tokens);
  /// Nothing happens if it does not wait.
  void remove(const RequestId &Id);

  /// Tokens that wait at this urgency or above.
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
