/// \file
/// Builds a request with its latency promise from a caller's request head.
#pragma once

#include "kernel/Request.h"
#include "kernel/Services.h"

#include <variant>

namespace banyanpick {

/// Usage: `RequestBuilder(Catalogue).from(Head).at(Now).build()`.
class RequestBuilder {
public:
  explicit RequestBuilder(const Catalogue &CurrentCatalogue)
      : CurrentCatalogue(CurrentCatalogue) {}

  RequestBuilder &from(const RequestHead &Sent) {
    this->Head = Sent;
    return *this;
  }
  RequestBuilder &at(Time Arrival) {
    this->Arrival = Arrival;
    return *this;
  }

  /// Returns the request, or the reason why it may not run. All authentication
  /// failures give the same refusal.
  std::variant<Request, NotRun> build() const;

private:
  const Catalogue &CurrentCatalogue;
  RequestHead Head;
  Time Arrival{};
};

/// Returns the team that the key belongs to, or nothing.
std::optional<TeamId> authenticatedTeam(const Catalogue &CurrentCatalogue,
                                        std::string_view TeamKey);

} // namespace banyanpick
