#ifndef SRC_DANDELIONMILL_CONTROL_BUDGET_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_BUDGET_MODULE_H_

#include <memory>

#include "dandelionmill/control/context.h"
#include "dandelionmill/control/module.h"

namespace dandelionmill::control {

// Serves reservations from budget leases, tracks attempts, acquires claims for
// non-idempotent requests and stores charges. Any router is served, whichever
// control owns the budget: ownership only serves to keep leases few.
class BudgetModule : public Module {
 public:
  explicit BudgetModule(Context& context);
  ~BudgetModule() override;

  void OnMessage(const wire::Route& from,
                 const wire::Envelope& message) override;
  void OnTick(base::MonoTime now) override;
  void OnLeave() override;
  bool IsDrained() const override;
  void Dump(nlohmann::json& dump) const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_BUDGET_MODULE_H_
