/// \file
/// Interfaces that an external protocol implements so that the gateway can
/// serve callers, upstreams and a store that use it.
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

/// Translates the requests of callers and the answers to them.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Returns the properties of the request that control needs. Throws
  /// Error(BadInput) if one of the headers for them is malformed. \p Req must
  /// not be changed afterwards.
  virtual RelayHead readHead(const HttpExchange::Request &Req) const = 0;
  /// Returns this host's final answer to a refused request.
  virtual HttpAnswer answerTo(const RefuseRelay &Refusal) const = 0;

  /// Reads a request for the addresses of hosts. Throws Error(BadInput) if it
  /// is not such a request.
  virtual ResolveRequest
  readResolveRequest(const HttpExchange &Exchange) const = 0;
  virtual HttpAnswer answerTo(const AnswerResolve &Answer) const = 0;
  /// Returns whether the target is that of the readiness check of this host.
  virtual bool isReadinessCheck(const HttpTarget &Target) const = 0;
};

/// The classes of an upstream's answer, as determined from its header.
struct SuccessAnswer {}; ///< The request succeeded; the body follows.
struct FailureAnswer {}; ///< The upstream ran the request and failed.
/// The upstream did not run the request.
struct NotRunAnswer {
  RelayNotRun Details;
};
/// The answer is not a valid answer to this request.
struct InvalidAnswer {
  RelayBroken::Why Reason = RelayBroken::Why::Malformed;
};
using AnswerClass =
    std::variant<SuccessAnswer, FailureAnswer, NotRunAnswer, InvalidAnswer>;

/// Translates the requests to upstreams and their answers.
class EngineProtocol {
public:
  virtual ~EngineProtocol() = default;

  /// Replaces the caller's headers by those for the upstream. \p Remaining is
  /// the time that the upstream has for the answer.
  virtual void writeHeaders(http::fields &Headers, const DispatchRelay &Order,
                            Duration Remaining) const = 0;
  virtual AnswerClass
  classifyAnswer(const http::response_header<> &Head,
                 const HttpExchange::Request &Req) const = 0;

  /// Returns what the answer to a relayed request says about the state of the
  /// upstream.
  virtual AnswerSignals signalsOf(const http::response_header<> &Head,
                                  const HttpExchange::Request &Req) const = 0;
  /// The same for the answer to a report request or to an order.
  virtual AnswerSignals
  signalsOf(const http::response_header<> &Head) const = 0;
  /// Returns the headers of an upstream's answer that this protocol does not
  /// know. They may carry signals that the gateway ignores.
  virtual std::vector<std::string>
  unknownHeaders(const http::response_header<> &Head) const = 0;

  virtual ClientRequest reportRequest() const = 0;
  /// Throws Error(BadInput) if the body is malformed.
  virtual EngineReport readReport(const UpstreamId &Engine,
                                  std::string_view Body) const = 0;
  virtual ClientRequest requestFor(const ReserveMemory &Order) const = 0;
  virtual ClientRequest requestFor(const ReleaseMemory &Order) const = 0;
  virtual ReservationResult
  readReservation(const ClientAnswer &Answer) const = 0;
};

/// Parses the documents of the store.
class StoreDocuments {
public:
  virtual ~StoreDocuments() = default;

  /// Returns whether the record with this key, of the topic of declarations,
  /// holds the configuration.
  virtual bool isConfiguration(std::string_view Key) const = 0;
  /// Returns the zone that the record with this key, of the topic of
  /// declarations, evacuates, or nothing if it is no such record. The zone is
  /// empty if the key does not name one.
  virtual std::optional<ZoneId> evacuatedZone(std::string_view Key) const = 0;
  /// Throws Error(BadInput) if the value of an evacuation is malformed. The
  /// evacuation is in effect nevertheless.
  virtual void checkEvacuation(std::string_view Value) const = 0;
  /// Throws Error(BadInput) if the document is malformed.
  virtual std::shared_ptr<const GatewayConfiguration>
  readConfiguration(std::string_view Document) const = 0;
  /// Throws Error(BadInput) if the record is malformed.
  virtual EngineRecord readEngine(std::string_view Key,
                                  std::string_view Value) const = 0;
};

/// All translations of one external protocol.
class GatewayProtocol {
public:
  virtual ~GatewayProtocol() = default;
  virtual const CallerProtocol &callers() const = 0;
  virtual const EngineProtocol &engines() const = 0;
  /// Translates requests that are forwarded to other hosts and their answers.
  virtual const EngineProtocol &hosts() const = 0;
  virtual const StoreDocuments &documents() const = 0;
  /// Creates a client of the store at the address. The client is used on the
  /// executor's thread.
  virtual std::unique_ptr<OrderedStore>
  openStore(const net::any_io_executor &Executor, const Address &At) const = 0;
};

/// Registers a protocol under a name. Define objects of this type at file
/// scope.
class GatewayProtocolRegistration {
public:
  using Maker = std::unique_ptr<GatewayProtocol> (*)();
  GatewayProtocolRegistration(std::string_view Name, Maker Make);
};

/// Throws Error(BadInput) if no protocol with this name is linked.
std::unique_ptr<GatewayProtocol> makeGatewayProtocol(std::string_view Name);

} // namespace banyanpick
