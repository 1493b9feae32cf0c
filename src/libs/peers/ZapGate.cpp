#include "peers/ZapGate.h"

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

/// The client's public key in Z85; empty when it did not prove one.
std::string keyOf(const std::vector<zmq::message_t> &Question) {
  const bool IsCurve = Question.size() == CurveFrames &&
                       Question[MechanismFrame].to_string_view() == "CURVE" &&
                       Question[CredentialsFrame].size() == KeyBytes;
  if (!IsCurve)
    return {};
  std::array<char, KeyTextBytes> Text{};
  zmq_z85_encode(Text.data(), Question[CredentialsFrame].data<std::uint8_t>(),
                 KeyBytes);
  return Text.data();
}

} // namespace

ZapGate::ZapGate(zmq::context_t &Context, const AllowedKeys &Allowed)
    : Allowed(Allowed), Requests(Context, zmq::socket_type::rep) {
  this->Requests.set(zmq::sockopt::linger, 0);
  this->Requests.bind("inproc://zeromq.zap.01");
}

void ZapGate::answerAll() {
  for (;;) {
    std::vector<zmq::message_t> Question;
    if (!zmq::recv_multipart(this->Requests, std::back_inserter(Question),
                             zmq::recv_flags::dontwait))
      return;
    this->answer(Question);
  }
}

void ZapGate::answer(const std::vector<zmq::message_t> &Question) {
  const std::string Key = keyOf(Question);
  const bool Allows = !Key.empty() && this->Allowed.allows(Key);
  const auto Host = this->Allowed.hostOf(Key);
  const std::string User = Host ? Host->Value : std::string(AnyHost);
  const auto Echo = [&](std::size_t Frame) {
    return Frame < Question.size() ? Question[Frame].to_string()
                                   : std::string();
  };
  const std::array<std::string, 6> Answer{
      Echo(VersionFrame),     Echo(RequestIdFrame),
      Allows ? "200" : "400", Allows ? "OK" : "not allowed",
      Allows ? User : "",     ""};
  std::vector<zmq::const_buffer> Frames;
  Frames.reserve(Answer.size());
  for (const std::string &Each : Answer)
    Frames.push_back(zmq::buffer(Each));
  zmq::send_multipart(this->Requests, Frames, zmq::send_flags::dontwait);
}

} // namespace banyanpick
