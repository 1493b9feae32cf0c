/// \file
/// The ports of a gateway: what an outside protocol must translate so that
/// callers, upstreams and a store that speak it can be served.
#pragma once

#include "gateway/GatewayEvent.h"
#include "http/ClientRequest.h"
#include "http/HttpExchange.h"
#include "kernel/Action.h"
#include "relay/OrderedStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace banyanpick {

/// Translates between callers and the gateway.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// What decides on the request. Throws Error(BadInput) when a header that
  /// matters is malformed. \p Asked may be changed no more afterwards.
  virtual RelayHead readHead(const HttpExchange::Request &Req) const = 0;
  /// The final answer of this host.
  virtual HttpAnswer answerTo(const RefuseRelay &Refusal) const = 0;

  /// A question for hosts to connect to. Throws Error(BadInput) when it is
  /// none.
  virtual ResolveRequest
  readResolveRequest(const HttpExchange &Exchange) const = 0;
  virtual HttpAnswer answerTo(const AnswerResolve &Answer) const = 0;
  /// Whether the target asks if this host takes requests.
  virtual bool isReadinessCheck(const HttpTarget &Target) const = 0;
};

/// What an upstream's answer is, by its header.
struct SuccessAnswer {}; ///< A success; its body follows.
struct FailureAnswer {}; ///< It ran the request and failed.
struct NotRunAnswer {
  RelayNotRun Details;
};
struct InvalidAnswer {
  RelayBroken::Why Reason = RelayBroken::Why::Malformed;
};
using AnswerClass =
    std::variant<SuccessAnswer, FailureAnswer, NotRunAnswer, InvalidAnswer>;

/// Translates between the gateway and upstreams.
class EngineProtocol {
public:
  virtual ~EngineProtocol() = default;

  /// Turns the caller's headers into those that the upstream gets. \p Left is
  /// how long its answer is waited for.
  virtual void writeHeaders(http::fields &Headers, const DispatchRelay &Order,
                            Duration Remaining) const = 0;
  virtual AnswerClass
  classifyAnswer(const http::response_header<> &Head,
                 const HttpExchange::Request &Req) const = 0;

  /// What the answer to a try says of the upstream itself.
  virtual AnswerSignals signalsOf(const http::response_header<> &Head,
                                  const HttpExchange::Request &Req) const = 0;
  /// The same of the answer to a question or an order.
  virtual AnswerSignals
  signalsOf(const http::response_header<> &Head) const = 0;
  /// Headers of an upstream's answer that this protocol does not know: it may
  /// say something that nothing here heeds.
  virtual std::vector<std::string>
  unknownHeaders(const http::response_header<> &Head) const = 0;

  virtual ClientRequest reportRequest() const = 0;
  /// Throws Error(BadInput) when the body is malformed.
  virtual EngineReport readReport(const UpstreamId &Engine,
                                  std::string_view Body) const = 0;
  virtual ClientRequest requestFor(const ReserveMemory &Order) const = 0;
  virtual ClientRequest requestFor(const ReleaseMemory &Order) const = 0;
  virtual ReservationResult
  readReservation(const ClientAnswer &Answer) const = 0;
};

/// Translates documents of the store.
class StoreDocuments {
public:
  virtual ~StoreDocuments() = default;

  /// Whether a record of the topic of declarations is the configuration.
  virtual bool isConfiguration(std::string_view Key) const = 0;
  /// Throws Error(BadInput) when the document is malformed.
  virtual std::shared_ptr<const GatewayConfiguration>
  readConfiguration(std::string_view Document) const = 0;
  /// Throws Error(BadInput) when the record is malformed.
  virtual EngineRecord readEngine(std::string_view Key,
                                  std::string_view Value) const = 0;
};

/// One outside protocol, whole.
class GatewayProtocol {
public:
  virtual ~GatewayProtocol() = default;
  virtual const CallerProtocol &callers() const = 0;
  virtual const EngineProtocol &engines() const = 0;
  virtual const StoreDocuments &documents() const = 0;
  /// A client of the store at the address, for use on the executor's thread.
  virtual std::unique_ptr<OrderedStore>
  openStore(const net::any_io_executor &Executor, const Address &At) const = 0;
};

/// A file-scope object of this type makes a protocol known under a name.
class GatewayProtocolRegistration {
public:
  using Maker = std::unique_ptr<GatewayProtocol> (*)();
  GatewayProtocolRegistration(std::string_view Name, Maker Make);
};

/// Throws Error(BadInput) when no protocol of that name is linked.
std::unique_ptr<GatewayProtocol> makeGatewayProtocol(std::string_view Name);

} // namespace banyanpick
