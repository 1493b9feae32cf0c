/// \file
/// Simulates one engine of the admission replay, pass by pass.
#pragma once

#include "base/Time.h"
#include "gateway/Configuration.h"

#include <map>
#include <vector>

namespace banyanpick {

/// An engine as the published model describes it: passes of several token
/// steps, chunked prefill, parts for other engines before own prompts, slots,
/// memory and reservations. A running pass ends before new work starts.
class ReplayEngine {
public:
  using Attempt = std::uint64_t;

  explicit ReplayEngine(const EngineParameters &Model) : Model(Model) {}

  /// A part of a prompt, or a whole prompt, to prefill.
  struct Prefill {
    Attempt Id = 0;
    double PartMs = 0;  ///< Prefill here, without other work.
    double WholeMs = 0; ///< Prefill of the whole prompt, after a preemption.
    std::uint64_t PromptTokens = 0;
    std::uint64_t OutputTokens = 0;
    std::uint32_t Urgency = 0;
    bool IsHelper = false;    ///< The request itself runs on another engine.
    bool HasReserved = false; ///< Its memory is reserved already.
  };
  void add(const Prefill &Work);
  /// Called when all parts are prefilled.
  void startDecoding(Attempt Id);
  void cancel(Attempt Id);
  /// Returns whether the memory was free.
  bool reserve(Attempt Id, std::uint64_t Tokens);
  /// Drops all work, as when the engine fails.
  void clear();

  bool inPass() const { return this->InPass; }
  /// Starts a pass and returns its length, or zero without work.
  Duration startPass();
  struct PassResult {
    std::vector<Attempt> PartsDone;
    std::vector<Attempt> Events;
    std::vector<Attempt> Ended;
  };
  PassResult finishPass();

private:
  struct Task {
    Prefill Work;
    double LeftMs = 0;
    bool Admitted = false;
    std::uint64_t Done = 0; ///< Decoded tokens.
  };

  std::uint64_t usedTokens() const;
  void admit();
  void preemptNewest();

  EngineParameters Model;
  std::vector<Task> Prefills; ///< In the order in which they are processed.
  std::vector<Task> Prepared; ///< Prefilled; other engines' parts are missing.
  std::vector<Task> Decoding; ///< Newest last.
  std::map<Attempt, std::uint64_t> Reserved;
  std::vector<Attempt> InCurrentPass; ///< Requests that decode in this pass.
  bool InPass = false;
};

} // namespace banyanpick
