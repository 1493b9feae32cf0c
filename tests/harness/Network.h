/// \file
/// Network delays, partitions, message loss and duplication between the named
/// parties of a virtual deployment.
#pragma once

#include "base/Random.h"
#include "base/Time.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace banyanpick {

/// Decides which messages arrive, and when. Hosts and upstreams have their
/// listed names, the platform's services are "log" and "hostlist", and all
/// callers together are "callers".
class Network {
public:
  /// One-way delays within a data centre and between data centres.
  Duration Near = Duration(200);
  Duration Far = milliseconds(2);
  /// Fractions of peer messages that are lost or arrive twice.
  double Loss = 0;
  double Duplication = 0;

  void place(const std::string &Party, const std::string &Zone) {
    this->Zones[Party] = Zone;
  }

  /// Returns the one-way delay. In setExtraDelay() and cut(), "*" stands for
  /// any party.
  Duration delay(const std::string &From, const std::string &To) const {
    Duration Result = this->zone(From) == this->zone(To) ? Near : Far;
    if (this->ExtraDelays.empty())
      return Result;
    for (const auto &Link : links(From, To)) {
      const auto Found = this->ExtraDelays.find(Link);
      if (Found != this->ExtraDelays.end())
        Result += Found->second;
    }
    return Result;
  }

  bool isCut(const std::string &From, const std::string &To) const {
    if (this->Cuts.empty())
      return false;
    for (const auto &Link : links(From, To))
      if (this->Cuts.contains(Link))
        return true;
    return false;
  }

  /// Drops all messages from \p From to \p To; the other direction still works.
  void cut(const std::string &From, const std::string &To) {
    this->Cuts.insert({From, To});
  }
  void heal(const std::string &From, const std::string &To) {
    this->Cuts.erase({From, To});
  }
  void setExtraDelay(const std::string &From, const std::string &To,
                     Duration ExtraDelay) {
    this->ExtraDelays[{From, To}] = ExtraDelay;
  }
  void healAll() {
    this->Cuts.clear();
    this->ExtraDelays.clear();
    this->Loss = this->Duplication = 0;
  }

private:
  using Link = std::pair<std::string, std::string>;

  static std::array<Link, 3> links(const std::string &From,
                                   const std::string &To) {
    return {Link{From, To}, Link{From, "*"}, Link{"*", To}};
  }
  const std::string &zone(const std::string &Party) const {
    static const std::string UnknownZone;
    const auto Found = this->Zones.find(Party);
    return Found == this->Zones.end() ? UnknownZone : Found->second;
  }

  std::map<std::string, std::string> Zones;
  std::set<Link> Cuts;
  std::map<Link, Duration> ExtraDelays;
};

} // namespace banyanpick
