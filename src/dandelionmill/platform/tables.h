#ifndef SRC_DANDELIONMILL_PLATFORM_TABLES_H_
#define SRC_DANDELIONMILL_PLATFORM_TABLES_H_

namespace dandelionmill::platform {

// Table and key of the row that holds the operator's desired state.
inline constexpr char kDesiredStateTable[] = "op";
inline constexpr char kDesiredStateKey[] = "config";
// In the same table, the prefix of the keys of rows that evacuate a zone; the
// rest of the key is its name.
inline constexpr char kEvacuationKeyPrefix[] = "evacuate/";

// Table in which backend servers register, keyed by backend server id.
inline constexpr char kRegistryTable[] = "servers";

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_TABLES_H_
