/// \file
/// Runs the fleet plug-in with fakes and upstreams that answer its polls.
#pragma once

#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "plugins/fleet/FleetPlugin.h"

#include <map>
#include <optional>

namespace banyanpick {

class FleetBench : public PluginBench<FleetPlugin> {
public:
  FleetBench() : PluginBench<FleetPlugin>("host-a") {}

  /// Returns an engine as listed in the host list.
  static UpstreamListing engine(const std::string &Name,
                                std::uint64_t Life = 1) {
    UpstreamListing Result;
    Result.Id = UpstreamId(Name);
    Result.Life = Incarnation(Life);
    Result.Zone = ZoneId("z");
    return Result;
  }
  static LoadReport report(const std::string &Name, std::uint64_t Life,
                           Time MeasuredAt) {
    LoadReport Result;
    Result.Id = UpstreamId(Name);
    Result.Life = Incarnation(Life);
    Result.MeasuredAt = MeasuredAt;
    Result.Models = {ModelId("m")};
    return Result;
  }

  std::vector<Action> feed(const Event &Incoming) {
    Actions Out;
    this->TestedPlugin.handle(Incoming, this->Now, Out);
    return Out.take();
  }
  void setHostList(std::vector<UpstreamListing> Upstreams) {
    this->Listed = std::move(Upstreams);
    this->feed(HostListRead{{}, this->Listed});
  }
  /// Answers a poll on behalf of the engine.
  std::vector<Action> answer(const std::string &Name, std::uint64_t Life = 1) {
    return this->feed(LoadReported{report(Name, Life, this->Now)});
  }
  UpstreamState state(const std::string &Name) const {
    return this->TestedPlugin.find(UpstreamId(Name))->State;
  }
  /// Advances the time. The host list is read again; polls stay unanswered.
  std::vector<Action> advance(Duration Span) {
    std::vector<Action> Result;
    for (const Time End = this->Now + Span; this->Now < End;) {
      this->Now += milliseconds(100);
      for (Action &Output : this->feed(HostListRead{{}, this->Listed}))
        Result.push_back(std::move(Output));
    }
    return Result;
  }

  Time Now = Time(seconds(1000));
  std::vector<UpstreamListing> Listed;
};

template <class ActionType>
std::size_t countActions(const std::vector<Action> &Items) {
  std::size_t Result = 0;
  for (const Action &Output : Items)
    Result += std::holds_alternative<ActionType>(Output);
  return Result;
}

/// Returns how many of the sent messages have this body.
template <class Body>
std::size_t countMessages(const std::vector<Action> &Items) {
  std::size_t Result = 0;
  for (const Action &Output : Items)
    if (const auto *Sent = std::get_if<SendToPeer>(&Output))
      Result += std::holds_alternative<Body>(Sent->Body);
  return Result;
}

} // namespace banyanpick
