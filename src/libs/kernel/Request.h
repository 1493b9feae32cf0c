/// \file
/// A caller's request and its attempts, as stored by the kernel.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "catalogue/Entry.h"
#include "kernel/Answer.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// Prompt tokens that one BlockHash covers.
inline constexpr std::uint64_t PromptBlockTokens = 1024;

/// Properties of a caller's request, extracted by the traffic thread. The
/// content itself stays with the traffic thread.
struct RequestHead {
  RequestId Id;
  std::string TeamKey; ///< `team.secret`; never logged.
  ClassId Class;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0; ///< 0: the maximum of the class.
  std::vector<BlockHash> Blocks;     ///< Chained hashes of the prompt blocks.
  Fingerprint Content;
  std::optional<OperationKey> Operation; ///< Required if not idempotent.
  std::optional<Duration> Timeout;       ///< The caller's timeout, if shorter.
  bool Streamed = false;
  std::string Session; ///< Optional session name, for cache affinity.

  bool operator==(const RequestHead &) const = default;
};

/// An authenticated request with its latency targets.
struct Request {
  RequestHead Head;
  TeamId Team;
  ClassEntry Class;
  double TeamWeight = 1.0;
  Time ArrivedAt{};
  Time FirstTokenBy{};            ///< Deadline of the first token.
  Time Deadline{};                ///< Deadline of the complete answer.
  std::uint64_t OutputTokens = 0; ///< Maximum length of the answer.

  const RequestId &id() const { return this->Head.Id; }
};

/// The attempt delivered a complete answer.
struct AttemptComplete {
  std::uint64_t Count = 0; ///< Number of chunks, from the end marker.
  std::string Result;      ///< Result of an application call.

  bool operator==(const AttemptComplete &) const = default;
};

/// The upstream reported that it refused the request before starting it.
struct AttemptRefused {
  enum class Why {
    Busy,
    Leaving,
    NoModel,
    NoMemory,
    Other
  } Reason = Why::Other;

  bool operator==(const AttemptRefused &) const = default;
};

/// No byte of the request was passed to a transport.
struct AttemptNeverSent {
  bool operator==(const AttemptNeverSent &) const = default;
};

/// The connection ended, or the stream was truncated or malformed, before the
/// end marker. The upstream may have run the request.
struct AttemptBroken {
  std::uint64_t NextIndex = 0; ///< First chunk that was not delivered.
  bool UpstreamDied = false;   ///< The connection was reset or refused.

  bool operator==(const AttemptBroken &) const = default;
};

/// The upstream ran the request and answered with an error.
struct AttemptFailed {
  std::string Message;

  bool operator==(const AttemptFailed &) const = default;
};

using AttemptOutcome =
    std::variant<AttemptComplete, AttemptRefused, AttemptNeverSent,
                 AttemptBroken, AttemptFailed>;

/// One dispatch of a request to one upstream.
struct Attempt {
  AttemptId Id;
  RequestId Request;
  UpstreamId Upstream;
  Incarnation UpstreamLife;
  Time SentAt{};
  std::uint64_t StartIndex = 0;     ///< First chunk of this attempt.
  std::uint64_t NextIndex = 0;      ///< Next expected chunk.
  std::uint64_t UncachedTokens = 0; ///< Expected prefill work.
  std::uint32_t Priority = 0;
  std::vector<UpstreamId> Group; ///< Other engines that hold memory for it.
};

/// Restrictions on the upstreams that may be selected for an attempt.
struct SelectionLimits {
  std::set<UpstreamId> Excluded; ///< Already attempted.
  bool Isolated = false; ///< A suspect: not with short work or other suspects.
};

/// The selected upstream and the data behind the decision.
struct Selected {
  UpstreamId Upstream;
  std::uint32_t Priority = 0; ///< Engine priority; higher runs first.
  std::uint64_t UncachedTokens = 0;
  Duration PredictedFirstToken{};    ///< From now.
  std::vector<UpstreamId> Group;     ///< Engines that must hold memory,
                                     ///< including the selected engine.
  std::uint64_t GroupTokensEach = 0; ///< Memory that each of them must hold.
};

/// No upstream can take the request now. The request waits or is refused.
struct NothingFits {
  bool Permanent = false; ///< No live upstream can ever take the request.
  Duration RetryAfter{};  ///< Delay before the next selection.
};

using Selection = std::variant<Selected, NothingFits>;

} // namespace banyanpick
