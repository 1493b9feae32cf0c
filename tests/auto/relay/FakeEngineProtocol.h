/// \file
/// A protocol of upstreams that reads nothing but the status of an answer.
/// Whatever is no success is the failure of an upstream, as for an answer with
/// all marks of one.
#pragma once

#include "relay/GatewayProtocol.h"

namespace banyanpick {

class FakeEngineProtocol : public EngineProtocol {
public:
  void writeHeaders(http::fields &, const DispatchRelay &,
                    Duration) const override {}
  AnswerClass classifyAnswer(const http::response_header<> &Head,
                             const HttpExchange::Request &) const override {
    if (http::to_status_class(Head.result()) == http::status_class::successful)
      return SuccessAnswer{};
    return FailureAnswer{};
  }
  AnswerSignals signalsOf(const http::response_header<> &,
                          const HttpExchange::Request &) const override {
    return {};
  }
  AnswerSignals signalsOf(const http::response_header<> &) const override {
    return {};
  }
  std::vector<std::string>
  unknownHeaders(const http::response_header<> &) const override {
    return {};
  }
  ClientRequest reportRequest() const override { return {}; }
  EngineReport readReport(const UpstreamId &, std::string_view) const override {
    return {};
  }
  ClientRequest requestFor(const ReserveMemory &) const override { return {}; }
  ClientRequest requestFor(const ReleaseMemory &) const override { return {}; }
  ReservationResult readReservation(const ClientAnswer &) const override {
    return ReservationResult::Unknown;
  }
};

} // namespace banyanpick
