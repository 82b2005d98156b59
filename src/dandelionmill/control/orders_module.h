#ifndef SRC_DANDELIONMILL_CONTROL_ORDERS_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_ORDERS_MODULE_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <utility>

#include "dandelionmill/control/context.h"
#include "dandelionmill/control/internal/engine_client.h"
#include "dandelionmill/control/module.h"
#include "dandelionmill/orders/order_lease.h"
#include "dandelionmill/orders/order_planner.h"

namespace dandelionmill::control {

// Sends engines the orders that follow from the inventory. For each service
// that offers models, one control of the fleet holds the lease in the table row
// orders/{service} and brings every engine of the service to its desired state.
class OrdersModule : public Module {
 public:
  explicit OrdersModule(Context& context);

  void OnMessage(const wire::Route&, const wire::Envelope&) override {}
  void OnTick(base::MonoTime now) override;
  void OnConfig() override;
  void OnLeave() override;
  void Dump(nlohmann::json& dump) const override;

 private:
  struct Service {
    explicit Service(orders::OrderLease service_lease)
        : lease(std::move(service_lease)),
          planner(orders::OrderPlanner::Options()) {}

    orders::OrderLease lease;
    orders::OrderPlanner planner;
    bool was_holder = false;
    base::MonoTime next_poll;
    // Engines with an unanswered query for their models.
    std::set<base::BackendId> pending_reports;
  };

  Service* Find(const base::ServiceId& id);
  bool IsCandidate(const base::ServiceId& id) const;
  void MaintainLease(const base::ServiceId& id,
                     Service& service,
                     base::MonoTime now);
  void Poll(const base::ServiceId& id, Service& service, base::MonoTime now);
  void SendOrders(const base::ServiceId& id,
                  Service& service,
                  base::MonoTime now);
  void ProcessReplies(base::MonoTime now);

  Context& context_;
  internal::EngineClient engines_;
  std::map<base::ServiceId, Service> services_;
  base::MonoTime now_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_ORDERS_MODULE_H_
