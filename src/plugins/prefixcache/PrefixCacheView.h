/// \file
/// What other plug-ins may ask of the prefix cache index.
#pragma once

#include "kernel/Request.h"

#include <span>

namespace banyanpick {

/// Estimates which part of a prompt an engine has cached.
class PrefixCacheView {
public:
  virtual ~PrefixCacheView() = default;
  /// Tokens at the start of the prompt that the engine probably has cached.
  /// Blocks known from before a gap in its events count for half.
  virtual std::uint64_t
  cachedTokens(const UpstreamId &Engine,
               std::span<const BlockHash> Blocks) const = 0;
};

} // namespace banyanpick
