/// \file
/// The interface of the prefix cache index for other plug-ins.
#pragma once

#include "kernel/Request.h"

#include <span>

namespace banyanpick {

/// Estimates which part of a prompt an engine has cached.
class PrefixCacheView {
public:
  virtual ~PrefixCacheView() = default;
  /// Returns the number of tokens at the prompt's start that the engine
  /// probably has cached. Blocks known from before a gap in the engine's events
  /// count for half.
  virtual std::uint64_t
  cachedTokens(const UpstreamId &Engine,
               std::span<const BlockHash> Blocks) const = 0;
};

} // namespace banyanpick
