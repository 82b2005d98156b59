#ifndef SRC_DANDELIONMILL_CONTROL_QUARANTINE_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_QUARANTINE_MODULE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "dandelionmill/control/context.h"
#include "dandelionmill/control/module.h"
#include "dandelionmill/routing/quarantine_table.h"
#include "dandelionmill/wire/bus.h"

namespace dandelionmill::control {

// Distributes quarantine records of request bodies that crashed backend
// servers. A new record is sent at once to every control, and from there to its
// routers. To make up for lost messages, each control periodically sends all
// its records to its routers and to one other control in turn.
class QuarantineModule : public Module {
 public:
  explicit QuarantineModule(Context& context) : context_(context) {}

  void OnMessage(const wire::Route& from,
                 const wire::Envelope& message) override;
  void OnTick(base::MonoTime now) override;
  void Dump(nlohmann::json& dump) const override;

 private:
  struct KnownRouter {
    base::MonoTime last_seen;
  };

  void Send(const wire::Route& to,
            const routing::QuarantineRecord& record,
            bool forwarded);
  void SendToRouters(const routing::QuarantineRecord& record,
                     const wire::Route& except);
  void SendToControls(const routing::QuarantineRecord& record);
  void Resend();

  Context& context_;
  routing::QuarantineTable table_;
  std::map<wire::Route, KnownRouter> routers_;
  base::MonoTime now_;
  base::MonoTime next_resend_;
  std::size_t next_member_ = 0;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_QUARANTINE_MODULE_H_
