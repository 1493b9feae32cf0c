/// \file
/// Client of the operators' HTTP interface.
#pragma once

#include "operators/OperatorJson.h"
#include "tools/HostTransport.h"
#include "tools/Options.h"

#include <functional>
#include <optional>

namespace banyanpick::tools {

/// Sends the operators' calls to the given entry hosts in turn until one
/// answers. Throws Error: NotAllowed or BadInput if a host refuses the call,
/// Unavailable if no host answers.
class OperatorClient {
public:
  OperatorClient(HostTransport &Transport, Clock &WallClock,
                 const Options &Opts)
      : Transport(Transport), WallClock(WallClock), Opts(Opts) {}

  /// Returns \p Target from the first host that answers.
  nlohmann::json get(const std::string &Target);

  /// Deletes \p Target on the first host that answers. The call must be
  /// idempotent, because it may reach several hosts.
  nlohmann::json remove(const std::string &Target);

  CatalogueShown catalogue();
  StatusReport status();

  /// Sends the change set at most once and returns its verdict. If the answer
  /// is lost or pending, polls the hosts for the verdict. Returns
  /// VerdictPending if no verdict is known after \p Timeout.
  ChangeAnswer submit(const ChangeSet &Set, Duration Timeout);

  /// Returns the verdict if any host knows it now, otherwise VerdictPending.
  ChangeAnswer verdict(const ChangeId &Id);

private:
  nlohmann::json ask(const HostRequest &Req);
  ChangeAnswer post(const HostRequest &Req);
  HostRequest makeRequest(HostRequest::Method Verb,
                          const std::string &Target) const;

  HostTransport &Transport;
  Clock &WallClock;
  const Options &Opts;
};

} // namespace banyanpick::tools
