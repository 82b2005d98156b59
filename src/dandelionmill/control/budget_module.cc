#include "dandelionmill/control/budget_module.h"

#include "dandelionmill/control/internal/budget_module_impl.h"

namespace dandelionmill::control {

BudgetModule::BudgetModule(Context& context)
    : impl_(std::make_unique<Impl>(context)) {}

BudgetModule::~BudgetModule() = default;

void BudgetModule::OnMessage(const wire::Route& from,
                             const wire::Envelope& message) {
  impl_->OnMessage(from, message);
}

void BudgetModule::OnTick(base::MonoTime now) {
  impl_->OnTick(now);
}

void BudgetModule::OnLeave() {
  impl_->OnLeave();
}

bool BudgetModule::IsDrained() const {
  return impl_->IsDrained();
}

void BudgetModule::Dump(nlohmann::json& dump) const {
  impl_->Dump(dump);
}

}  // namespace dandelionmill::control
