#include "native/HostListJson.h"

#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "native/JsonField.h"

namespace banyanpick {

namespace {

using nlohmann::json;

HostListing hostFrom(const json &Given) {
  HostListing Result;
  Result.Id.Value = textMember(Given, "id");
  Result.Zone.Value = textMember(Given, "zone");
  Result.Callers = addressFromText(textMember(Given, "callers"));
  Result.Peers = addressFromText(textMember(Given, "peers"));
  Result.Leaving = Given.value("leaving", false);
  return Result;
}

UpstreamListing upstreamFrom(const json &Given) {
  UpstreamListing Result;
  Result.Id.Value = textMember(Given, "id");
  Result.Life.Value = hexMember(Given, "life");
  Result.Kind = textMember(Given, "kind") == "application"
                    ? UpstreamKind::Application
                    : UpstreamKind::Engine;
  Result.At = addressFromText(textMember(Given, "at"));
  Result.Zone.Value = textMember(Given, "zone");
  Result.Application = Given.value("application", "");
  Result.ChecksFencing = Given.value("checks_fencing", false);
  Result.Leaving = Given.value("leaving", false);
  return Result;
}

} // namespace

HostListRead hostListFromJson(std::string_view Body) {
  return readingJson([&] {
    const json Given = parseBoundedJson(Body);
    HostListRead Result;
    for (const json &Each : Given.at("hosts"))
      Result.Hosts.push_back(hostFrom(Each));
    for (const json &Each : Given.at("upstreams"))
      Result.Upstreams.push_back(upstreamFrom(Each));
    return Result;
  });
}

} // namespace banyanpick
