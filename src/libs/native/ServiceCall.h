/// \file
/// One attempt of a call on an application engine.
#pragma once

#include "http/ClientStream.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

/// Sends a call to an application engine and reads the result. Used on one
/// thread.
class ServiceCall {
public:
  ServiceCall(const net::any_io_executor &Executor, DispatchAttempt Dispatch,
              const HostId &Self, const PlatformSettings &Values);

  /// \p Body is the caller's JSON text. The Result of AttemptComplete is the
  /// JSON text of the service's result.
  Task<AttemptOutcome> run(std::string_view OperationKey, std::string_view Body,
                           Time Now);

  void cancel();
  bool isCancelled() const { return this->Cancelled; }

private:
  AttemptOutcome outcomeOf(std::string_view Body) const;

  DispatchAttempt Dispatch;
  HostId Self;
  const PlatformSettings &Values;
  ClientStream Link;
  bool Cancelled = false;
};

} // namespace banyanpick
