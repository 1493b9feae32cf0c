#include "peers/CurveKeys.h"

#include "base/Error.h"

#include <algorithm>
#include <array>
#include <zmq.h>

namespace banyanpick {

namespace {

constexpr std::size_t KeyLength = 40;
constexpr std::size_t KeyBytes = 32;

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

} // namespace

CurveKeyPair makeCurveKeyPair() {
  std::array<char, KeyLength + 1> Public{};
  std::array<char, KeyLength + 1> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    throw Error(ErrorKind::Internal,
                "this build of ZeroMQ has no CURVE support",
                "install a ZeroMQ built with libsodium");
  return {Public.data(), Secret.data()};
}

bool isCurveKey(std::string_view Text) {
  if (Text.size() != KeyLength)
    return false;
  std::array<std::uint8_t, KeyBytes> Bytes{};
  return zmq_z85_decode(Bytes.data(), std::string(Text).c_str()) != nullptr;
}

AllowedKeys AllowedKeys::parse(std::string_view Text) {
  AllowedKeys Result;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const std::string_view ItemText = trimmed(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (ItemText.empty())
      continue;
    const std::size_t Separator = ItemText.find_last_of(" \t");
    const bool HasHost = Separator != std::string_view::npos;
    const std::string_view Key =
        HasHost ? ItemText.substr(Separator + 1) : ItemText;
    if (!isCurveKey(Key))
      throw Error(ErrorKind::BadInput, "an allowed key is not a CURVE key",
                  "give 40 characters of Z85, as `banyanpick "
                  "keys` prints them, after the host's name or "
                  "alone");
    Item Allowed{std::string(Key), std::nullopt};
    if (HasHost)
      Allowed.Host =
          HostId(std::string(trimmed(ItemText.substr(0, Separator))));
    Result.Items.push_back(std::move(Allowed));
  }
  return Result;
}

void AllowedKeys::add(std::string_view Key) {
  if (!this->allows(Key))
    this->Items.push_back({std::string(Key), std::nullopt});
}

bool AllowedKeys::allows(std::string_view Key) const {
  return std::any_of(this->Items.begin(), this->Items.end(),
                     [&](const Item &Allowed) { return Allowed.Key == Key; });
}

std::optional<HostId> AllowedKeys::hostOf(std::string_view Key) const {
  for (const Item &Allowed : this->Items)
    if (Allowed.Key == Key)
      return Allowed.Host;
  return std::nullopt;
}

std::optional<std::string> AllowedKeys::keyOf(const HostId &Host) const {
  for (const Item &Allowed : this->Items)
    if (Allowed.Host == Host)
      return Allowed.Key;
  return std::nullopt;
}

} // namespace banyanpick
