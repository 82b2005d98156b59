#ifndef SRC_DANDELIONMILL_PLATFORM_TABLES_H_
#define SRC_DANDELIONMILL_PLATFORM_TABLES_H_

namespace dandelionmill::platform {

// Where the operator writes the desired state.
inline constexpr char kDesiredStateTable[] = "op";
inline constexpr char kDesiredStateKey[] = "config";

// Where backend servers register, each under its id.
inline constexpr char kRegistryTable[] = "servers";

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_TABLES_H_
