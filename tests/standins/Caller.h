/// \file
/// A caller that sends a request until it has a final answer, and verifies the
/// answer. An answer is final when sending the request again would not change
/// it.
#pragma once

#include "standins/HttpClient.h"
#include "standins/Resolver.h"
#include "standins/Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick::standins {

/// A team and the key of its callers.
struct CallerTeam {
  std::string Name;
  std::string Key; ///< `team.secret`.
};

/// The outcome of one request.
struct WorkResult {
  enum class End { Complete, Refused, Failed, Lost } Ended = End::Lost;
  bool Duplicated = false; ///< A chunk was received twice, or the request ran
                           ///< more than once.
  bool Misrouted = false;  ///< Parts of another answer were received.
  bool Incomplete = false; ///< Answered as complete, but chunks are
                           ///< missing.
  bool MayHaveRun = false; ///< Some answer did not exclude a run.
  std::uint32_t Attempts = 0;
  std::uint32_t Resumed = 0;
  std::uint32_t Restarted = 0;
  Duration FirstTokenAfter{};
  std::string Key; ///< Operation key of a confirmation.
  std::string LastAnswer;
};

/// Sends requests of one team. Retries refusals after the delay that they ask
/// for, resumes streams, and uses other hosts when one can't be reached.
class Caller {
public:
  Caller(Resolver &Hosts, CallerTeam Team)
      : Hosts(Hosts), Team(std::move(Team)) {}

  WorkResult run(const WorkItem &Item);

  /// Sends the confirmation with the operation key. Begins after the first
  /// \p SkippedHosts hosts of the resolve answer.
  WorkResult confirm(const WorkItem &Item, const std::string &Key,
                     std::size_t SkippedHosts);

private:
  /// The part of a stream received so far.
  struct Received {
    explicit Received(Time StartedAt) : StartedAt(StartedAt) {}

    std::uint64_t Next = 0;
    std::string Token;
    std::string Redirect;
    nlohmann::json Final;
    Time StartedAt;
  };

  /// Sends the request once, beginning with the host of the turn. Returns the
  /// final answer, or null.
  using SendOnce = std::function<nlohmann::json(std::size_t, WorkResult &)>;

  WorkResult sendUntilFinal(const SendOnce &Send, std::size_t FirstTurn);
  HttpReply sendStreamRequest(const OutgoingRequest &NewReq, std::uint64_t Hash,
                              std::size_t Turn, Received &Stream,
                              WorkResult &Result);
  WorkResult runStreamed(const WorkItem &Item, const std::string &Prompt);
  WorkResult runUnstreamed(const WorkItem &Item, const std::string &Prompt);
  /// Sends a request to a host, or to the next one that can be reached.
  HttpReply send(const OutgoingRequest &Req, std::size_t Turn,
                 const PartHandler &OnPart = {});
  void handleEvent(const ServerEvent &Event, std::uint64_t Hash,
                   Received &Stream, WorkResult &Result) const;
  /// Returns whether \p Answer ends the request. If not, waits for the retry
  /// delay of the answer.
  bool isFinal(const nlohmann::json &Answer, WorkResult &Result) const;
  std::vector<HttpHeader> headers() const;

  Resolver &Hosts;
  CallerTeam Team;
};

} // namespace banyanpick::standins
