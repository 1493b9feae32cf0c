#include "peers/ZapAuthenticator.h"

#include <array>
#include <zmq_addon.hpp>

namespace banyanpick {

namespace {

// Frames of a ZAP request.
constexpr std::size_t VersionFrame = 0;
constexpr std::size_t RequestIdFrame = 1;
constexpr std::size_t MechanismFrame = 5;
constexpr std::size_t CredentialsFrame = 6;
constexpr std::size_t CurveFrames = 7;

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t KeyTextBytes = 41;

/// Returns the client's authenticated public key in Z85, or an empty string
/// when the request is not for CURVE.
std::string clientKey(const std::vector<zmq::message_t> &Request) {
  const bool IsCurve = Request.size() == CurveFrames &&
                       Request[MechanismFrame].to_string_view() == "CURVE" &&
                       Request[CredentialsFrame].size() == KeyBytes;
  if (!IsCurve)
    return {};
  std::array<char, KeyTextBytes> Text{};
  zmq_z85_encode(Text.data(), Request[CredentialsFrame].data<std::uint8_t>(),
                 KeyBytes);
  return Text.data();
}

} // namespace

ZapAuthenticator::ZapAuthenticator(zmq::context_t &Context,
                                   const AllowedKeys &Allowed, bool Encrypted)
    : Allowed(Allowed), Encrypted(Encrypted),
      Socket(Context, zmq::socket_type::rep) {
  this->Socket.set(zmq::sockopt::linger, 0);
  this->Socket.bind("inproc://zeromq.zap.01");
}

void ZapAuthenticator::answerRequests() {
  for (;;) {
    std::vector<zmq::message_t> Request;
    if (!zmq::recv_multipart(this->Socket, std::back_inserter(Request),
                             zmq::recv_flags::dontwait))
      return;
    this->reply(Request);
  }
}

void ZapAuthenticator::reply(const std::vector<zmq::message_t> &Request) {
  const std::string Key = clientKey(Request);
  const bool IsAllowed =
      !this->Encrypted || (!Key.empty() && this->Allowed.allows(Key));
  const auto Host = this->Allowed.hostOf(Key);
  const std::string User = Host ? Host->Value : std::string(AnyHost);
  const auto Echo = [&](std::size_t Frame) {
    return Frame < Request.size() ? Request[Frame].to_string() : std::string();
  };
  const std::array<std::string, 6> Reply{
      Echo(VersionFrame),        Echo(RequestIdFrame),
      IsAllowed ? "200" : "400", IsAllowed ? "OK" : "not allowed",
      IsAllowed ? User : "",     ""};
  std::vector<zmq::const_buffer> Frames;
  Frames.reserve(Reply.size());
  for (const std::string &Frame : Reply)
    Frames.push_back(zmq::buffer(Frame));
  zmq::send_multipart(this->Socket, Frames, zmq::send_flags::dontwait);
}

} // namespace banyanpick
