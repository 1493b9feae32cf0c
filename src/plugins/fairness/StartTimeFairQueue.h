/// \file
/// Start-time fair queueing among teams (Goyal, Vin and Cheng, 1996), measured
/// in tokens of work.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace banyanpick {

/// A waiting request in a queue.
struct WaitingWork {
  RequestId Id;
  Time ArrivedAt{};
  double Tokens = 0; ///< Expected work, in token units.
};

/// A queue shared by teams. The tag of a team rises with the work done for it,
/// divided by its weight. The team with the least tag is served first. Virtual
/// times and tags are in token units per unit of weight. Each operation costs
/// O(log n) of the waiting teams and requests.
class StartTimeFairQueue {
public:
  /// Adds waiting work. The first work in an empty queue begins a new busy
  /// period, in which all teams start equal.
  void push(const TeamId &Team, double Weight, const WaitingWork &Work);

  /// Removes waiting work. Returns false if it is not in the queue.
  bool remove(const TeamId &Team, Time ArrivedAt, const RequestId &Id);

  /// Called when work of the team starts.
  void charge(const TeamId &Team, double Weight, double Tokens);

  /// Corrects an earlier charge by \p Tokens.
  void correct(const TeamId &Team, double Tokens);

  /// Called when another host reports work for the team or corrects an earlier
  /// report. The resulting delay of the team is at most \p Tokens times
  /// RemoteDelayFactor, so that work on a host where no other team waited has a
  /// short effect.
  void chargeRemote(const TeamId &Team, double Weight, double Tokens);

  /// Returns the first \p MaxCount requests in the order of service.
  std::vector<RequestId> candidates(std::size_t MaxCount) const;

  std::size_t size() const { return this->Count; }
  /// Returns the virtual time. It never decreases.
  double virtualTime() const { return this->Virtual; }
  /// Returns whether the waiting work, the count and the tags agree.
  bool isConsistent() const;

private:
  using WorkKey = std::pair<Time, RequestId>;

  /// The state of one team in the queue.
  struct Flow {
    double Weight = 1;
    double Floor = 0;  ///< Virtual time at which the team began to wait.
    double Finish = 0; ///< Finish tag of the work done so far.
    std::map<WorkKey, double> Waiting; ///< Expected work, oldest first.

    double start() const { return std::max(this->Floor, this->Finish); }
  };
  using FlowMap = std::map<TeamId, Flow>;

  Flow &flow(const TeamId &Team, double Weight);
  void setFinish(const TeamId &Team, Flow &TeamFlow, double Finish);
  void beginBusyPeriod();

  /// Bound on the delay that remote work causes to a team, as a multiple of the
  /// last reported work.
  static constexpr double RemoteDelayFactor = 10;

  FlowMap Flows;
  std::set<std::pair<double, TeamId>> Heads; ///< Waiting teams, by start tag.
  std::size_t Count = 0;
  double Virtual = 0;
};

} // namespace banyanpick
