/// \file
/// Attempts whose answers were lost while their engines may still work on them.
#pragma once

#include "gateway/Configuration.h"
#include "kernel/GatewayServices.h"

#include <vector>

namespace banyanpick {

/// Returns when the engine is predicted to finish the attempt: its first token
/// at the predicted time, then an answer of usual length. SentAt if nothing was
/// predicted.
Time predictedEnd(const RelayAttempt &Attempt, const EngineParameters &Model);

/// Holds the attempts that still count as load. Meant for engines
/// that lose a part of their answers: if the work of these attempts did not
/// count, engines would look idle while they run it, and the retries would
/// follow it to the same engines.
class LostAnswers {
public:
  LostAnswers() = default;
  /// An attempt counts for at most \p MaxTime after its loss; zero disables
  /// this.
  explicit LostAnswers(Duration MaxTime) : MaxTime(MaxTime) {}

  /// Returns whether the attempt still counts as load until takeDue() returns
  /// it.
  bool keep(const RelayAttempt &Attempt, Time EndsAt, Time Now);
  /// Removes and returns the attempts that have ended at \p Now.
  std::vector<RelayAttempt> takeDue(Time Now);
  /// Removes and returns the attempts on an engine that restarted or left.
  std::vector<RelayAttempt> takeOf(const UpstreamId &Engine);
  Time nextDue() const;
  std::size_t size() const { return this->Kept.size(); }

private:
  struct Entry {
    RelayAttempt Attempt;
    Time Until{};
  };

  template <class Predicate>
  std::vector<RelayAttempt> takeWhere(Predicate Matches);

  Duration MaxTime{};
  std::vector<Entry> Kept;
};

} // namespace banyanpick
