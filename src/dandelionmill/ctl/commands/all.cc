#include "dandelionmill/ctl/commands/commands.h"

namespace dandelionmill::ctl {

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> all = {
      commands::Check(),   commands::Diff(),         commands::Apply(),
      commands::Show(),    commands::History(),      commands::Status(),
      commands::Members(), commands::TopUp(),        commands::Account(),
      commands::Charges(), commands::Dump(),         commands::Drain(),
      commands::Codes(),   commands::CheckGateway(), commands::GatewayStatus(),
      commands::Prepaid()};
  return all;
}

}  // namespace dandelionmill::ctl
