/// \file
/// One caller: sends a request until it has a final answer that asking again
/// would not change, and verifies what it got.
#pragma once

#include "standins/HttpClient.h"
#include "standins/Resolver.h"
#include "standins/Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick::standins {

/// A team with the key that its callers present.
struct CallerTeam {
  std::string Name;
  std::string Key; ///< `team.secret`.
};

/// How one request went.
struct WorkResult {
  enum class End { Complete, Refused, Failed, Lost } Ended = End::Lost;
  bool Duplicated = false; ///< A chunk came twice, or two runs were answered.
  bool Misrouted = false;  ///< Something of another's answer came.
  bool Incomplete = false; ///< Told whole, but chunks are missing.
  bool MayHaveRun = false; ///< Some answer left open that it ran.
  std::uint32_t Attempts = 0;
  std::uint32_t Resumed = 0;
  std::uint32_t Restarted = 0;
  Duration FirstTokenAfter{};
  std::string Key; ///< Operation key of a confirmation.
  std::string LastAnswer;
};

class Caller {
public:
  Caller(Resolver &Hosts, CallerTeam Team)
      : Hosts(Hosts), Team(std::move(Team)) {}

  WorkResult run(const WorkItem &Item);

  /// Sends the confirmation under the key; \p Skipped first hosts of the
  /// resolve answer are passed over.
  WorkResult confirm(const WorkItem &Item, const std::string &Key,
                     std::size_t SkippedHosts);

private:
  /// A stream as far as it was received.
  struct Received {
    explicit Received(Time StartedAt) : StartedAt(StartedAt) {}

    std::uint64_t Next = 0;
    std::string Token;
    std::string Redirect;
    nlohmann::json Final;
    Time StartedAt;
  };

  /// Asks once at a turn; gives the final answer, or nothing.
  using SendOnce = std::function<nlohmann::json(std::size_t, WorkResult &)>;

  WorkResult sendUntilFinal(const SendOnce &Send, std::size_t FirstTurn);
  HttpReply sendStreamRequest(const OutgoingRequest &NewReq, std::uint64_t Hash,
                              std::size_t Turn, Received &Stream,
                              WorkResult &Result);
  WorkResult runStreamed(const WorkItem &Item, const std::string &Prompt);
  WorkResult runUnstreamed(const WorkItem &Item, const std::string &Prompt);
  /// Asks a host; passes to the next one when it can't be reached.
  HttpReply send(const OutgoingRequest &Req, std::size_t Turn,
                 const PartHandler &OnPart = {});
  void handleEvent(const ServerEvent &Event, std::uint64_t Hash,
                   Received &Stream, WorkResult &Result) const;
  /// Whether \p Answer ends the request; if not, waits as it asks for.
  bool isFinal(const nlohmann::json &Answer, WorkResult &Result) const;
  std::vector<HttpHeader> headers() const;

  Resolver &Hosts;
  CallerTeam Team;
};

} // namespace banyanpick::standins
