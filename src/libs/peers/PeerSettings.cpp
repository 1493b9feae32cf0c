#include "peers/PeerSettings.h"

#include "base/Error.h"

namespace banyanpick {

namespace {

SettingDeclaration keySetting(std::string Key, std::string Help) {
  SettingDeclaration Result;
  Result.Section = "peers";
  Result.Key = std::move(Key);
  Result.Help = std::move(Help);
  return Result;
}

std::string readKey(const Settings &Values, std::string_view Name) {
  std::string Key = Values.text("peers", Name);
  if (!isCurveKey(Key))
    throw Error(ErrorKind::BadInput,
                "[peers] " + std::string(Name) + " is not a CURVE key",
                "give 40 characters of Z85; banyanpick keys "
                "prints a new pair; or set encryption to none where the "
                "network between hosts is trusted");
  return Key;
}

} // namespace

std::vector<SettingDeclaration> peerSettingDeclarations() {
  return {
      {.Section = "peers",
       .Key = "encryption",
       .Kind = SettingKind::Choice,
       .Default = "curve",
       .Help = "Whether hosts prove themselves to each other with CURVE keys, "
               "which then must be given, or trust their network.",
       .Choices = {"curve", "none"}},
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
      {"peers", "queue_messages", SettingKind::Whole, "32",
       "Messages that wait for one peer, and of one peer; more are dropped. A "
       "host has as many queues as peers.",
       1, 1e6},
  };
}

std::vector<SettingsProblem> missingPeerKeys(const Settings &Values) {
  std::vector<SettingsProblem> Result;
  if (Values.text("peers", "encryption") != "curve")
    return Result;
  for (const char *Key : {"curve_public_key", "curve_secret_key"})
    if (Values.text("peers", Key).empty())
      Result.push_back(
          {0, "peers", Key, "is missing; banyanpick keys prints a new pair"});
  return Result;
}

PeerSettings peerSettings(const Settings &Values) {
  PeerSettings Result;
  Result.MaxMessageBytes = Values.size("peers", "max_message_bytes");
  Result.QueueMessages = Values.whole("peers", "queue_messages");
  Result.Encrypted = Values.text("peers", "encryption") == "curve";
  if (!Result.Encrypted)
    return Result;
  Result.OwnKeys.PublicKey = readKey(Values, "curve_public_key");
  Result.OwnKeys.SecretKey = readKey(Values, "curve_secret_key");
  Result.Allowed = AllowedKeys::parse(Values.text("peers", "allowed_keys"));
  Result.Allowed.add(Result.OwnKeys.PublicKey);
  return Result;
}

} // namespace banyanpick
