#ifndef SRC_DANDELIONMILL_CTL_FILES_H_
#define SRC_DANDELIONMILL_CTL_FILES_H_

#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/inventory/document.h"

namespace dandelionmill::ctl {

// Reads and checks an inventory file and a rules file. Fails with
// kBadCommandLine when a file cannot be read, and with kBadInventory when the
// content is invalid.
base::Result<inventory::Document> ReadFiles(const std::string& inventory_path,
                                            const std::string& rules_path);

// Parses a configuration version of up to 12 decimal digits. Fails with
// kBadCommandLine.
base::Result<base::ConfigVersion> ParseVersion(const std::string& text);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_FILES_H_
