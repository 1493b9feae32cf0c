/// \file
/// Which hosts and upstreams of a large deployment work together.
#pragma once

#include "base/StrongId.h"

#include <cstddef>
#include <span>

namespace banyanpick {

/// How large a group is at least before there is more than one.
struct GroupSize {
  std::size_t Hosts = 1;
  std::size_t Engines = 1;
};

/// One of several groups of hosts, each with its own part of the engines, so
/// that what a host tells and hears does not grow with the deployment. Hosts
/// that see different members for a moment only know less of each other.
class WorkGroup {
public:
  WorkGroup() = default;
  /// \p Others are the other living hosts, in the order of their names.
  WorkGroup(const HostId &Self, std::span<const HostId> Others,
            std::size_t Engines, const GroupSize &Least);

  std::size_t groups() const { return this->Groups; }
  /// Whether the engine at this place of the order that all hosts share is
  /// used by this group.
  bool hasEngine(std::size_t Position) const {
    return Position % this->Groups == this->Own;
  }
  /// Whether the other host at this place of those given is of this group.
  bool hasHost(std::size_t Position) const {
    const std::size_t InOrder = Position + (Position >= this->Before ? 1 : 0);
    return InOrder % this->Groups == this->Own;
  }

private:
  std::size_t Groups = 1;
  std::size_t Own = 0;
  std::size_t Before = 0; ///< Other hosts before this one.
};

} // namespace banyanpick
