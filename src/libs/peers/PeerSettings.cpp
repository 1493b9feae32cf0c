#include "peers/PeerSettings.h"

#include "base/Error.h"

namespace banyanpick {

namespace {

SettingDeclaration keySetting(std::string Key, std::string Help) {
  SettingDeclaration Result;
  Result.Section = "peers";
  Result.Key = std::move(Key);
  Result.Help = std::move(Help);
  Result.Required = true;
  return Result;
}

std::string keyOf(const Settings &Values, std::string_view Name) {
  std::string Key = Values.text("peers", Name);
  if (!isCurveKey(Key))
    throw Error(ErrorKind::BadInput,
                "[peers] " + std::string(Name) + " is not a CURVE key",
                "give 40 characters of Z85; banyanpick keys "
                "prints a new pair");
  return Key;
}

} // namespace

std::vector<SettingDeclaration> peerSettingDeclarations() {
  return {
      keySetting("curve_public_key",
                 "Public CURVE key of this host (Z85). Hosts may share one "
                 "pair; `banyanpick keys` prints a new one."),
      keySetting("curve_secret_key",
                 "Secret CURVE key that belongs to the public one (Z85)."),
      {"peers", "allowed_keys", SettingKind::Text, "",
       "Public keys of hosts that may connect besides this host's own, divided "
       "by commas; a host's name before its key binds the key to that host."},
      {"peers", "max_message_bytes", SettingKind::Size, "16MB",
       "Largest message between hosts; a larger one ends the connection.", 1024,
       1e9},
      {"peers", "queue_messages", SettingKind::Whole, "1000",
       "Messages waiting for one peer; more are dropped.", 1, 1e6},
  };
}

PeerSettings peerSettings(const Settings &Values) {
  PeerSettings Result;
  Result.Own.PublicKey = keyOf(Values, "curve_public_key");
  Result.Own.SecretKey = keyOf(Values, "curve_secret_key");
  Result.Allowed = AllowedKeys::parse(Values.text("peers", "allowed_keys"));
  Result.Allowed.add(Result.Own.PublicKey);
  Result.MaxMessageBytes = Values.size("peers", "max_message_bytes");
  Result.QueueMessages = Values.whole("peers", "queue_messages");
  return Result;
}

} // namespace banyanpick
