/// \file
/// Makes a request with its promise from what a caller sent.
#pragma once

#include "kernel/Request.h"
#include "kernel/Services.h"

#include <variant>

namespace banyanpick {

/// `RequestBuilder(Catalogue).from(Head).at(Now).build()`.
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

  /// The request, or why it may not run. All failures of authentication give
  /// one and the same refusal.
  std::variant<Request, NotRun> build() const;

private:
  const Catalogue &CurrentCatalogue;
  RequestHead Head;
  Time Arrival{};
};

/// The team whose key this is, or nothing.
std::optional<TeamId> authenticatedTeam(const Catalogue &CurrentCatalogue,
                                        std::string_view TeamKey);

} // namespace banyanpick
