#ifndef TESTS_PROPERTY_BUDGET_WORLD_H_
#define TESTS_PROPERTY_BUDGET_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/recovery.h"
#include "dandelionmill/budget/row.h"

// One step of a random run.
struct Step {
  // Selects the event, see World::Execute().
  int kind = 0;
  // Selects the holder, attempt or message.
  int actor = 0;
  // Selects the router or the holder to recover.
  int target = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

// Simulates a budget row, holders, routers and engines, connected by a network
// that delays, reorders and drops messages. Holders use HolderLease and
// RecoverLease(); everything else is a minimal model. Events occur in the order
// of the steps, so a paused process is one that no step selects.
class World {
 public:
  using Tokens = dandelionmill::base::Tokens;
  using HolderId = dandelionmill::base::HolderId;
  using RouterId = dandelionmill::base::RouterId;
  using AttemptId = dandelionmill::base::AttemptId;

  static constexpr int kStepKinds = 28;
  // Kinds of steps that tests can leave out.
  static constexpr int kMoveAttempt = 17;
  static constexpr int kLoseRouter = 18;

  // When holders recover each other: at any time, regardless of which processes
  // are alive or have reported, or only in Settle(), where every live router
  // reports.
  enum class Recovery { kAtAnyTime, kAtTheEnd };

  explicit World(Recovery recovery);
  ~World();

  void Execute(const Step& step);
  // Delivers all messages, recovers every holder twice in succession and
  // finishes every attempt.
  void Settle();

  const dandelionmill::budget::Row& row() const { return row_; }
  // Returns whether no holder has reserved more tokens than the table row
  // covers, in total or for one router.
  bool LeasesAreCovered() const;
  // Tokens that the engines have actually used.
  Tokens spent() const { return spent_; }

 private:
  struct Holder;
  struct Router;
  struct Attempt;
  using Message = std::function<void()>;

  void AddHolder();
  void AddRouter();
  Holder& PickHolder(int index);
  Holder& PickUsableHolder(int index);
  Router& PickRouter(int index);
  void Send(Message message) { network_.push_back(std::move(message)); }
  void ChangeGranted(Tokens change);
  void DeliverMessage(int index);
  void DropMessage(int index);

  void Read(Holder& holder);
  void Write(Holder& holder, Tokens draw);
  void SendWrite(Holder& holder);
  void OnWriteResponse(Holder& holder, bool committed);
  void OnRead(Holder& holder,
              const dandelionmill::budget::Row& row,
              std::uint64_t version);

  void Reserve(Holder& holder, Router& router, Tokens tokens);
  void OnGrant(Router& router, const AttemptId& id);
  void ShrinkAttempt(int index, Tokens tokens);
  void MoveAttempt(int index, Router& to);
  void OnAttemptJoined(Holder& holder, const Router& to, const AttemptId& id);
  void UseTokens(int index, Tokens tokens);
  void FinishAttempt(int index);
  void SendSettle(const AttemptId& id, Tokens used);
  void OnSettle(const AttemptId& id, Tokens used);

  void CloseHolder(Holder& recoverer, Holder& lost);
  void RequestReports(Holder& recoverer, Holder& lost);
  void RecoverHolder(Holder& recoverer, Holder& lost);
  void AdoptReservations(Holder& holder);
  void DeliverAllMessages();
  Holder& RecoverAllHolders();

  const Recovery recovery_;
  dandelionmill::budget::Row row_;
  std::uint64_t version_ = 1;
  std::vector<std::unique_ptr<Holder>> holders_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Message> network_;
  std::map<AttemptId, Attempt> attempts_;
  std::map<AttemptId, Tokens> settled_tokens_;
  Tokens spent_ = 0;
  int next_attempt_ = 1;
  int next_join_ = 1;
};

#endif  // TESTS_PROPERTY_BUDGET_WORLD_H_
