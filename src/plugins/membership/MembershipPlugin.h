/// \file
/// The plug-in that knows the other entry hosts.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Reads the host list and gives the entry hosts in it.
class MembershipPlugin : public Plugin,
                         public MembershipView,
                         public StatusContributor {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextListRead; }

  const HostId &self() const override { return this->Own.Host; }
  Incarnation selfLife() const override { return this->Own.Life; }
  const ZoneId &selfZone() const override { return this->Own.Zone; }
  std::span<const Member> peers() const override { return this->Members; }
  std::vector<HostId> livePeers() const override;
  bool isDead(const HostId &Host, Incarnation Life) const override;

  void contribute(StatusReport &Report, Time Now) const override;

private:
  void takeList(const HostListRead &List, Time Now, Actions &Out);

  Identity Own;
  Duration ListInterval{};
  Time NextListRead{};
  std::vector<Member> Members;
};

} // namespace banyanpick
