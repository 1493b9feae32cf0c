/// \file
/// The plug-in that orders waiting requests among teams.
#pragma once

#include "kernel/Plugin.h"

#include <deque>

namespace banyanpick {

/// Provides DispatchQueue: first come, first served.
class FairnessPlugin : public Plugin, public DispatchQueue {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  void push(const Request &Waiting, Time Now) override;
  void remove(const RequestId &Id) override;
  std::vector<RequestId> candidates(std::size_t Most, Time Now) override;
  std::size_t size() const override { return this->Waiting.size(); }

private:
  std::deque<RequestId> Waiting;
};

} // namespace banyanpick
