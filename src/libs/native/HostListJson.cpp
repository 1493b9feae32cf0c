#include "native/HostListJson.h"

#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "native/JsonField.h"

namespace banyanpick {

namespace {

using nlohmann::json;

HostListing hostFrom(const json &Object) {
  HostListing Result;
  Result.Id.Value = textMember(Object, "id");
  Result.Zone.Value = textMember(Object, "zone");
  Result.Callers = addressFromText(textMember(Object, "callers"));
  Result.Peers = addressFromText(textMember(Object, "peers"));
  Result.Leaving = Object.value("leaving", false);
  return Result;
}

UpstreamListing upstreamFrom(const json &Object) {
  UpstreamListing Result;
  Result.Id.Value = textMember(Object, "id");
  Result.Life.Value = hexMember(Object, "life");
  Result.Kind = textMember(Object, "kind") == "application"
                    ? UpstreamKind::Application
                    : UpstreamKind::Engine;
  Result.At = addressFromText(textMember(Object, "at"));
  Result.Zone.Value = textMember(Object, "zone");
  Result.Application = Object.value("application", "");
  Result.ChecksFencing = Object.value("checks_fencing", false);
  Result.Leaving = Object.value("leaving", false);
  return Result;
}

} // namespace

HostListRead hostListFromJson(std::string_view Body) {
  return convertJsonErrors([&] {
    const json Object = parseBoundedJson(Body);
    HostListRead Result;
    for (const json &Entry : Object.at("hosts"))
      Result.Hosts.push_back(hostFrom(Entry));
    for (const json &Entry : Object.at("upstreams"))
      Result.Upstreams.push_back(upstreamFrom(Entry));
    return Result;
  });
}

} // namespace banyanpick
