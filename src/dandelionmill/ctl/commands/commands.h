#ifndef SRC_DANDELIONMILL_CTL_COMMANDS_COMMANDS_H_
#define SRC_DANDELIONMILL_CTL_COMMANDS_COMMANDS_H_

#include "dandelionmill/ctl/command.h"

namespace dandelionmill::ctl::commands {

// Each function returns the definition of one command.
Command Check();
Command Diff();
Command Apply();
Command Show();
Command History();
Command Status();
Command Members();
Command TopUp();
Command Account();
Command Charges();
Command Dump();
Command Drain();
Command Codes();
Command CheckGateway();
Command GatewayStatus();
Command Prepaid();

}  // namespace dandelionmill::ctl::commands

#endif  // SRC_DANDELIONMILL_CTL_COMMANDS_COMMANDS_H_
