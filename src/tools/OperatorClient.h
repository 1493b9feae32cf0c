/// \file
/// The operators' calls, asked of whichever entry host answers.
#pragma once

#include "operators/OperatorJson.h"
#include "tools/HostTransport.h"
#include "tools/Options.h"

#include <functional>
#include <optional>

namespace banyanpick::tools {

/// Throws Error: NotAllowed, BadInput as the hosts say, or Unavailable when
/// no host gives an answer.
class OperatorClient {
public:
  OperatorClient(HostTransport &Transport, Clock &WallClock,
                 const Options &Opts)
      : Transport(Transport), WallClock(WallClock), Opts(Opts) {}

  /// Reads \p Target on the first host that answers.
  nlohmann::json get(const std::string &Target);

  /// The same for a call that may be repeated.
  nlohmann::json remove(const std::string &Target);

  CatalogueShown catalogue();
  StatusReport status();

  /// Hands the change set in once and finds out its verdict. A lost or pending
  /// answer is settled by asking for the verdict, on any host. Pending when
  /// none is known after \p Timeout.
  ChangeAnswer submit(const ChangeSet &Set, Duration Timeout);

  /// The verdict as known now on any host.
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
