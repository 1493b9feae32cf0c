/// \file
/// A caller's request and the tries made for it, as the kernel keeps them.
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

/// Prompt tokens that one BlockHash stands for.
inline constexpr std::uint64_t PromptBlockTokens = 1024;

/// What a caller sent, measured by the traffic thread. The content itself
/// stays with the traffic thread.
struct RequestHead {
  RequestId Id;
  std::string TeamKey; ///< `team.secret`; never logged.
  ClassId Class;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0; ///< 0: as many as the class allows.
  std::vector<BlockHash> Blocks;     ///< Prompt blocks, chained.
  Fingerprint Content;
  std::optional<OperationKey> Operation; ///< Needed when not idempotent.
  std::optional<Duration> Timeout;       ///< The caller's own, if shorter.
  bool Streamed = false;
  std::string Session; ///< Optional session name, for cache affinity.

  bool operator==(const RequestHead &) const = default;
};

/// A request that passed authentication, with its promise.
struct Request {
  RequestHead Head;
  TeamId Team;
  ClassEntry Class;
  double TeamWeight = 1.0;
  Time ArrivedAt{};
  Time FirstTokenBy{};            ///< Promise for the first token.
  Time Deadline{};                ///< Promise for the whole answer.
  std::uint64_t OutputTokens = 0; ///< Bound on the answer.

  const RequestId &id() const { return this->Head.Id; }
};

/// How a try ended.
struct AttemptComplete {
  std::uint64_t Count = 0; ///< Chunks, as the end mark says.
  std::string Result;      ///< An application call's result.

  bool operator==(const AttemptComplete &) const = default;
};

/// The upstream said that it refused before starting.
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

/// No byte of the request was handed to a transport.
struct AttemptNeverSent {
  bool operator==(const AttemptNeverSent &) const = default;
};

/// The connection ended, or the stream was cut or malformed, before the end
/// mark; the upstream may have run it.
struct AttemptBroken {
  std::uint64_t NextIndex = 0; ///< First chunk not yet delivered.
  bool UpstreamDied = false;   ///< The connection was reset or refused since.

  bool operator==(const AttemptBroken &) const = default;
};

/// The upstream ran it and answered with an error.
struct AttemptFailed {
  std::string Message;

  bool operator==(const AttemptFailed &) const = default;
};

using AttemptOutcome =
    std::variant<AttemptComplete, AttemptRefused, AttemptNeverSent,
                 AttemptBroken, AttemptFailed>;

/// One try on one upstream.
struct Attempt {
  AttemptId Id;
  RequestId Request;
  UpstreamId Upstream;
  Incarnation UpstreamLife;
  Time SentAt{};
  std::uint64_t StartIndex = 0;     ///< Chunk it starts at.
  std::uint64_t NextIndex = 0;      ///< Chunk expected next.
  std::uint64_t UncachedTokens = 0; ///< Prefill expected.
  std::uint32_t Priority = 0;
  std::vector<UpstreamId> Group; ///< Engines holding memory beside it.
};

/// What keeps an upstream from being chosen for this try.
struct SelectionLimits {
  std::set<UpstreamId> Excluded; ///< Tried already.
  bool Isolated = false; ///< A suspect: away from short work and suspects.
};

/// The upstream chosen, with why.
struct Selected {
  UpstreamId Upstream;
  std::uint32_t Priority = 0; ///< Engine priority; higher goes first.
  std::uint64_t UncachedTokens = 0;
  Duration PredictedFirstToken{};    ///< From now.
  std::vector<UpstreamId> Group;     ///< Engines that must hold memory, the
                                     ///< chosen one among them.
  std::uint64_t GroupTokensEach = 0; ///< Memory each of them must hold.
};

/// Nothing can take it now; it waits, or is refused.
struct NothingFits {
  bool Permanent = false; ///< true: nothing that lives could ever take it.
  Duration RetryAfter{};  ///< When to look again.
};

using Selection = std::variant<Selected, NothingFits>;

} // namespace banyanpick
