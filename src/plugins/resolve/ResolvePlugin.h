/// \file
/// The plug-in that tells callers which entry hosts to use.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Answers with live hosts, the nearest zone first.
class ResolvePlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

private:
  void answer(const ResolveAsked &Asked, Actions &Out) const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const CatalogueView *Declared = nullptr;
  const DrainView *Drain = nullptr;
  Identity Own;
  std::uint64_t Most = 0;
  Duration TimeToLive{};
};

} // namespace banyanpick
