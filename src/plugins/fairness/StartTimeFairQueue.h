/// \file
/// Start-time fair queueing among teams (Goyal, Vin and Cheng, 1996), over
/// tokens of work.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace banyanpick {

/// One waiting request as a lane knows it.
struct WaitingWork {
  RequestId Id;
  Time ArrivedAt{};
  double Tokens = 0; ///< Expected work, in token units.
};

/// One queue shared by teams. A team's tag rises with the work done for it,
/// divided by its weight; the team with the least tag is the most entitled.
/// Times on this scale are token units for each unit of weight. Each operation
/// costs O(log n) of the teams and requests that wait.
class StartTimeFairQueue {
public:
  /// Adds waiting work. The first in an empty lane begins a new busy period,
  /// in which all teams are equal again.
  void push(const TeamId &Team, double Weight, const WaitingWork &Work);

  /// Takes work out; false when it is not here.
  bool remove(const TeamId &Team, Time ArrivedAt, const RequestId &Id);

  /// Work of the team was begun.
  void charge(const TeamId &Team, double Weight, double Tokens);

  /// Work charged before turned out to differ by \p Tokens.
  void correct(const TeamId &Team, double Tokens);

  /// Another host did work for the team, or corrects what it told. What it puts
  /// the team behind is bounded by RemoteMemory times \p Tokens, so that work
  /// done where nobody else waited is soon forgotten.
  void chargeRemote(const TeamId &Team, double Weight, double Tokens);

  /// The requests most entitled, in order.
  std::vector<RequestId> candidates(std::size_t MaxCount) const;

  std::size_t size() const { return this->Count; }
  /// Never falls.
  double virtualTime() const { return this->Virtual; }
  /// Whether what is waiting, the count and the tags agree.
  bool isConsistent() const;

private:
  using WorkKey = std::pair<Time, RequestId>;

  /// A team's part of the lane.
  struct Flow {
    double Weight = 1;
    double Floor = 0;  ///< Virtual time when the team began to wait.
    double Finish = 0; ///< Tag at which its work so far ends.
    std::map<WorkKey, double> Waiting; ///< Expected work, oldest first.

    double start() const { return std::max(this->Floor, this->Finish); }
  };
  using FlowMap = std::map<TeamId, Flow>;

  Flow &flow(const TeamId &Team, double Weight);
  void setFinish(const TeamId &Team, Flow &Of, double Finish);
  void beginBusyPeriod();

  /// How many times the last work told a team may be put behind by it.
  static constexpr double RemoteMemory = 10;

  FlowMap Flows;
  std::set<std::pair<double, TeamId>> Heads; ///< Waiting teams by start tag.
  std::size_t Count = 0;
  double Virtual = 0;
};

} // namespace banyanpick
