/// \file
/// Simulates the pools of connections that hosts keep to engines.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace banyanpick {

/// Counts the connections that hosts open. An idle connection is reused for a
/// limited time, as by EngineLinkPool.
class SimulatedConnections {
public:
  /// Called when a host sends a request to an engine.
  void send(std::size_t Host, const UpstreamId &Engine, bool Fresh, Time Now) {
    std::vector<Time> &Idle = this->IdleUntil[{Host, Engine}];
    const bool IsReused = !Fresh && !Idle.empty() && Now < Idle.back();
    if (!Idle.empty())
      Idle.pop_back();
    if (IsReused)
      return;
    ++this->Opened;
    this->Pairs.insert({Host, Engine});
  }
  /// Called when an answer was read to its end.
  void keep(std::size_t Host, const UpstreamId &Engine, Time Now) {
    this->IdleUntil[{Host, Engine}].push_back(Now + this->KeptFor);
  }
  void setKeptFor(Duration Time) { this->KeptFor = Time; }

  /// Connections opened, and pairs of host and engine that opened one, since
  /// the last call.
  struct Tally {
    std::uint64_t Opened = 0;
    std::size_t Pairs = 0;
  };
  Tally takeTally() {
    const Tally Result{std::exchange(this->Opened, 0), this->Pairs.size()};
    this->Pairs.clear();
    return Result;
  }

private:
  using Pair = std::pair<std::size_t, UpstreamId>;

  Duration KeptFor = seconds(3);
  std::map<Pair, std::vector<Time>> IdleUntil;
  std::uint64_t Opened = 0;
  std::set<Pair> Pairs;
};

} // namespace banyanpick
