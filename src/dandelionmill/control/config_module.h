#ifndef SRC_DANDELIONMILL_CONTROL_CONFIG_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_CONFIG_MODULE_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "dandelionmill/control/context.h"
#include "dandelionmill/control/internal/config_distributor.h"
#include "dandelionmill/control/module.h"
#include "dandelionmill/wire/bus.h"

namespace dandelionmill::wire {
class ConfigContent;
class ConfigFetch;
}  // namespace dandelionmill::wire

namespace dandelionmill::control {

// Keeps the newest valid configuration in force: polls the table, fetches parts
// from the object store or from peers, announces versions to peers, and sends
// the content to routers and peers on request.
class ConfigModule : public Module {
 public:
  explicit ConfigModule(Context& context);

  void OnMessage(const wire::Route& from,
                 const wire::Envelope& message) override;
  void OnTick(base::MonoTime now) override;
  void Dump(nlohmann::json& dump) const override;

 private:
  void Run(const internal::DistributorActions& actions);
  void Execute(const internal::ReadRow& action);
  void Execute(const internal::GetPart& action);
  void Execute(const internal::FetchFromPeer& action);
  void Execute(const internal::PutInForce& action);
  void Execute(const internal::RejectVersion& action);

  void OnContent(const wire::ConfigContent& content);
  void ReplyToFetch(const wire::Route& to,
                    std::uint64_t id,
                    const wire::ConfigFetch& fetch);
  // Returns the control to fetch the configuration from, or nullopt when none
  // is known.
  std::optional<net::Address> ChoosePeer(const base::HolderId& preferred);

  Context& context_;
  internal::ConfigDistributor distributor_;
  // Number of peers chosen so far; used to choose peers in turn.
  std::size_t next_peer_ = 0;
  base::MonoTime now_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_CONFIG_MODULE_H_
