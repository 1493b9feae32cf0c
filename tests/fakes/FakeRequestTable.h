/// \file
/// Fakes of the request table and of the fleet view. Tests fill them directly.
#pragma once

#include "kernel/Services.h"

#include <map>

namespace banyanpick {

/// Request table with the entries that a test adds.
class FakeRequestTable : public RequestTable {
public:
  struct Entry {
    Request Req;
    std::optional<Attempt> Running;
    std::string Token;
  };

  void add(const Request &Req, std::optional<Attempt> Running = {},
           std::string Token = {}) {
    this->Entries[Req.id()] = {Req, std::move(Running), std::move(Token)};
  }

  std::size_t running() const override { return this->Entries.size(); }
  std::vector<RequestId> ids() const override {
    std::vector<RequestId> Result;
    for (const auto &[Id, Item] : this->Entries)
      Result.push_back(Id);
    return Result;
  }
  const Request *find(const RequestId &Id) const override {
    const auto Found = this->Entries.find(Id);
    return Found == this->Entries.end() ? nullptr : &Found->second.Req;
  }
  const Attempt *attemptOf(const RequestId &Id) const override {
    const auto Found = this->Entries.find(Id);
    const bool Runs = Found != this->Entries.end() && Found->second.Running;
    return Runs ? &*Found->second.Running : nullptr;
  }
  const Request *owner(const AttemptId &Id) const override {
    for (const auto &[Key, Item] : this->Entries)
      if (Item.Running && Item.Running->Id == Id)
        return &Item.Req;
    return nullptr;
  }
  void handOver(const RequestId &Id, const Address &To, Time,
                Actions &) override {
    this->Entries.erase(Id);
    this->HandedOver.push_back(To);
  }
  void adopt(const StreamHandover &Stream, Time, Actions &) override {
    this->Adopted.push_back(Stream);
  }
  std::string resumeToken(const RequestId &Id) const override {
    const auto Found = this->Entries.find(Id);
    return Found == this->Entries.end() ? std::string() : Found->second.Token;
  }
  std::uint64_t nextIndex(const RequestId &) const override { return 0; }

  std::map<RequestId, Entry> Entries;
  std::vector<Address> HandedOver;
  std::vector<StreamHandover> Adopted;
};

/// Fleet view with the upstreams that a test adds.
class FakeFleetView : public FleetView {
public:
  Upstream &add(const std::string &Name, std::uint64_t Life = 1) {
    Upstream Added;
    Added.Listing.Id = UpstreamId(Name);
    Added.Listing.Life = Incarnation(Life);
    Added.State = UpstreamState::Live;
    this->Upstreams.push_back(Added);
    return this->Upstreams.back();
  }

  std::span<const Upstream> upstreams() const override {
    return this->Upstreams;
  }
  std::span<const std::uint32_t> enginesWith(const ModelId &) const override {
    return {};
  }
  std::span<const std::uint32_t>
  applications(const std::string &) const override {
    return {};
  }
  const Upstream *find(const UpstreamId &Id) const override {
    for (const Upstream &Engine : this->Upstreams)
      if (Engine.Listing.Id == Id)
        return &Engine;
    return nullptr;
  }

  std::vector<Upstream> Upstreams;
};

} // namespace banyanpick
